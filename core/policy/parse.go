package policy

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"turmericpulley/core/types"
)

// maxChangeText bounds the operator's name and the id of a change, in bytes.
const maxChangeText = 128

// ParseContract reads a contract as it was written and reports everything that is wrong with it at once.
func ParseContract(data []byte) (Contract, error) {
	found := &problems{}
	o := newObject("", data, found)
	if o == nil {
		return Contract{}, found.err()
	}
	contract := readContract(o)
	o.finish()
	if err := found.err(); err != nil {
		return Contract{}, err
	}
	return contract, nil
}

func readContract(o *object) Contract {
	return Contract{
		Customer:         types.CustomerID(o.name("customer")),
		Groups:           readGroups(o),
		Connections:      o.requiredInteger("connections", 1, MaxConnections),
		MaxReadAge:       o.duration("maxReadAge", 0, MaxReadAgeLimit, "; 0s sends every read to the primary"),
		RequestRate:      o.integer("requestRate", 0, MaxRequestRate, "; 0 means no limit"),
		QueueLength:      o.integer("queueLength", 1, MaxQueueLength, orDefault(DefaultQueueLength)),
		QueueTimeout:     o.duration("queueTimeout", MinTimeout, MaxQueueTimeout, orDefault(DefaultQueueTimeout)),
		StatementTimeout: o.duration("statementTimeout", MinTimeout, MaxStatementTimeout, orDefault(DefaultStatementTimeout)),
		Weight:           o.integer("weight", 1, MaxWeight, orDefault(DefaultWeight)),
		ChangeID:         o.changeText("changeId"),
		ChangedAt:        o.changeTime("changedAt"),
		Operator:         o.changeText("operator"),
		History:          readHistory(o),
	}
}

func orDefault(value any) string {
	return fmt.Sprintf(", or leave it out for %v", value)
}

func readGroups(o *object) []types.GroupID {
	var groups []types.GroupID
	for i, value := range o.list("groups", MaxGroups) {
		field := fmt.Sprintf("groups[%d]", i)
		var group types.GroupID
		if json.Unmarshal(value, &group) != nil || !ValidName(string(group)) {
			o.problems.add(field, quote(value), nameRemedy)
			continue
		}
		if slices.Contains(groups, group) {
			o.problems.add(field, quote(value), "name each group once")
			continue
		}
		groups = append(groups, group)
	}
	return groups
}

func readHistory(o *object) []Change {
	const remedy = "leave the field out, the program writes it"
	var values []json.RawMessage
	if o.read("history", &values, remedy) && len(values) > MaxHistory {
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
	o := newObject(path, data, found)
	if o == nil {
		return Change{}
	}
	change := Change{
		ChangeID:  o.changeText("changeId"),
		ChangedAt: o.changeTime("changedAt"),
		Operator:  o.changeText("operator"),
	}
	o.read("revision", &change.Revision, "give a revision of the store")
	o.finish()
	return change
}

func (o *object) changeText(name string) string {
	remedy := fmt.Sprintf("give text of at most %d bytes, or leave it out", maxChangeText)
	var value string
	if o.read(name, &value, remedy) && len(value) > maxChangeText {
		o.problems.add(o.field(name), quote(o.fields[name]), remedy)
	}
	return value
}

func (o *object) changeTime(name string) time.Time {
	var value time.Time
	o.read(name, &value, `give a time such as "2026-07-01T08:00:00Z", or leave it out`)
	return value
}
