package syntax

// AccessMode is the access mode of a transaction.
type AccessMode int

const (
	// DefaultAccess takes the mode from the settings of the connection.
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

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls back a transaction.
type Rollback struct{}

// SetAccess changes the access mode of the current transaction.
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

// Reset sets a setting to its default, or all of them when Name is empty.
type Reset struct {
	Name string
}

// Discard drops the whole state of the connection.
type Discard struct{}

func (Begin) statement()     {}
func (Commit) statement()    {}
func (Rollback) statement()  {}
func (SetAccess) statement() {}
func (Set) statement()       {}
func (Show) statement()      {}
func (Reset) statement()     {}
func (Discard) statement()   {}
