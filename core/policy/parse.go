package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"turmericpulley/core/types"
)

// maxTextBytes is the longest operator's name and the longest id of a change.
const maxTextBytes = 128

// ParseContract parses a contract without filling in defaults. The error lists all problems with it, not only the first.
func ParseContract(data []byte) (Contract, error) {
	collected := &problems{}
	o := newObjectReader("", data, collected)
	if o == nil {
		return Contract{}, collected.err()
	}
	contract := readContract(o)
	o.reportUnknownFields()
	if err := collected.err(); err != nil {
		return Contract{}, err
	}
	return contract, nil
}

func readContract(o *objectReader) Contract {
	return Contract{
		Customer:         types.AccountID(o.requiredName("customer")),
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
	return fmt.Sprintf("; the default is %v", value)
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
			o.problems.add(field, collapseSpace(value), "each group may be listed only once")
			continue
		}
		groups = append(groups, group)
	}
	return groups
}

func readHistory(o *objectReader) []Change {
	const remedy = "leave the field out; the program maintains it"
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

func readChange(path string, data []byte, collected *problems) Change {
	o := newObjectReader(path, data, collected)
	if o == nil {
		return Change{}
	}
	change := Change{
		ChangeID:  o.optionalText("changeId"),
		ChangedAt: o.optionalTime("changedAt"),
		Operator:  o.optionalText("operator"),
	}
	o.decodeField("revision", &change.Revision, "expected a revision of the store")
	o.reportUnknownFields()
	return change
}

func (o *objectReader) optionalText(name string) string {
	remedy := fmt.Sprintf("expected text of at most %d bytes; the field is optional", maxTextBytes)
	var value string
	if o.decodeField(name, &value, remedy) && len(value) > maxTextBytes {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}

func (o *objectReader) optionalTime(name string) time.Time {
	var value time.Time
	o.decodeField(name, &value, `expected a time such as "2026-07-01T08:00:00Z"; the field is optional`)
	return value
}
