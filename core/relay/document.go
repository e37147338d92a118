package relay

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// document holds the newest version of a key and the decoded contract or group in force; it is immutable once stored.
type document struct {
	entry Entry
	// inForce is the revision of the newest valid version, which is the one in force.
	inForce types.Revision
	// contract is the contract in force when the key is that of a contract; nil when there is none.
	contract *policy.Contract
	// group is the group in force when the key is that of a group; nil when there is none.
	group *policy.Group
}

// withEntry returns the document after a newer entry. An invalid entry leaves the previous version in force and is returned
// as an error together with the document.
func (d document) withEntry(entry Entry) (document, error) {
	if entry.Deleted {
		return document{entry: entry, inForce: entry.Revision}, nil
	}
	updated := document{entry: entry, inForce: d.inForce, contract: d.contract, group: d.group}
	var err error
	switch kindOf(entry.Key) {
	case contractKind:
		var contract policy.Contract
		if contract, err = decodeContract(entry); err == nil {
			updated.contract, updated.inForce = &contract, entry.Revision
		}
	case groupKind:
		var group policy.Group
		if group, err = decodeGroup(entry); err == nil {
			updated.group, updated.inForce = &group, entry.Revision
		}
	default:
		err = errors.Errorf("key %q is neither that of a contract nor that of a group", entry.Key)
	}
	return updated, err
}

func decodeContract(entry Entry) (policy.Contract, error) {
	var contract policy.Contract
	if err := json.Unmarshal(entry.Value, &contract); err != nil {
		return policy.Contract{}, errors.Wrapf(err, "decoding %s", entry.Key)
	}
	if name := strings.TrimPrefix(entry.Key, ContractPrefix); string(contract.Customer) != name {
		return policy.Contract{}, errors.Errorf("key %q holds the contract of customer %q", entry.Key, contract.Customer)
	}
	return contract, nil
}

func decodeGroup(entry Entry) (policy.Group, error) {
	var group policy.Group
	if err := json.Unmarshal(entry.Value, &group); err != nil {
		return policy.Group{}, errors.Wrapf(err, "decoding %s", entry.Key)
	}
	if name := strings.TrimPrefix(entry.Key, GroupPrefix); string(group.Group) != name {
		return policy.Group{}, errors.Errorf("key %q holds the group %q", entry.Key, group.Group)
	}
	return group, nil
}
