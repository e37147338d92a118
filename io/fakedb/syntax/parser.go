package syntax

import "strconv"

// maxParameter is the highest parameter number of the wire protocol.
const maxParameter = 65535

// parser parses the tokens of one or more statements; position is the index of the next token.
type parser struct {
	tokens   []token
	position int
}

// Parse returns the statements of a text, in which semicolons separate them.
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

// acceptWords consumes the words if all of them come next, and reports whether they did.
func (p *parser) acceptWords(words ...string) bool {
	for i, word := range words {
		if p.position+i >= len(p.tokens) || !p.tokens[p.position+i].isWord(word) {
			return false
		}
	}
	p.position += len(words)
	return true
}

// acceptSymbol consumes the symbol if it comes next, and reports whether it did.
func (p *parser) acceptSymbol(symbol string) bool {
	if !p.peek().isSymbol(symbol) {
		return false
	}
	p.position++
	return true
}

// expect consumes a sequence of words and symbols, or returns a syntax error.
func (p *parser) expect(texts ...string) error {
	for _, text := range texts {
		if !p.acceptWords(text) && !p.acceptSymbol(text) {
			return p.syntaxError()
		}
	}
	return nil
}

// name parses a name with optional further parts after dots.
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

// operand parses a literal or a parameter, with an optional cast after it.
func (p *parser) operand() (Operand, error) {
	sign := ""
	if p.acceptSymbol("-") {
		sign = "-"
	}
	t := p.peek()
	var operand Operand
	switch {
	case t.kind == numberToken:
		operand = Operand{Kind: Number, Text: sign + t.text}
	case t.kind == textToken && sign == "":
		operand = Operand{Kind: Text, Text: t.text}
	case t.kind == parameterToken && sign == "":
		index, err := strconv.Atoi(t.text)
		if err != nil || index < 1 || index > maxParameter {
			return Operand{}, p.syntaxError()
		}
		operand = Operand{Kind: Parameter, Index: index}
	default:
		return Operand{}, p.syntaxError()
	}
	p.position++
	return operand, p.skipCast()
}

// skipCast skips a cast such as ::bigint, if there is one.
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

// operands parses a parenthesised list of operands.
func (p *parser) operands() ([]Operand, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	var list []Operand
	if p.acceptSymbol(")") {
		return list, nil
	}
	for {
		operand, err := p.operand()
		if err != nil {
			return nil, err
		}
		list = append(list, operand)
		if !p.acceptSymbol(",") {
			return list, p.expect(")")
		}
	}
}
