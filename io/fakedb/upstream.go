package fakedb

import (
	"net"
	"time"
)

// upstream is the replication link of a replica; the member's lock guards it.
type upstream struct {
	address string
	// generation changes with every change of the address, so that an old link can't deliver.
	generation  uint64
	conn        net.Conn
	lastContact time.Time
	// pending holds entries that the receive lag keeps back.
	pending []entry
}

// retarget ends the present link and sets the address to follow; empty means nobody.
func (u *upstream) retarget(address string) {
	u.address = address
	u.generation++
	u.lastContact = time.Time{}
	u.disconnect()
}

// disconnect ends the present link and drops what it has not yet delivered.
func (u *upstream) disconnect() {
	u.pending = nil
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}
