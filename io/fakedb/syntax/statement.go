package syntax

// Statement is one parsed statement.
type Statement interface {
	statement()
}

// Empty is a statement without text.
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

// Select reads columns of the rows that pass the filter, or counts them.
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

// Activity returns the state of a connection.
type Activity struct {
	Process Operand
}

// Call runs a function of the member.
type Call struct {
	Name      string
	Arguments []Operand
}

// CreateTemp creates a table that only its connection sees.
type CreateTemp struct {
	Table string
}

// Prepare names a statement.
type Prepare struct {
	Name string
	Body Statement
}

// Execute runs a named statement.
type Execute struct {
	Name      string
	Arguments []Operand
}

// Deallocate forgets a named statement, or all of them when Name is empty.
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
