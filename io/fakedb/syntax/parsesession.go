package syntax

import "strings"

// sessionStatement parses the statements on the state of the connection or of its transaction.
func (p *parser) sessionStatement(first string) (Statement, error) {
	switch first {
	case "begin":
		return p.begin()
	case "start":
		if err := p.expect("transaction"); err != nil {
			return nil, err
		}
		return p.begin()
	case "commit", "end":
		p.skipTransactionWord()
		return Commit{}, nil
	case "rollback", "abort":
		p.skipTransactionWord()
		return Rollback{}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.settingName()
		return Show{Name: name}, err
	case "reset":
		return p.reset()
	case "discard":
		return Discard{}, p.expect("all")
	case "prepare":
		return p.prepare()
	case "execute":
		return p.execute()
	case "deallocate":
		return p.deallocate()
	default:
		p.position--
		return nil, p.syntaxError()
	}
}

func (p *parser) skipTransactionWord() {
	if !p.acceptWords("transaction") {
		p.acceptWords("work")
	}
}

func (p *parser) begin() (Statement, error) {
	p.skipTransactionWord()
	access, err := p.transactionModes()
	return Begin{Access: access}, err
}

// transactionModes parses transaction modes; only the access mode has an effect.
func (p *parser) transactionModes() (AccessMode, error) {
	access := DefaultAccess
	for !p.atEnd() {
		switch {
		case p.acceptWords("read", "only"):
			access = ReadOnly
		case p.acceptWords("read", "write"):
			access = ReadWrite
		case p.acceptWords("isolation", "level", "read", "committed"):
		case p.acceptWords("isolation", "level", "read", "uncommitted"):
		case p.acceptWords("isolation", "level", "repeatable", "read"):
		case p.acceptWords("isolation", "level", "serializable"):
		case p.acceptWords("not", "deferrable"), p.acceptWords("deferrable"), p.acceptSymbol(","):
		default:
			return access, p.syntaxError()
		}
	}
	return access, nil
}

func (p *parser) set() (Statement, error) {
	if p.acceptWords("transaction") {
		access, err := p.transactionModes()
		return SetAccess{Access: access}, err
	}
	local := p.acceptWords("local")
	if !local {
		p.acceptWords("session")
	}
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.acceptSymbol("=") {
		if name == "timezone" && !p.peek().isWord("to") {
			return p.setValue(name, local)
		}
		if err := p.expect("to"); err != nil {
			return nil, err
		}
	}
	return p.setValue(name, local)
}

// setValue parses the value of a setting, or the word DEFAULT.
func (p *parser) setValue(name string, local bool) (Statement, error) {
	if p.acceptWords("default") {
		return Reset{Name: name}, nil
	}
	var parts []string
	for {
		negative := p.acceptSymbol("-")
		t := p.peek()
		switch t.kind {
		case endToken, symbolToken, parameterToken:
			return nil, p.syntaxError()
		default:
			p.position++
		}
		text := t.text
		if negative {
			text = "-" + text
		}
		parts = append(parts, text)
		if !p.acceptSymbol(",") {
			return Set{Name: name, Value: strings.Join(parts, ", "), Local: local}, nil
		}
	}
}

// settingName parses the name of a setting and returns it in lower case.
func (p *parser) settingName() (string, error) {
	if p.acceptWords("time", "zone") {
		return "timezone", nil
	}
	if p.acceptWords("transaction", "isolation", "level") {
		return "transaction_isolation", nil
	}
	name, err := p.name()
	return strings.ToLower(name), err
}

func (p *parser) reset() (Statement, error) {
	if p.acceptWords("all") {
		return Reset{}, nil
	}
	name, err := p.settingName()
	return Reset{Name: name}, err
}

func (p *parser) prepare() (Statement, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.peek().isSymbol("(") {
		if err = p.skipParenthesised(); err != nil {
			return nil, err
		}
	}
	if err = p.expect("as"); err != nil {
		return nil, err
	}
	body, err := p.statement()
	return Prepare{Name: name, Body: body}, err
}

func (p *parser) execute() (Statement, error) {
	name, err := p.name()
	if err != nil || p.atEnd() {
		return Execute{Name: name}, err
	}
	arguments, err := p.operands()
	return Execute{Name: name, Arguments: arguments}, err
}

func (p *parser) deallocate() (Statement, error) {
	p.acceptWords("prepare")
	if p.acceptWords("all") {
		return Deallocate{}, nil
	}
	name, err := p.name()
	return Deallocate{Name: name}, err
}
