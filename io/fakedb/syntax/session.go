package syntax

// AccessMode says what a transaction may do.
type AccessMode int

const (
	// DefaultAccess follows the settings of the connection.
	DefaultAccess AccessMode = iota
	// ReadOnly forbids writes.
	ReadOnly
	// ReadWrite allows writes.
	ReadWrite
)

// Begin opens a transaction.
type Begin struct {
	Access AccessMode
}

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and drops its writes.
type Rollback struct{}

// SetAccess changes what the current transaction may do.
type SetAccess struct {
	Access AccessMode
}

// Set changes a setting.
type Set struct {
	Name  string
	Value string
	Local bool
}

// Show returns a setting.
type Show struct {
	Name string
}

// Reset restores a setting, or all of them when Name is empty.
type Reset struct {
	Name string
}

// Discard drops everything that the connection holds.
type Discard struct{}

func (Begin) statement()     {}
func (Commit) statement()    {}
func (Rollback) statement()  {}
func (SetAccess) statement() {}
func (Set) statement()       {}
func (Show) statement()      {}
func (Reset) statement()     {}
func (Discard) statement()   {}
