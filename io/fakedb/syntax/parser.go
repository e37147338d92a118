package syntax

import "strconv"

// maxParameter is the highest parameter number of the wire protocol.
const maxParameter = 65535

// parser matches the tokens of one or more statements.
type parser struct {
	tokens   []token
	position int
}

// Parse returns the statements of a text, which semicolons separate.
func Parse(text string) ([]Statement, error) {
	tokens, err := scan(text)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []Statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == endToken {
			return statements, nil
		}
		parsed, err := p.statement()
		if err != nil {
			return nil, err
		}
		if !p.atEnd() {
			return nil, p.syntaxError()
		}
		statements = append(statements, parsed)
	}
}

func (p *parser) peek() token { return p.tokens[p.position] }

func (p *parser) next() token {
	t := p.tokens[p.position]
	if t.kind != endToken {
		p.position++
	}
	return t
}

func (p *parser) atEnd() bool {
	return p.peek().kind == endToken || p.peek().isSymbol(";")
}

func (p *parser) syntaxError() error {
	near := p.peek().text
	if p.peek().kind == endToken {
		near = "end of input"
	}
	return &Error{Near: near}
}

// acceptWords passes over the words when all of them come next.
func (p *parser) acceptWords(words ...string) bool {
	for i, word := range words {
		if p.position+i >= len(p.tokens) || !p.tokens[p.position+i].isWord(word) {
			return false
		}
	}
	p.position += len(words)
	return true
}

func (p *parser) acceptSymbol(symbol string) bool {
	if !p.peek().isSymbol(symbol) {
		return false
	}
	p.position++
	return true
}

// expect passes over a sequence of words and symbols or fails.
func (p *parser) expect(texts ...string) error {
	for _, text := range texts {
		if !p.acceptWords(text) && !p.acceptSymbol(text) {
			return p.syntaxError()
		}
	}
	return nil
}

// name reads a name with optional parts after dots.
func (p *parser) name() (string, error) {
	t := p.peek()
	if t.kind != wordToken && t.kind != quotedToken {
		return "", p.syntaxError()
	}
	p.position++
	if !p.acceptSymbol(".") {
		return t.text, nil
	}
	rest, err := p.name()
	return t.text + "." + rest, err
}

// operand reads a literal or a parameter, with an optional type after it.
func (p *parser) operand() (Operand, error) {
	sign := ""
	if p.acceptSymbol("-") {
		sign = "-"
	}
	t := p.peek()
	var found Operand
	switch {
	case t.kind == numberToken:
		found = Operand{Kind: Number, Text: sign + t.text}
	case t.kind == textToken && sign == "":
		found = Operand{Kind: Text, Text: t.text}
	case t.kind == parameterToken && sign == "":
		index, err := strconv.Atoi(t.text)
		if err != nil || index < 1 || index > maxParameter {
			return Operand{}, p.syntaxError()
		}
		found = Operand{Kind: Parameter, Index: index}
	default:
		return Operand{}, p.syntaxError()
	}
	p.position++
	return found, p.skipCast()
}

// skipCast passes over a type such as ::bigint.
func (p *parser) skipCast() error {
	if !p.acceptSymbol(":") {
		return nil
	}
	if err := p.expect(":"); err != nil {
		return err
	}
	_, err := p.name()
	return err
}

// operands reads a list in parentheses.
func (p *parser) operands() ([]Operand, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	var list []Operand
	if p.acceptSymbol(")") {
		return list, nil
	}
	for {
		found, err := p.operand()
		if err != nil {
			return nil, err
		}
		list = append(list, found)
		if !p.acceptSymbol(",") {
			return list, p.expect(")")
		}
	}
}
