package audit

// State is the content of the databases at one moment.
type State struct {
	// Values holds the version of each row and the value of each counter.
	Values map[Row]Value
	// Copies holds the number of rows that were found with each key; a row without an entry counts as missing.
	Copies map[Row]int
}

// NewState returns a state without rows.
func NewState() State { return State{Values: map[Row]Value{}, Copies: map[Row]int{}} }

// AddRow sets the value of a row that was found in a database and counts one more copy of it.
func (s State) AddRow(row Row, value Value) {
	s.Values[row] = value
	s.Copies[row]++
}
