package syntax

// Statement is one parsed statement.
type Statement interface {
	statement()
}

// Empty is an empty statement.
type Empty struct{}

// Insert adds a row, or replaces its value when Upsert is set.
type Insert struct {
	Table      string
	Key, Value Operand
	Upsert     bool
	Returning  []string
}

// Update changes the value of a row, or adds to it when Add is set.
type Update struct {
	Table      string
	Key, Value Operand
	Add        bool
	Returning  []string
}

// Delete removes a row.
type Delete struct {
	Table     string
	Key       Operand
	Returning []string
}

// Select reads columns of the rows that match the filter, or counts these rows.
type Select struct {
	Table   string
	Columns []string
	Count   bool
	Filter  Filter
}

// Constant returns one value.
type Constant struct {
	Value Operand
}

// Activity returns the state of a connection, from pg_stat_activity.
type Activity struct {
	Process Operand
}

// Call runs a function of the member.
type Call struct {
	Name      string
	Arguments []Operand
}

// CreateTemp creates a temporary table of the connection.
type CreateTemp struct {
	Table string
}

// Prepare stores a statement under a name.
type Prepare struct {
	Name string
	Body Statement
}

// Execute runs a prepared statement.
type Execute struct {
	Name      string
	Arguments []Operand
}

// Deallocate removes a prepared statement, or all of them when Name is empty.
type Deallocate struct {
	Name string
}

func (Empty) statement()      {}
func (Insert) statement()     {}
func (Update) statement()     {}
func (Delete) statement()     {}
func (Select) statement()     {}
func (Constant) statement()   {}
func (Activity) statement()   {}
func (Call) statement()       {}
func (CreateTemp) statement() {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
