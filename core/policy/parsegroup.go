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
	o := newObject("", data, found)
	if o == nil {
		return Group{}, found.err()
	}
	group := Group{
		Group:       types.GroupID(o.name("group")),
		Region:      types.Region(o.optionalName("region")),
		Slots:       o.requiredInteger("slots", 1, MaxSlots),
		Connections: o.requiredInteger("connections", 1, MaxConnections),
		Databases:   readDatabases(o),
	}
	o.finish()
	if err := found.err(); err != nil {
		return Group{}, err
	}
	return group, nil
}

func readDatabases(o *object) []Database {
	var databases []Database
	names := map[types.DatabaseID]bool{}
	targets := map[types.TargetID]bool{}
	for i, value := range o.list("databases", maxDatabases) {
		path := fmt.Sprintf("databases[%d]", i)
		inner := newObject(path, value, o.problems)
		if inner == nil {
			continue
		}
		database := Database{Database: types.DatabaseID(inner.name("database")), Members: readMembers(inner)}
		inner.finish()
		if names[database.Database] {
			o.problems.add(inner.field("database"), string(database.Database), "name each database once")
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

func readMembers(o *object) []Member {
	var members []Member
	for i, value := range o.list("members", maxMembers) {
		inner := newObject(fmt.Sprintf("%s.members[%d]", o.path, i), value, o.problems)
		if inner == nil {
			continue
		}
		members = append(members, Member{
			Target:     types.TargetID(inner.name("target")),
			Address:    inner.address("address"),
			DataCentre: types.DataCentre(inner.name("dataCentre")),
		})
		inner.finish()
	}
	return members
}

func (o *object) address(name string) string {
	const remedy = `give an IP number and a port such as "127.0.0.1:5432"`
	o.required(name, remedy)
	var value string
	if !o.read(name, &value, remedy) {
		return ""
	}
	if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
		o.problems.add(o.field(name), quote(o.fields[name]), remedy)
	}
	return value
}
