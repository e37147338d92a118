package pgsrv

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleExtended handles a message of the extended query protocol.
func (c *connection) handleExtended(m message) error {
	if err := c.startBatch(); err != nil {
		return err
	}
	if c.batch.skipping {
		return nil
	}
	if err := c.dispatchExtended(m); err != nil {
		return newProtocolViolation("message %q cannot be decoded: %v", m.messageType, err)
	}
	if len(c.batch.payload) > batchPartBytes {
		return c.sendBatch(false)
	}
	if len(c.batch.localReply.data) > batchPartBytes {
		return c.handleFlush()
	}
	return nil
}

func (c *connection) dispatchExtended(m message) error {
	switch m.messageType {
	case typeParse:
		return c.handleParse(m)
	case typeBind:
		return c.handleBind(m)
	case typeDescribe:
		return c.handleDescribe(m)
	case typeExecute:
		return c.handleExecute(m)
	default:
		return c.handleClose(m)
	}
}

// handleParse prepares a statement. The target receives it as its unnamed statement.
func (c *connection) handleParse(m message) error {
	var p pgproto3.Parse
	if err := p.Decode(m.body); err != nil {
		return err
	}
	if _, exists := c.statements[p.Name]; exists && p.Name != "" {
		c.fail(sqlStateDuplicateStatement, fmt.Sprintf("failed: prepared statement %q already exists; close it first", p.Name))
		return nil
	}
	if len(c.statements) >= MaxStatements || len(c.batch.callerParses) >= MaxStatements {
		c.fail(sqlStateLimitExceeded, fmt.Sprintf("not run: the connection has %d prepared statements; close some first", MaxStatements))
		return nil
	}
	s := &statement{text: p.Query, parameterTypes: append([]uint32(nil), p.ParameterOIDs...), command: recogniseCommand(p.Query)}
	if !c.mayHold(s.size(p.Name)) {
		return nil
	}
	if cmd := c.commandFor(s.text, s.command); cmd != nil {
		c.parseLocal(p.Name, s, cmd)
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	c.defineStatement(p.Name, s)
	c.batch.callerParses = append(c.batch.callerParses, pendingParse{name: p.Name, statement: s})
	c.forwardParse(s, false)
	return nil
}

func (c *connection) parseLocal(name string, s *statement, cmd command) {
	if c.rejectInFailedBlock(cmd) || !c.useLocal() {
		return
	}
	s.confirmed = true
	c.defineStatement(name, s)
	c.batch.localReply.add(&pgproto3.ParseComplete{})
}

func (c *connection) defineStatement(name string, s *statement) {
	if c.statements == nil {
		c.statements = make(map[string]*statement)
	}
	c.removeStatement(name)
	c.statements[name] = s
	c.statementBytes += s.size(name)
}

// removeStatement removes a prepared statement, if there is one of the name.
func (c *connection) removeStatement(name string) {
	s := c.statements[name]
	if s == nil {
		return
	}
	c.statementBytes -= s.size(name)
	delete(c.statements, name)
	if c.batch != nil {
		c.batch.heldBytes += s.size(name)
	}
}

// mayHold reports whether the connection may hold so many more bytes of a statement or a portal. It fails the batch otherwise.
func (c *connection) mayHold(size int) bool {
	if c.statementBytes+c.batch.heldBytes+size <= MaxStatementBytes {
		if c.mayHoldState(size) {
			return true
		}
		c.fail(sqlStateOutOfMemory, "not run: this instance has no memory left for prepared statements; close some first")
		return false
	}
	c.fail(sqlStateLimitExceeded, fmt.Sprintf("not run: the prepared statements exceed %d bytes; close some first", MaxStatementBytes))
	return false
}

// forwardParse adds a Parse to the batch that makes the statement the target's unnamed one. Injected means that the caller
// has not sent this Parse.
func (c *connection) forwardParse(s *statement, injected bool) {
	b := c.batch
	b.payload = appendParse(b.payload, s)
	b.parses = append(b.parses, pendingParse{statement: s, injected: injected})
	b.targetUnnamed = s
}

// findStatement returns a prepared statement, or fails the batch and returns nil when none has the name.
func (c *connection) findStatement(name string) *statement {
	s := c.statements[name]
	if s == nil {
		c.fail(sqlStateUnknownStatement, fmt.Sprintf("failed: prepared statement %q does not exist; prepare it first", name))
	}
	return s
}

// handleBind creates a portal from a prepared statement.
func (c *connection) handleBind(m message) error {
	var d pgproto3.Bind
	if err := d.Decode(m.body); err != nil {
		return err
	}
	s := c.findStatement(d.PreparedStatement)
	if s == nil {
		return nil
	}
	if cmd := c.commandFor(s.text, s.command); cmd != nil {
		c.bindLocal(d.DestinationPortal, cmd)
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	if c.batch.targetUnnamed != s {
		c.forwardParse(s, true)
	}
	c.batch.recordStatement(s.text)
	c.batch.payload = appendBind(c.batch.payload, m.body, d.DestinationPortal, d.PreparedStatement)
	return nil
}

func (c *connection) bindLocal(portal string, cmd command) {
	if c.rejectInFailedBlock(cmd) || !c.useLocal() || !c.mayHold(len(portal)) {
		return
	}
	if len(c.batch.portals) >= MaxStatements {
		c.fail(sqlStateLimitExceeded, fmt.Sprintf("not run: the batch has %d portals; send a Sync first", MaxStatements))
		return
	}
	if c.batch.portals == nil {
		c.batch.portals = make(map[string]command)
	}
	c.batch.portals[portal] = cmd
	c.batch.heldBytes += len(portal)
	c.batch.localReply.add(&pgproto3.BindComplete{})
}

// handleDescribe describes a prepared statement or a portal.
func (c *connection) handleDescribe(m message) error {
	var d pgproto3.Describe
	if err := d.Decode(m.body); err != nil {
		return err
	}
	if d.ObjectType != objectStatement {
		c.describePortal(m, d.Name)
		return nil
	}
	s := c.findStatement(d.Name)
	if s == nil {
		return nil
	}
	if cmd := c.commandFor(s.text, s.command); cmd != nil {
		if !c.rejectInFailedBlock(cmd) && c.useLocal() {
			c.batch.localReply.add(&pgproto3.ParameterDescription{})
			c.batch.localReply.add(c.rowDescription(cmd))
		}
		return nil
	}
	if !c.useTarget() {
		return nil
	}
	if c.batch.targetUnnamed != s {
		c.forwardParse(s, true)
	}
	c.batch.payload = appendDescribeUnnamed(c.batch.payload)
	return nil
}

func (c *connection) describePortal(m message, portal string) {
	if cmd, ok := c.batch.portals[portal]; ok {
		c.batch.localReply.add(c.rowDescription(cmd))
		return
	}
	c.forward(m)
}

// handleExecute executes a portal.
func (c *connection) handleExecute(m message) error {
	var e pgproto3.Execute
	if err := e.Decode(m.body); err != nil {
		return err
	}
	if cmd, ok := c.batch.portals[e.Portal]; ok {
		c.executeCommand(cmd)
		return nil
	}
	if c.exceedsSettingLimit(c.batch.lastText) {
		c.failSettingLimit()
		return nil
	}
	c.batch.executeCount++
	c.forward(m)
	return nil
}

// forward adds a message to the batch for the target, unchanged.
func (c *connection) forward(m message) {
	if c.useTarget() {
		c.batch.payload = m.appendTo(c.batch.payload)
	}
}

// handleClose closes a prepared statement or a portal.
//
// The proxy answers the Close if it already answers the batch. Outside a transaction, a Close that comes before any message for
// the target waits in pendingCloses, because a later message decides whether the target or the proxy answers the batch. In all
// other cases the target answers. It receives the Close of a portal unchanged. The Close of a statement becomes one of the
// unnamed statement, since the target has no other. The target then has no unnamed statement, and targetUnnamed is nil.
func (c *connection) handleClose(m message) error {
	var d pgproto3.Close
	if err := d.Decode(m.body); err != nil {
		return err
	}
	b := c.batch
	if d.ObjectType == objectStatement {
		c.removeStatement(d.Name)
	} else {
		delete(b.portals, d.Name)
	}
	switch {
	case b.answeredLocally:
		b.localReply.add(&pgproto3.CloseComplete{})
	case c.transaction.Load() == nil && !b.usesTarget:
		b.pendingCloses++
	case d.ObjectType == objectPortal:
		c.forward(m)
	default:
		c.useTarget()
		b.payload = appendCloseUnnamed(b.payload)
		b.targetUnnamed = nil
	}
	return nil
}
