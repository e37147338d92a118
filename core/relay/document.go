package relay

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// document is the newest version of a key and what it means; it never changes once stored.
type document struct {
	entry Entry
	// inForce is the revision of the last valid version, which governs.
	inForce types.Revision
	// contract is what governs when the key is a contract, nil when there is none.
	contract *policy.Contract
	// group is what governs when the key is a group, nil when there is none.
	group *policy.Group
}

// withEntry returns the document after a newer entry; an invalid entry leaves the previous version in force.
func (d document) withEntry(entry Entry) (document, error) {
	if entry.Deleted {
		return document{entry: entry, inForce: entry.Revision}, nil
	}
	kept := document{entry: entry, inForce: d.inForce, contract: d.contract, group: d.group}
	var err error
	switch kindOf(entry.Key) {
	case contractKind:
		var contract policy.Contract
		if contract, err = decodeContract(entry); err == nil {
			kept.contract, kept.inForce = &contract, entry.Revision
		}
	case groupKind:
		var group policy.Group
		if group, err = decodeGroup(entry); err == nil {
			kept.group, kept.inForce = &group, entry.Revision
		}
	default:
		err = errors.Errorf("key %q is neither a contract nor a group", entry.Key)
	}
	return kept, err
}

func decodeContract(entry Entry) (policy.Contract, error) {
	var contract policy.Contract
	if err := json.Unmarshal(entry.Value, &contract); err != nil {
		return policy.Contract{}, errors.Wrapf(err, "decoding %s", entry.Key)
	}
	if name := strings.TrimPrefix(entry.Key, ContractPrefix); string(contract.Customer) != name {
		return policy.Contract{}, errors.Errorf("%s is the contract of %q", entry.Key, contract.Customer)
	}
	return contract, nil
}

func decodeGroup(entry Entry) (policy.Group, error) {
	var group policy.Group
	if err := json.Unmarshal(entry.Value, &group); err != nil {
		return policy.Group{}, errors.Wrapf(err, "decoding %s", entry.Key)
	}
	if name := strings.TrimPrefix(entry.Key, GroupPrefix); string(group.Group) != name {
		return policy.Group{}, errors.Errorf("%s is the group %q", entry.Key, group.Group)
	}
	return group, nil
}
