package routes

import "sync"

// CurrentTable holds the newest configuration that the instance has heard of; it is safe for concurrent use.
type CurrentTable struct {
	mu      sync.Mutex
	table   *Table
	changed chan struct{}
}

// NewCurrentTable returns a holder without a configuration.
func NewCurrentTable() *CurrentTable { return &CurrentTable{changed: make(chan struct{})} }

// UpdateIfNewer takes the table when it is newer than the present one and reports whether it did.
func (c *CurrentTable) UpdateIfNewer(t *Table) bool {
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
func (c *CurrentTable) Table() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Changed returns a channel that is closed at the next change.
func (c *CurrentTable) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
