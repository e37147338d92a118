package fakepl

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Run is a read, write or commit that a member ran.
type Run struct {
	Member string
	// Tenant is who opened the connection, and At when the statement ran.
	Tenant string
	At     time.Time
	// Conn is the number of the connection.
	Conn uint64
	ID   string
	Call
	// Values are the session values of the connection.
	Values map[string]string
	// Transaction is the number of the transaction of the connection; 0 outside transactions.
	Transaction uint64
	// Rows and Signature are those of the answer. Signature is empty when the statement failed.
	Rows      []string
	Signature string
}

// Call is what a statement runs: its word, the access and shape of the prepared statement, and the further fields as they were sent.
type Call struct {
	Word, Prepared, Arguments string
}

// parseCall takes the text of a read, write, commit or execution apart. It returns false for other statements and for unknown
// prepared statements.
func parseCall(text string, prepared map[string]string) (Call, bool) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "READ", "WRITE", "COMMIT":
		return Call{Word: word, Arguments: rest}, true
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		if statement, known := prepared[name]; known {
			return Call{word, statement, arguments}, true
		}
	}
	return Call{}, false
}

// writes reports whether the statement writes an item.
func (c Call) writes() bool { return c.Word == "WRITE" || strings.HasPrefix(c.Prepared, "WRITE ") }

// Runs returns all reads, writes and commits that the members ran.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// recordRun records that the session ran the call with the answer.
func (s *session) recordRun(id string, c Call, rows []string, signature string) {
	g := s.member.group
	r := Run{
		Member: s.member.ID, Conn: s.number, ID: id, Call: c, Values: maps.Clone(s.values), Transaction: s.transaction, Rows: rows,
		Signature: signature, Tenant: s.tenant, At: time.Now(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}
