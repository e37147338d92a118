package syntax

import "strconv"

// maxParameter is the highest parameter number of the wire protocol.
const maxParameter = 65535

// parser matches the tokens of one or more statements.
type parser struct {
	tokens []token
	at     int
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
		for p.symbol(";") {
		}
		if p.peek().kind == endToken {
			return statements, nil
		}
		parsed, err := p.statement()
		if err != nil {
			return nil, err
		}
		if !p.atEnd() {
			return nil, p.failure()
		}
		statements = append(statements, parsed)
	}
}

func (p *parser) peek() token { return p.tokens[p.at] }

func (p *parser) take() token {
	t := p.tokens[p.at]
	if t.kind != endToken {
		p.at++
	}
	return t
}

func (p *parser) atEnd() bool {
	return p.peek().kind == endToken || p.peek().isSymbol(";")
}

func (p *parser) failure() error {
	near := p.peek().text
	if p.peek().kind == endToken {
		near = "end of input"
	}
	return &Failure{Near: near}
}

// words passes over the words when all of them come next.
func (p *parser) words(words ...string) bool {
	for i, word := range words {
		if p.at+i >= len(p.tokens) || !p.tokens[p.at+i].isWord(word) {
			return false
		}
	}
	p.at += len(words)
	return true
}

func (p *parser) symbol(symbol string) bool {
	if !p.peek().isSymbol(symbol) {
		return false
	}
	p.at++
	return true
}

// expect passes over a sequence of words and symbols or fails.
func (p *parser) expect(texts ...string) error {
	for _, text := range texts {
		if !p.words(text) && !p.symbol(text) {
			return p.failure()
		}
	}
	return nil
}

// name reads a name with optional parts after dots.
func (p *parser) name() (string, error) {
	t := p.peek()
	if t.kind != wordToken && t.kind != quotedToken {
		return "", p.failure()
	}
	p.at++
	if !p.symbol(".") {
		return t.text, nil
	}
	rest, err := p.name()
	return t.text + "." + rest, err
}

// operand reads a literal or a parameter, with an optional type after it.
func (p *parser) operand() (Operand, error) {
	sign := ""
	if p.symbol("-") {
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
			return Operand{}, p.failure()
		}
		found = Operand{Kind: Parameter, Index: index}
	default:
		return Operand{}, p.failure()
	}
	p.at++
	return found, p.cast()
}

// cast passes over a type such as ::bigint.
func (p *parser) cast() error {
	if !p.symbol(":") {
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
	if p.symbol(")") {
		return list, nil
	}
	for {
		found, err := p.operand()
		if err != nil {
			return nil, err
		}
		list = append(list, found)
		if !p.symbol(",") {
			return list, p.expect(")")
		}
	}
}
