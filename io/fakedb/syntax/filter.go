package syntax

// FilterKind says how rows are chosen.
type FilterKind int

const (
	// AllRows chooses every row.
	AllRows FilterKind = iota
	// KeyEquals chooses the row with the key.
	KeyEquals
	// KeyLike chooses the rows whose key begins with the pattern before its percent sign.
	KeyLike
)

// Filter chooses rows by their key.
type Filter struct {
	Kind    FilterKind
	Operand Operand
}
