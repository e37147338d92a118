package group

import (
	"strconv"

	"turmericpulley/core/stmt"
)

const (
	// maxPreparedStatements is the number of statements that are prepared on one connection at most.
	maxPreparedStatements = 200
	// maxPreparedBytes bounds the memory for their shapes, here and at the member.
	maxPreparedBytes = 64 << 10
)

// preparedStatements are the statements that are prepared on a connection to a member. Sessions with statements of the same access
// and shape share them. Their names contain nothing that callers choose. The zero value has none.
type preparedStatements struct {
	entries map[preparedKey]*preparedEntry
	// bytes is the total length of the shapes.
	bytes int
	// lastName is the number in the newest name, uses the number of calls of prepare.
	lastName, uses uint64
}

// preparedKey is what a prepared statement runs.
type preparedKey struct {
	access stmt.Access
	shape  string
}

type preparedEntry struct {
	name    string
	lastUse uint64
}

// prepare returns the statements that prepare the access and shape on the connection; none when they are prepared. Beyond the limits
// it drops the statements that were not used for the longest time.
func (p *preparedStatements) prepare(access stmt.Access, shape string) []stmt.Statement {
	key := preparedKey{access, shape}
	p.uses++
	if e := p.entries[key]; e != nil {
		e.lastUse = p.uses
		return nil
	}
	var needed []stmt.Statement
	for len(p.entries) > 0 && (len(p.entries) >= maxPreparedStatements || p.bytes+len(shape) > maxPreparedBytes) {
		needed = append(needed, stmt.Statement{Kind: stmt.Deallocate, Name: p.dropOldest()})
	}
	if p.entries == nil {
		p.entries = map[preparedKey]*preparedEntry{}
	}
	p.lastName++
	e := &preparedEntry{name: "p" + strconv.FormatUint(p.lastName, 10), lastUse: p.uses}
	p.entries[key] = e
	p.bytes += len(shape)
	return append(needed, stmt.Statement{Kind: stmt.Prepare, Name: e.name, Access: access, Shape: shape})
}

// dropOldest forgets the statement that was not used for the longest time, and returns its name.
func (p *preparedStatements) dropOldest() string {
	var oldest preparedKey
	for key, e := range p.entries {
		if o := p.entries[oldest]; o == nil || e.lastUse < o.lastUse {
			oldest = key
		}
	}
	name := p.entries[oldest].name
	delete(p.entries, oldest)
	p.bytes -= len(oldest.shape)
	return name
}

// name returns the name under which the access and shape are prepared; empty when they are not.
func (p *preparedStatements) name(access stmt.Access, shape string) string {
	if e := p.entries[preparedKey{access, shape}]; e != nil {
		return e.name
	}
	return ""
}

// discard forgets all statements, because the member drops them.
func (p *preparedStatements) discard() { p.entries, p.bytes = nil, 0 }
