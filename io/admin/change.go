package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Base is the version of a contract that a change is based on.
type Base struct {
	// Explicit is true when the operator gave the revision. Otherwise the change is based on the version that is present when
	// it is prepared.
	Explicit bool
	// Revision is the revision that the operator gave; zero means that there is no contract yet.
	Revision types.Revision
}

// mismatch describes how the present version differs from the one that the contract is based on. It is empty when they are the
// same, and when neither the operator nor the contract names a base.
func (b Base) mismatch(contract policy.Contract, present Version) string {
	if b.Explicit && b.Revision != present.Revision {
		return "the present revision is " + present.Revision.String() + ", not " + b.Revision.String()
	}
	if !b.Explicit && contract.ChangeID != "" && contract.ChangeID != present.Contract.ChangeID {
		return "the document was made from change " + contract.ChangeID +
			", the present one is " + present.Contract.ChangeID + " (a document without changeId replaces any)"
	}
	return ""
}

// change is one attempt of an operator to replace a contract; its id is stored in the contract.
type change struct {
	id       string
	customer types.AccountID
	// base is the revision that the store must still have.
	base  types.Revision
	value []byte
}

func (c change) result(outcome Outcome, revision types.Revision, detail string) Result {
	return Result{Outcome: outcome, Customer: c.customer, ChangeID: c.id, Revision: revision, Detail: detail}
}

// prepare reads the present version and encodes the document that replaces it. The result is nil unless the change cannot be
// stored.
func (c *Client) prepare(ctx context.Context, contract policy.Contract, base Base) (change, *Result) {
	prepared := change{id: rand.Text(), customer: contract.Customer}
	present, found, err := c.readContract(ctx, contract.Customer)
	if err != nil {
		result := prepared.result(NotRun, 0, "reading the present contract: "+err.Error())
		return prepared, &result
	}
	prepared.base = present.Revision
	if detail := base.mismatch(contract, present); detail != "" {
		result := prepared.result(Conflict, present.Revision, fault.New(fault.RevisionConflict, detail).Error())
		return prepared, &result
	}
	contract.ChangeID = prepared.id
	contract.ChangedAt = time.Now().UTC().Truncate(time.Second)
	contract.Operator = c.settings.Operator
	contract.History = nil
	if found {
		contract.History = historyOf(present)
	}
	if prepared.value, err = encode(contract); err != nil {
		result := prepared.result(NotRun, 0, err.Error())
		return prepared, &result
	}
	return prepared, nil
}

// readContract reads the present version; while the store fails, it retries until the context ends.
func (c *Client) readContract(ctx context.Context, customer types.AccountID) (Version, bool, error) {
	for {
		version, found, err := c.Contract(ctx, customer)
		if err == nil || !pause.For(ctx, pollInterval) {
			return version, found, err
		}
	}
}

// historyOf returns the history of a contract that replaces the present version, newest change first.
func historyOf(present Version) []policy.Change {
	history := append([]policy.Change{{
		ChangeID:  present.Contract.ChangeID,
		Revision:  present.Revision,
		ChangedAt: present.Contract.ChangedAt,
		Operator:  present.Contract.Operator,
	}}, present.Contract.History...)
	return history[:min(len(history), policy.MaxHistory)]
}

// encode returns the contract as JSON and checks that instances will accept it.
func encode(contract policy.Contract) ([]byte, error) {
	value, err := json.Marshal(contract)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the contract")
	}
	_, err = policy.ParseContract(value)
	return value, err
}
