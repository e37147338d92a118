package policy

import "turmericpulley/core/types"

// Group describes databases that share hardware, as the platform publishes it.
type Group struct {
	Group types.GroupID `json:"group"`
	// Region is where the group's databases are owned; empty means every region that holds the group.
	Region types.Region `json:"region,omitempty"`
	// Slots is the number of statements that one member runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that one member accepts.
	Connections int        `json:"connections"`
	Databases   []Database `json:"databases"`
}

// Database lists the members that replicate one database.
type Database struct {
	Database types.DatabaseID `json:"database"`
	Members  []Member         `json:"members"`
}

// Member is one copy of a database, reached as a target.
type Member struct {
	Target     types.TargetID   `json:"target"`
	Address    string           `json:"address"`
	DataCentre types.DataCentre `json:"dataCentre"`
}

// Majority returns how many members must agree before a decision holds.
func (d Database) Majority() int { return len(d.Members)/2 + 1 }
