package syntax

// OperandKind says where the value of an operand comes from.
type OperandKind int

const (
	// Text is a literal in quotes.
	Text OperandKind = iota + 1
	// Number is a literal number.
	Number
	// Parameter is a place such as $1.
	Parameter
)

// Operand is one value of a statement.
type Operand struct {
	Kind OperandKind
	// Text is the literal, without quotes.
	Text string
	// Index is the number of the parameter, from 1.
	Index int
}
