package policy

import "turmericpulley/core/types"

// Group is the platform's description of databases that share hardware.
type Group struct {
	Group types.GroupID `json:"group"`
	// Region is the region whose instances own the group's databases; empty means each region that holds the group.
	Region types.Region `json:"region,omitempty"`
	// Slots is the number of statements that one member runs concurrently.
	Slots int `json:"slots"`
	// Connections is the largest number of connections that one member accepts.
	Connections int        `json:"connections"`
	Databases   []Database `json:"databases"`
}

// Database describes one database and the members that replicate it.
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

// Majority returns the number of members that form a majority.
func (d Database) Majority() int { return len(d.Members)/2 + 1 }
