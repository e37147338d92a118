package routes

import "sync"

// Current holds the newest configuration that the instance has heard of; it is safe for concurrent use.
type Current struct {
	mu      sync.Mutex
	table   *Table
	changed chan struct{}
}

// NewCurrent returns a holder without a configuration.
func NewCurrent() *Current { return &Current{changed: make(chan struct{})} }

// Offer takes the table when it is newer than the present one and reports whether it did.
func (c *Current) Offer(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && t.Version <= c.table.Version {
		return false
	}
	c.table = t
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Table returns the newest configuration, or nil before the first.
func (c *Current) Table() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Changed returns a channel that is closed at the next change.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
