package syntax

// Error is a syntax error, or a statement outside the supported subset.
type Error struct {
	// Near is the text at which parsing stopped.
	Near string
}

// Error returns the message with the place of the error and the remedy.
func (e *Error) Error() string {
	return `syntax error at or near "` + e.Near + `"; use one of the statements that the stand-in supports`
}
