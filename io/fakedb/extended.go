package fakedb

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/io/fakedb/syntax"
)

const (
	// objectPortal is the object type of a portal in Describe and Close messages.
	objectPortal = 'P'
)

// portal is a statement with values bound to its parameters.
type portal struct {
	statement syntax.Statement
	arguments arguments
	formats   []int16
	// result is nil until the first Execute message.
	result   *result
	rowsSent int
}

// endExtendedStep ends the handling of a message of the extended query protocol. An error is sent to the caller, and the
// messages up to the next Sync are skipped.
func (s *session) endExtendedStep(err error) error {
	if err == nil {
		return nil
	}
	s.sendError(err)
	s.skippingToSync = true
	return s.endReason()
}

func (s *session) handleParse(message *pgproto3.Parse) error {
	statements, err := syntax.Parse(message.Query)
	if err != nil {
		return err
	}
	var st syntax.Statement = syntax.Empty{}
	switch len(statements) {
	case 0:
	case 1:
		st = statements[0]
	default:
		return fail(stateSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.prepared[message.Name]; ok && message.Name != "" {
		return fail(stateDuplicatePrepared, `prepared statement "`+message.Name+`" already exists`)
	}
	s.prepared[message.Name] = &prepared{statement: st, parameters: parameterTypes(st, message.ParameterOIDs)}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(message *pgproto3.Bind) error {
	p, err := s.findPrepared(message.PreparedStatement)
	if err != nil {
		return err
	}
	if len(message.Parameters) != len(p.parameters) {
		return fail(stateWrongParameterCount, "the number of bound values differs from the number of parameters")
	}
	bound := make(arguments, len(message.Parameters))
	for i, data := range message.Parameters {
		bound[i], err = decodeParameter(data, p.parameters[i], formatOf(message.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
	}
	s.portals[message.DestinationPortal] = &portal{
		statement: p.statement,
		arguments: bound,
		formats:   append([]int16(nil), message.ResultFormatCodes...),
	}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(message *pgproto3.Describe) error {
	if message.ObjectType == objectPortal {
		p, err := s.findPortal(message.Name)
		if err != nil {
			return err
		}
		s.sendColumns(s.resultColumns(p.statement), p.formats)
		return nil
	}
	p, err := s.findPrepared(message.Name)
	if err != nil {
		return err
	}
	oids := make([]uint32, len(p.parameters))
	for i, kind := range p.parameters {
		oids[i] = uint32(kind)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	s.sendColumns(s.resultColumns(p.statement), nil)
	return nil
}

// sendColumns sends the description of a result, or NoData when the statement returns no rows.
func (s *session) sendColumns(columns []column, formats []int16) {
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns, formats))
}

// handleExecute runs a portal on its first call and sends the next rows, at most the requested number. A later call continues
// where the previous one stopped.
func (s *session) handleExecute(message *pgproto3.Execute) error {
	p, err := s.findPortal(message.Portal)
	if err != nil {
		return err
	}
	if _, ok := p.statement.(syntax.Empty); ok {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		if p.result, err = s.run(p.statement, p.arguments); err != nil {
			return err
		}
		s.sendNotice(p.result)
	}
	rows := p.result.rows[p.rowsSent:]
	if limit := int(message.MaxRows); limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	s.sendRows(p.result.columns, rows, p.formats)
	p.rowsSent += len(rows)
	if p.rowsSent < len(p.result.rows) {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

func (s *session) handleClose(message *pgproto3.Close) {
	if message.ObjectType == objectPortal {
		delete(s.portals, message.Name)
	} else {
		delete(s.prepared, message.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

// handleSync ends a group of messages; outside a transaction block it closes the portals and commits.
func (s *session) handleSync() error {
	s.skippingToSync = false
	if !s.inBlock() {
		s.portals = map[string]*portal{}
	}
	return s.commitImplicit()
}

func (s *session) findPrepared(name string) (*prepared, error) {
	p, ok := s.prepared[name]
	if !ok {
		return nil, fail(stateUnknownPrepared, `prepared statement "`+name+`" does not exist`)
	}
	return p, nil
}

func (s *session) findPortal(name string) (*portal, error) {
	p, ok := s.portals[name]
	if !ok {
		return nil, fail(stateUnknownPortal, `portal "`+name+`" does not exist`)
	}
	return p, nil
}
