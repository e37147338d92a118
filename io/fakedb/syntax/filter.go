package syntax

// FilterKind is the way in which a filter matches rows.
type FilterKind int

const (
	// AllRows matches every row.
	AllRows FilterKind = iota
	// KeyEquals matches the row with the key.
	KeyEquals
	// KeyLike matches the rows whose key begins with the pattern up to its final percent sign. A pattern without that sign matches
	// the equal key.
	KeyLike
)

// Filter is a condition on the keys of rows.
type Filter struct {
	Kind    FilterKind
	Operand Operand
}
