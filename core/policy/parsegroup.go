package policy

import (
	"fmt"
	"net/netip"

	"turmericpulley/core/types"
)

const (
	// maxDatabases is the most databases of one group.
	maxDatabases = 10_000
	// maxMembers is the most members of one database.
	maxMembers = 15
)

// ParseGroup reads a group and reports everything that is wrong with it at once.
func ParseGroup(data []byte) (Group, error) {
	found := &problems{}
	o := newObjectReader("", data, found)
	if o == nil {
		return Group{}, found.err()
	}
	group := Group{
		Group:       types.GroupID(o.requiredName("group")),
		Region:      types.Region(o.optionalName("region")),
		Slots:       o.requiredInteger("slots", 1, MaxSlots),
		Connections: o.requiredInteger("connections", 1, MaxConnections),
		Databases:   readDatabases(o),
	}
	o.reportUnknownFields()
	if err := found.err(); err != nil {
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
		inner := newObjectReader(path, value, o.problems)
		if inner == nil {
			continue
		}
		database := Database{Database: types.DatabaseID(inner.requiredName("database")), Members: readMembers(inner)}
		inner.reportUnknownFields()
		if names[database.Database] {
			o.problems.add(inner.fieldPath("database"), string(database.Database), "name each database once")
		}
		for _, member := range database.Members {
			if targets[member.Target] {
				o.problems.add(path, string(member.Target), "name each target once")
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
		inner := newObjectReader(fmt.Sprintf("%s.members[%d]", o.path, i), value, o.problems)
		if inner == nil {
			continue
		}
		members = append(members, Member{
			Target:     types.TargetID(inner.requiredName("target")),
			Address:    inner.address("address"),
			DataCentre: types.DataCentre(inner.requiredName("dataCentre")),
		})
		inner.reportUnknownFields()
	}
	return members
}

func (o *objectReader) address(name string) string {
	const remedy = `give an IP number and a port such as "127.0.0.1:5432"`
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
