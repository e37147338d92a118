package audit

// State is the content of the databases at one moment.
type State struct {
	// Values holds the version of each row and the value of each counter.
	Values map[Row]Value
	// Copies holds the number of times that each inserted id was found; an id without an entry was found once if it has a
	// value.
	Copies map[Row]int
}

// NewState returns a state without rows.
func NewState() State { return State{Values: map[Row]Value{}, Copies: map[Row]int{}} }

// AddRow records one row found in a database.
func (s State) AddRow(row Row, value Value) {
	s.Values[row] = value
	s.Copies[row]++
}
