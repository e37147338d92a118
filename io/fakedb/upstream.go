package fakedb

import (
	"net"
	"time"
)

// upstream is the replication connection of a replica to its primary; the member's lock guards it.
type upstream struct {
	address string
	// generation rises with each call of retarget, so that entries of an older connection are refused.
	generation  uint64
	conn        net.Conn
	lastContact time.Time
	// pending holds the entries that wait for the receive lag to pass.
	pending []entry
}

// retarget closes the current connection and sets the address to follow; empty means none.
func (u *upstream) retarget(address string) {
	u.address = address
	u.generation++
	u.lastContact = time.Time{}
	u.disconnect()
}

// disconnect closes the current connection and drops its pending entries.
func (u *upstream) disconnect() {
	u.pending = nil
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}
