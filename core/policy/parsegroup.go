package policy

import (
	"fmt"
	"net/netip"

	"turmericpulley/core/types"
)

const (
	// maxDatabases is the largest number of databases of one group.
	maxDatabases = 10_000
	// maxMembers is the largest number of members of one database.
	maxMembers = 15
)

// ParseGroup parses a group. The error lists all problems with it, not only the first.
func ParseGroup(data []byte) (Group, error) {
	collected := &problems{}
	o := newObjectReader("", data, collected)
	if o == nil {
		return Group{}, collected.err()
	}
	group := Group{
		Group:       types.GroupID(o.requiredName("group")),
		Region:      types.Region(o.optionalName("region")),
		Slots:       o.requiredInteger("slots", 1, MaxSlots),
		Connections: o.requiredInteger("connections", 1, MaxConnections),
		Databases:   readDatabases(o),
	}
	o.reportUnknownFields()
	if err := collected.err(); err != nil {
		return Group{}, err
	}
	return group, nil
}

func readDatabases(o *objectReader) []Database {
	var databases []Database
	names := map[types.DatabaseID]bool{}
	targets := map[types.TargetID]bool{}
	for i, value := range o.list("databases", maxDatabases) {
		path := fmt.Sprintf("databases[%d]", i)
		element := newObjectReader(path, value, o.problems)
		if element == nil {
			continue
		}
		database := Database{Database: types.DatabaseID(element.requiredName("database")), Members: readMembers(element)}
		element.reportUnknownFields()
		if names[database.Database] {
			o.problems.add(element.fieldPath("database"), string(database.Database), "each database may be listed only once")
		}
		for _, member := range database.Members {
			if targets[member.Target] {
				o.problems.add(path, string(member.Target), "each target may be listed only once")
			}
			targets[member.Target] = true
		}
		names[database.Database] = true
		databases = append(databases, database)
	}
	return databases
}

func readMembers(o *objectReader) []Member {
	var members []Member
	for i, value := range o.list("members", maxMembers) {
		element := newObjectReader(fmt.Sprintf("%s.members[%d]", o.path, i), value, o.problems)
		if element == nil {
			continue
		}
		members = append(members, Member{
			Target:     types.TargetID(element.requiredName("target")),
			Address:    element.address("address"),
			DataCentre: types.DataCentre(element.requiredName("dataCentre")),
		})
		element.reportUnknownFields()
	}
	return members
}

func (o *objectReader) address(name string) string {
	const remedy = `expected an IP address and a port such as "127.0.0.1:5432"`
	o.requireField(name, remedy)
	var value string
	if !o.decodeField(name, &value, remedy) {
		return ""
	}
	if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}
