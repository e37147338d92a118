package fakedb

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/types"
)

const (
	defaultConnectCost   = 10 * time.Millisecond
	defaultStatementTime = time.Millisecond
	defaultLockTimeout   = time.Second
)

// Settings configures a member.
type Settings struct {
	// ID names the member.
	ID types.TargetID
	// Address is the IP number and port to listen on; port 0 takes a free one.
	Address string
	// Advertised is the address that others use, when it differs from Address.
	Advertised string
	// Slots is how many statements run at once; 0 means no limit.
	Slots int
	// Connections is how many connections are admitted; 0 means no limit.
	Connections int
	// ConnectCost is how long opening a connection takes.
	ConnectCost time.Duration
	// StatementTime is how long a statement holds its slot.
	StatementTime time.Duration
	// ReceiveLag is the delay between the primary's append of an entry and its receipt.
	ReceiveLag time.Duration
	// ApplyLag is the delay between the receipt of an entry and its visibility.
	ApplyLag time.Duration
	// LockTimeout bounds the wait for a locked row.
	LockTimeout time.Duration
	// Members is how many members the database has.
	Members int
	// Role is what the member is at first.
	Role Role
	// Term is the first term.
	Term types.Term
	// Primary is the address that a replica follows at first; empty means none.
	Primary string
	// StatePath names a file that keeps the member's state over restarts; empty means none.
	StatePath string
	// Logger receives changes of state; nil means none.
	Logger hclog.Logger
}

// Defaults returns the settings of a lone primary on a free port of the loopback interface.
func Defaults() Settings {
	return Settings{
		ID:            "member",
		Address:       "127.0.0.1:0",
		ConnectCost:   defaultConnectCost,
		StatementTime: defaultStatementTime,
		LockTimeout:   defaultLockTimeout,
		Members:       1,
		Role:          Primary,
		Term:          1,
	}
}

// withDefaults fills in the settings for which 0 has no meaning.
func (s Settings) withDefaults() Settings {
	if s.LockTimeout <= 0 {
		s.LockTimeout = defaultLockTimeout
	}
	if s.Members <= 0 {
		s.Members = 1
	}
	if s.Role == "" {
		s.Role = Replica
	}
	if s.Term == 0 {
		s.Term = 1
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	return s
}
