package syntax

// Error reports a statement that matches none of the forms.
type Error struct {
	// Near is the text at which matching stopped.
	Near string
}

// Error names the place and the remedy.
func (f *Error) Error() string {
	return `syntax error at or near "` + f.Near + `"; use one of the statements that the stand-in understands`
}
