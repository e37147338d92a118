package syntax

// statement parses one statement according to its first word.
func (p *parser) statement() (Statement, error) {
	first := p.peek()
	if first.kind != wordToken {
		return nil, p.syntaxError()
	}
	p.position++
	switch first.text {
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "select":
		return p.selectStatement()
	case "create":
		return p.createTemp()
	default:
		return p.sessionStatement(first.text)
	}
}

func (p *parser) insert() (Statement, error) {
	var parsed Insert
	var err error
	if err = p.expect("into"); err != nil {
		return nil, err
	}
	if parsed.Table, err = p.name(); err != nil {
		return nil, err
	}
	if err = p.expect("(", "key", ",", "value", ")", "values", "("); err != nil {
		return nil, err
	}
	if parsed.Key, err = p.operand(); err != nil {
		return nil, err
	}
	if err = p.expect(","); err != nil {
		return nil, err
	}
	if parsed.Value, err = p.operand(); err != nil {
		return nil, err
	}
	if err = p.expect(")"); err != nil {
		return nil, err
	}
	if p.acceptWords("on", "conflict") {
		parsed.Upsert = true
		err = p.expect("(", "key", ")", "do", "update", "set", "value", "=", "excluded", ".", "value")
		if err != nil {
			return nil, err
		}
	}
	parsed.Returning, err = p.returning()
	return parsed, err
}

func (p *parser) update() (Statement, error) {
	var parsed Update
	var err error
	if parsed.Table, err = p.name(); err != nil {
		return nil, err
	}
	if err = p.expect("set", "value", "="); err != nil {
		return nil, err
	}
	if p.acceptWords("value") {
		parsed.Add = true
		if err = p.skipCast(); err != nil {
			return nil, err
		}
		if err = p.expect("+"); err != nil {
			return nil, err
		}
	}
	if parsed.Value, err = p.operand(); err != nil {
		return nil, err
	}
	if parsed.Key, err = p.whereKey(); err != nil {
		return nil, err
	}
	parsed.Returning, err = p.returning()
	return parsed, err
}

func (p *parser) remove() (Statement, error) {
	var parsed Delete
	var err error
	if err = p.expect("from"); err != nil {
		return nil, err
	}
	if parsed.Table, err = p.name(); err != nil {
		return nil, err
	}
	if parsed.Key, err = p.whereKey(); err != nil {
		return nil, err
	}
	parsed.Returning, err = p.returning()
	return parsed, err
}

func (p *parser) whereKey() (Operand, error) {
	if err := p.expect("where", "key", "="); err != nil {
		return Operand{}, err
	}
	return p.operand()
}

func (p *parser) returning() ([]string, error) {
	if !p.acceptWords("returning") {
		return nil, nil
	}
	return p.columns()
}

// columns parses a list of the column names key and value, or a star for both.
func (p *parser) columns() ([]string, error) {
	if p.acceptSymbol("*") {
		return []string{"key", "value"}, nil
	}
	var list []string
	for {
		name := p.peek()
		if !name.isWord("key") && !name.isWord("value") {
			return nil, p.syntaxError()
		}
		p.position++
		list = append(list, name.text)
		if !p.acceptSymbol(",") {
			return list, nil
		}
	}
}

func (p *parser) createTemp() (Statement, error) {
	if !p.acceptWords("temp") && !p.acceptWords("temporary") {
		return nil, p.syntaxError()
	}
	if err := p.expect("table"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	return CreateTemp{Table: name}, p.skipParenthesised()
}

// skipParenthesised skips a parenthesised list, such as the column definitions of a table or the parameter types of PREPARE.
func (p *parser) skipParenthesised() error {
	if err := p.expect("("); err != nil {
		return err
	}
	for depth := 1; depth > 0; {
		t := p.next()
		switch {
		case t.kind == endToken:
			return p.syntaxError()
		case t.isSymbol("("):
			depth++
		case t.isSymbol(")"):
			depth--
		}
	}
	return nil
}
