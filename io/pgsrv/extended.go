package pgsrv

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// extended handles a message of the extended query protocol.
func (c *caller) extended(m message) error {
	if err := c.begin(); err != nil {
		return err
	}
	if c.batch.skipping {
		return nil
	}
	if err := c.dispatch(m); err != nil {
		return newViolation("message %q cannot be decoded: %v", m.kind, err)
	}
	if len(c.batch.payload) > submitBytes {
		return c.submit(false)
	}
	if len(c.batch.local.data) > submitBytes {
		return c.flush()
	}
	return nil
}

func (c *caller) dispatch(m message) error {
	switch m.kind {
	case kindParse:
		return c.parse(m)
	case kindBind:
		return c.bind(m)
	case kindDescribe:
		return c.describeObject(m)
	case kindExecute:
		return c.executePortal(m)
	default:
		return c.closeObject(m)
	}
}

// parse defines a statement; the target sees it as its unnamed one.
func (c *caller) parse(m message) error {
	var p pgproto3.Parse
	if err := p.Decode(m.body); err != nil {
		return err
	}
	if _, exists := c.statements[p.Name]; exists && p.Name != "" {
		c.fail(stateDuplicateStatement, fmt.Sprintf("failed: prepared statement %q already exists; close it first", p.Name))
		return nil
	}
	if len(c.statements) >= MaxStatements || len(c.batch.defined) >= MaxStatements {
		c.fail(stateLimitExceeded, fmt.Sprintf("not run: the connection has %d prepared statements; close some first", MaxStatements))
		return nil
	}
	s := &statement{text: p.Query, parameterTypes: append([]uint32(nil), p.ParameterOIDs...), command: recognise(p.Query)}
	if cmd := c.commandOf(s.text, s.command); cmd != nil {
		c.parseLocal(p.Name, s, cmd)
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	c.define(p.Name, s)
	c.batch.defined = append(c.batch.defined, parse{name: p.Name, statement: s})
	c.forwardParse(s, false)
	return nil
}

func (c *caller) parseLocal(name string, s *statement, cmd command) {
	if c.rejects(cmd) || !c.useLocal() {
		return
	}
	s.confirmed = true
	c.define(name, s)
	c.batch.local.add(&pgproto3.ParseComplete{})
}

func (c *caller) define(name string, s *statement) {
	if c.statements == nil {
		c.statements = make(map[string]*statement)
	}
	c.statements[name] = s
}

// forwardParse makes the statement the target's unnamed one.
func (c *caller) forwardParse(s *statement, injected bool) {
	b := c.batch
	b.payload = appendParse(b.payload, s)
	b.parses = append(b.parses, parse{statement: s, injected: injected})
	b.unnamed = s
}

// lookUp returns a statement of the caller, or answers that there is none.
func (c *caller) lookUp(name string) *statement {
	s := c.statements[name]
	if s == nil {
		c.fail(stateUnknownStatement, fmt.Sprintf("failed: prepared statement %q does not exist; prepare it first", name))
	}
	return s
}

// bind makes a portal of a statement.
func (c *caller) bind(m message) error {
	var d pgproto3.Bind
	if err := d.Decode(m.body); err != nil {
		return err
	}
	s := c.lookUp(d.PreparedStatement)
	if s == nil {
		return nil
	}
	if cmd := c.commandOf(s.text, s.command); cmd != nil {
		c.bindLocal(d.DestinationPortal, cmd)
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	if c.batch.unnamed != s {
		c.forwardParse(s, true)
	}
	c.batch.bind(s.text)
	c.batch.payload = appendBind(c.batch.payload, m.body, d.DestinationPortal, d.PreparedStatement)
	return nil
}

func (c *caller) bindLocal(portal string, cmd command) {
	if c.rejects(cmd) || !c.useLocal() {
		return
	}
	if c.batch.portals == nil {
		c.batch.portals = make(map[string]command)
	}
	c.batch.portals[portal] = cmd
	c.batch.local.add(&pgproto3.BindComplete{})
}

// describeObject describes a statement or a portal.
func (c *caller) describeObject(m message) error {
	var d pgproto3.Describe
	if err := d.Decode(m.body); err != nil {
		return err
	}
	if d.ObjectType != objectStatement {
		c.describePortal(m, d.Name)
		return nil
	}
	s := c.lookUp(d.Name)
	if s == nil {
		return nil
	}
	if cmd := c.commandOf(s.text, s.command); cmd != nil {
		if !c.rejects(cmd) && c.useLocal() {
			c.batch.local.add(&pgproto3.ParameterDescription{})
			c.batch.local.add(c.rowDescription(cmd))
		}
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	if c.batch.unnamed != s {
		c.forwardParse(s, true)
	}
	c.batch.payload = appendDescribeUnnamed(c.batch.payload)
	return nil
}

func (c *caller) describePortal(m message, portal string) {
	if cmd, ok := c.batch.portals[portal]; ok {
		c.batch.local.add(c.rowDescription(cmd))
		return
	}
	c.forward(m)
}

// executePortal runs a portal.
func (c *caller) executePortal(m message) error {
	var e pgproto3.Execute
	if err := e.Decode(m.body); err != nil {
		return err
	}
	if cmd, ok := c.batch.portals[e.Portal]; ok {
		c.execute(cmd)
		return nil
	}
	if c.refusesSetting(c.batch.last) {
		c.failSetting()
		return nil
	}
	c.batch.executes++
	c.forward(m)
	return nil
}

// forward passes a message to the target unchanged.
func (c *caller) forward(m message) {
	if c.useTarget() {
		c.batch.payload = m.appendTo(c.batch.payload)
	}
}

// closeObject closes a statement or a portal.
func (c *caller) closeObject(m message) error {
	var d pgproto3.Close
	if err := d.Decode(m.body); err != nil {
		return err
	}
	b := c.batch
	if d.ObjectType == objectStatement {
		delete(c.statements, d.Name)
	} else {
		delete(b.portals, d.Name)
	}
	switch {
	case b.answers:
		b.local.add(&pgproto3.CloseComplete{})
	case c.exchange.Load() == nil && !b.forwards:
		b.closes++
	case d.ObjectType == objectPortal:
		c.forward(m)
	default:
		c.useTarget()
		b.payload = appendCloseUnnamed(b.payload)
		b.unnamed = nil
	}
	return nil
}
