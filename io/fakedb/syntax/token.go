package syntax

// tokenKind is the kind of a token.
type tokenKind int

const (
	endToken tokenKind = iota
	wordToken
	quotedToken
	textToken
	numberToken
	parameterToken
	symbolToken
)

// token is one lexical element; words are in lower case.
type token struct {
	kind tokenKind
	text string
}

func (t token) isWord(word string) bool {
	return t.kind == wordToken && t.text == word
}

func (t token) isSymbol(symbol string) bool {
	return t.kind == symbolToken && t.text == symbol
}
