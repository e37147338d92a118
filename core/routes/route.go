package routes

import (
	"time"

	"turmericpulley/core/types"
)

// Consistency says how old the data of a read may be.
type Consistency int

const (
	// Primary reads show every acknowledged commit.
	Primary Consistency = iota + 1
	// BoundedStaleness reads may show data that is older by up to the route's MaxAge.
	BoundedStaleness
	// ReadYourWrites reads may be older by up to MaxAge too, but show the session's own commits.
	ReadYourWrites
)

// Name is the database name by which callers select a route.
type Name string

// Route says how the sessions of one database name are served.
type Route struct {
	Name        Name
	Database    types.DatabaseID
	Consistency Consistency
	// MaxAge bounds the age of data of BoundedStaleness and ReadYourWrites reads.
	MaxAge time.Duration
	// Timeout limits one statement.
	Timeout time.Duration
	// Objective is the time within which a whole operation should be answered.
	Objective time.Duration
	// Priority orders routes; zero is the most important.
	Priority int
	// Public marks a route that needs no key, where the configuration has accounts.
	Public bool
}
