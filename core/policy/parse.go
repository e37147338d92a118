package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"turmericpulley/core/types"
)

// maxTextBytes bounds the operator's name and the id of a change, in bytes.
const maxTextBytes = 128

// ParseContract reads a contract as it was written and reports everything that is wrong with it at once.
func ParseContract(data []byte) (Contract, error) {
	found := &problems{}
	o := newObjectReader("", data, found)
	if o == nil {
		return Contract{}, found.err()
	}
	contract := readContract(o)
	o.reportUnknownFields()
	if err := found.err(); err != nil {
		return Contract{}, err
	}
	return contract, nil
}

func readContract(o *objectReader) Contract {
	return Contract{
		Customer:         types.CustomerID(o.requiredName("customer")),
		Groups:           readGroups(o),
		Connections:      o.requiredInteger("connections", 1, MaxConnections),
		MaxReadAge:       o.duration("maxReadAge", 0, MaxReadAgeLimit, "; 0s sends every read to the primary"),
		RequestRate:      o.integer("requestRate", 0, MaxRequestRate, "; 0 means no limit"),
		QueueLength:      o.integer("queueLength", 1, MaxQueueLength, defaultHint(DefaultQueueLength)),
		QueueTimeout:     o.duration("queueTimeout", MinTimeout, MaxQueueTimeout, defaultHint(DefaultQueueTimeout)),
		StatementTimeout: o.duration("statementTimeout", MinTimeout, MaxStatementTimeout, defaultHint(DefaultStatementTimeout)),
		Weight:           o.integer("weight", 1, MaxWeight, defaultHint(DefaultWeight)),
		ChangeID:         o.optionalText("changeId"),
		ChangedAt:        o.optionalTime("changedAt"),
		Operator:         o.optionalText("operator"),
		History:          readHistory(o),
	}
}

func defaultHint(value any) string {
	return fmt.Sprintf(", or leave it out for %v", value)
}

func readGroups(o *objectReader) []types.GroupID {
	var groups []types.GroupID
	for i, value := range o.list("groups", MaxGroups) {
		field := fmt.Sprintf("groups[%d]", i)
		var group types.GroupID
		if json.Unmarshal(value, &group) != nil || !ValidName(string(group)) {
			o.problems.add(field, collapseSpace(value), nameRemedy)
			continue
		}
		if slices.Contains(groups, group) {
			o.problems.add(field, collapseSpace(value), "name each group once")
			continue
		}
		groups = append(groups, group)
	}
	return groups
}

func readHistory(o *objectReader) []Change {
	const remedy = "leave the field out, the program writes it"
	var values []json.RawMessage
	if o.decodeField("history", &values, remedy) && len(values) > MaxHistory {
		o.problems.add("history", fmt.Sprintf("a list of %d", len(values)), remedy)
		return nil
	}
	var changes []Change
	for i, value := range values {
		changes = append(changes, readChange(fmt.Sprintf("history[%d]", i), value, o.problems))
	}
	return changes
}

func readChange(path string, data []byte, found *problems) Change {
	o := newObjectReader(path, data, found)
	if o == nil {
		return Change{}
	}
	change := Change{
		ChangeID:  o.optionalText("changeId"),
		ChangedAt: o.optionalTime("changedAt"),
		Operator:  o.optionalText("operator"),
	}
	o.decodeField("revision", &change.Revision, "give a revision of the store")
	o.reportUnknownFields()
	return change
}

func (o *objectReader) optionalText(name string) string {
	remedy := fmt.Sprintf("give text of at most %d bytes, or leave it out", maxTextBytes)
	var value string
	if o.decodeField(name, &value, remedy) && len(value) > maxTextBytes {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}

func (o *objectReader) optionalTime(name string) time.Time {
	var value time.Time
	o.decodeField(name, &value, `give a time such as "2026-07-01T08:00:00Z", or leave it out`)
	return value
}
