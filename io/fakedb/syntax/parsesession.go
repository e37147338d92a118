package syntax

import "strings"

// sessionStatement matches the statements that concern the connection and its transactions.
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
		p.at--
		return nil, p.failure()
	}
}

func (p *parser) skipTransactionWord() {
	if !p.words("transaction") {
		p.words("work")
	}
}

func (p *parser) begin() (Statement, error) {
	p.skipTransactionWord()
	access, err := p.modes()
	return Begin{Access: access}, err
}

// modes reads transaction modes; only the access mode has an effect.
func (p *parser) modes() (AccessMode, error) {
	access := DefaultAccess
	for !p.atEnd() {
		switch {
		case p.words("read", "only"):
			access = ReadOnly
		case p.words("read", "write"):
			access = ReadWrite
		case p.words("isolation", "level", "read", "committed"):
		case p.words("isolation", "level", "read", "uncommitted"):
		case p.words("isolation", "level", "repeatable", "read"):
		case p.words("isolation", "level", "serializable"):
		case p.words("not", "deferrable"), p.words("deferrable"), p.symbol(","):
		default:
			return access, p.failure()
		}
	}
	return access, nil
}

func (p *parser) set() (Statement, error) {
	if p.words("transaction") {
		access, err := p.modes()
		return SetAccess{Access: access}, err
	}
	local := p.words("local")
	if !local {
		p.words("session")
	}
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.symbol("=") {
		if name == "timezone" && !p.peek().isWord("to") {
			return p.setValue(name, local)
		}
		if err := p.expect("to"); err != nil {
			return nil, err
		}
	}
	return p.setValue(name, local)
}

// setValue reads the value of a setting, or the word default.
func (p *parser) setValue(name string, local bool) (Statement, error) {
	if p.words("default") {
		return Reset{Name: name}, nil
	}
	var parts []string
	for {
		negative := p.symbol("-")
		t := p.peek()
		switch t.kind {
		case endToken, symbolToken, parameterToken:
			return nil, p.failure()
		default:
			p.at++
		}
		text := t.text
		if negative {
			text = "-" + text
		}
		parts = append(parts, text)
		if !p.symbol(",") {
			return Set{Name: name, Value: strings.Join(parts, ", "), Local: local}, nil
		}
	}
}

// settingName reads the name of a setting in lower case.
func (p *parser) settingName() (string, error) {
	if p.words("time", "zone") {
		return "timezone", nil
	}
	if p.words("transaction", "isolation", "level") {
		return "transaction_isolation", nil
	}
	name, err := p.name()
	return strings.ToLower(name), err
}

func (p *parser) reset() (Statement, error) {
	if p.words("all") {
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
		if err = p.skipColumns(); err != nil {
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
	p.words("prepare")
	if p.words("all") {
		return Deallocate{}, nil
	}
	name, err := p.name()
	return Deallocate{Name: name}, err
}
