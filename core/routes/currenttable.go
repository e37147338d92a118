package routes

import "sync"

// CurrentTable holds the newest configuration that the instance has received; it is safe for concurrent use.
type CurrentTable struct {
	mu      sync.Mutex
	table   *Table
	changed chan struct{}
}

// NewCurrentTable returns a CurrentTable without a configuration.
func NewCurrentTable() *CurrentTable { return &CurrentTable{changed: make(chan struct{})} }

// UpdateIfNewer replaces the table if the given one is newer, and reports whether it did.
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

// Table returns the newest configuration, or nil before the first update.
func (c *CurrentTable) Table() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Changed returns a channel that is closed at the next update.
func (c *CurrentTable) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
