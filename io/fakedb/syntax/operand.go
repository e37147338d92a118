package syntax

// OperandKind is the kind of an operand.
type OperandKind int

const (
	// Text is a string literal.
	Text OperandKind = iota + 1
	// Number is a numeric literal.
	Number
	// Parameter is a parameter such as $1.
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
