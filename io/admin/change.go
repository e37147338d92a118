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

// Base is the version of a contract that a change starts from.
type Base struct {
	// Explicit is false when the change starts from the present version.
	Explicit bool
	// Revision is the version's revision; zero means that there is no contract yet.
	Revision types.Revision
}

// mismatch says why the present version is not the one that the contract was made from; it is empty when it is.
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

// change is one attempt of an operator to replace a contract.
type change struct {
	id       string
	customer types.CustomerID
	base     types.Revision
	value    []byte
}

func (c change) result(outcome Outcome, revision types.Revision, detail string) Result {
	return Result{Outcome: outcome, Customer: c.customer, ChangeID: c.id, Revision: revision, Detail: detail}
}

// prepare reads the present version and makes the change's document from it; the result is set when there is no need
// to go on.
func (c *Client) prepare(ctx context.Context, contract policy.Contract, base Base) (change, *Result) {
	prepared := change{id: rand.Text(), customer: contract.Customer}
	present, found, err := c.readContract(ctx, contract.Customer)
	if err != nil {
		result := prepared.result(NotRun, 0, "reading the present contract: "+err.Error())
		return prepared, &result
	}
	prepared.base = present.Revision
	if problem := base.mismatch(contract, present); problem != "" {
		result := prepared.result(Conflict, present.Revision, fault.New(fault.RevisionConflict, problem).Error())
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

// readContract reads the present version, again as long as the store does not answer.
func (c *Client) readContract(ctx context.Context, customer types.CustomerID) (Version, bool, error) {
	for {
		version, found, err := c.Contract(ctx, customer)
		if err == nil || !pause.For(ctx, pollInterval) {
			return version, found, err
		}
	}
}

// historyOf lists the versions before a change of the present one, newest first.
func historyOf(present Version) []policy.Change {
	history := append([]policy.Change{{
		ChangeID:  present.Contract.ChangeID,
		Revision:  present.Revision,
		ChangedAt: present.Contract.ChangedAt,
		Operator:  present.Contract.Operator,
	}}, present.Contract.History...)
	return history[:min(len(history), policy.MaxHistory)]
}

// encode writes the contract and checks that instances will take it.
func encode(contract policy.Contract) ([]byte, error) {
	value, err := json.Marshal(contract)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the contract")
	}
	_, err = policy.ParseContract(value)
	return value, err
}
