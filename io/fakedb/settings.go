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
	// Address is the IP address and port to listen on; port 0 takes a free one.
	Address string
	// Advertised is the address that others use, when it differs from Address.
	Advertised string
	// Slots is the maximum number of statements that run at once; 0 means no limit.
	Slots int
	// Connections is the maximum number of connections; 0 means no limit. An owner may open one more.
	Connections int
	// ConnectCost is the time that opening a connection takes.
	ConnectCost time.Duration
	// StatementTime is the time for which a statement holds its slot.
	StatementTime time.Duration
	// ReceiveLag is the delay between the primary's append of an entry and its receipt by this member.
	ReceiveLag time.Duration
	// ApplyLag is the delay between the receipt of an entry and its visibility.
	ApplyLag time.Duration
	// LockTimeout is the maximum wait for a locked row.
	LockTimeout time.Duration
	// Members is the number of members of the database.
	Members int
	// Role is the role at the first start.
	Role Role
	// Term is the term at the first start.
	Term types.Term
	// Primary is the address that a replica follows at the first start; empty means none.
	Primary string
	// StatePath is the file that keeps the member's state across restarts; empty means none.
	StatePath string
	// Logger logs changes of state; nil means no logging.
	Logger hclog.Logger
}

// Defaults returns the settings of a single primary on a free port of the loopback interface.
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

// withDefaults fills in the settings whose zero value has no meaning.
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
