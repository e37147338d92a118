package admin

import (
	"context"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// Version is a contract as stored.
type Version struct {
	Revision types.Revision `json:"revision"`
	// Contract is the zero value when Problem is not empty.
	Contract policy.Contract `json:"contract"`
	// Problem says why the stored value is not a valid contract.
	Problem string `json:"problem,omitempty"`
}

// Contract reads the present contract of a customer and reports whether there is one.
func (c *Client) Contract(ctx context.Context, customer types.AccountID) (Version, bool, error) {
	if !policy.ValidName(string(customer)) {
		return Version{}, false, errors.Errorf("%q is not a valid customer name", customer)
	}
	value, revision, found, err := c.store.Get(ctx, contractKey(customer))
	if err != nil || !found {
		return Version{}, false, err
	}
	return newVersion(value, revision), true, nil
}

// Contracts reads the present contracts of all customers.
func (c *Client) Contracts(ctx context.Context) ([]Version, error) {
	page, err := c.store.List(ctx, relay.ContractPrefix, 0, 0)
	if err != nil {
		return nil, err
	}
	var versions []Version
	for _, entry := range page.Entries {
		if entry.Deleted {
			continue
		}
		version := newVersion(entry.Value, entry.Revision)
		if version.Problem != "" {
			version.Contract.Customer = types.AccountID(entry.Key[len(relay.ContractPrefix):])
		}
		versions = append(versions, version)
	}
	return versions, nil
}

func newVersion(value []byte, revision types.Revision) Version {
	version := Version{Revision: revision}
	contract, err := policy.ParseContract(value)
	if err != nil {
		version.Problem = err.Error()
	}
	version.Contract = contract
	return version
}

func contractKey(customer types.AccountID) string { return relay.ContractPrefix + string(customer) }
