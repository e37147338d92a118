package syntax

// selectStatement parses what follows the word SELECT.
func (p *parser) selectStatement() (Statement, error) {
	next := p.peek()
	switch {
	case next.kind == numberToken, next.kind == textToken, next.kind == parameterToken, next.isSymbol("-"):
		value, err := p.operand()
		return Constant{Value: value}, err
	case next.isSymbol("*"):
		p.position++
		return p.fromTableOrCall()
	case next.isWord("key"), next.isWord("value"):
		return p.rows()
	case next.isWord("state"):
		return p.activity()
	case next.isWord("count"):
		return p.count()
	default:
		return p.call()
	}
}

// fromTableOrCall parses what follows SELECT *: a table with its filter, or a call of a function.
func (p *parser) fromTableOrCall() (Statement, error) {
	if err := p.expect("from"); err != nil {
		return nil, err
	}
	start := p.position
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.peek().isSymbol("(") {
		p.position = start
		return p.call()
	}
	filter, err := p.filter()
	return Select{Table: name, Columns: []string{"key", "value"}, Filter: filter}, err
}

func (p *parser) rows() (Statement, error) {
	columns, err := p.columns()
	if err != nil {
		return nil, err
	}
	if err = p.expect("from"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	filter, err := p.filter()
	return Select{Table: name, Columns: columns, Filter: filter}, err
}

func (p *parser) count() (Statement, error) {
	if err := p.expect("count", "(", "*", ")", "from"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	filter, err := p.filter()
	return Select{Table: name, Count: true, Filter: filter}, err
}

// filter parses an optional WHERE clause and an optional ORDER BY clause, which has to name the key.
func (p *parser) filter() (Filter, error) {
	var parsed Filter
	if p.acceptWords("where") {
		if err := p.expect("key"); err != nil {
			return parsed, err
		}
		parsed.Kind = KeyEquals
		if p.acceptWords("like") {
			parsed.Kind = KeyLike
		} else if err := p.expect("="); err != nil {
			return parsed, err
		}
		var err error
		if parsed.Operand, err = p.operand(); err != nil {
			return parsed, err
		}
	}
	if p.acceptWords("order") {
		return parsed, p.expect("by", "key")
	}
	return parsed, nil
}

func (p *parser) activity() (Statement, error) {
	if err := p.expect("state", "from", "pg_stat_activity", "where", "pid", "="); err != nil {
		return nil, err
	}
	process, err := p.operand()
	return Activity{Process: process}, err
}

func (p *parser) call() (Statement, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	arguments, err := p.operands()
	return Call{Name: name, Arguments: arguments}, err
}
