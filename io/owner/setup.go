package owner

import (
	"bytes"
	"slices"
	"strings"

	"turmericpulley/core/fault"
	"turmericpulley/io/pgcli"
)

const (
	resetStatement = "DISCARD ALL"
	// readOnlyStatement makes a replica's connection refuse writes even if the replica is promoted meanwhile.
	readOnlyStatement = "SET default_transaction_read_only = on"
	customerSetting   = "pulley.customer"
)

// setupStatements returns the statements that apply the session's settings to a connection, and their number. There are none
// when the same session used the connection last, with the same settings and mode.
func (t *transaction) setupStatements(c *pooledConn, readOnly bool) (payload []byte, statements int) {
	settings := t.begin.GetSettings()
	if c.dirty && c.session == t.session && slices.EqualFunc(c.settings, settings, bytes.Equal) && c.readOnly == readOnly {
		return nil, 0
	}
	if c.dirty {
		payload = pgcli.EncodeQuery(payload, resetStatement)
		statements++
	}
	payload = pgcli.EncodeQuery(payload, "SET "+customerSetting+" = "+quoteLiteral(t.begin.GetCustomer()))
	statements++
	for _, s := range settings {
		payload = pgcli.EncodeQuery(payload, string(s))
		statements++
	}
	if readOnly {
		payload = pgcli.EncodeQuery(payload, readOnlyStatement)
		statements++
	}
	c.dirty = true
	c.session = t.session
	c.settings = settings
	c.readOnly = readOnly
	return payload, statements
}

// quoteLiteral returns the text as an SQL string literal, which means the same with standard_conforming_strings on or off.
func quoteLiteral(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if !strings.Contains(text, `\`) {
		return quoted
	}
	return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

// applySettings sends setup statements by themselves and waits for their answers, so that nothing runs when the target refuses one.
func (t *transaction) applySettings(c *pooledConn, accepted *acceptedSettings, setup []byte, statements int) error {
	if statements == 0 {
		return nil
	}
	if err := c.Send(pgcli.AppendGuard(setup)); err != nil {
		return err
	}
	refusal, err := skipSetupAnswers(c, statements)
	if err == nil {
		err = c.ReadGuard(pgcli.StatusIdle)
	}
	if err != nil {
		return err
	}
	if refusal != "" {
		return fault.New(fault.InvalidSettings, "the member refused a setting of the session (SQLSTATE "+refusal+")")
	}
	accepted.add(t.begin.GetSettings())
	return nil
}

// skipPipelinedSetup reads the answers to setup statements behind which the batch was sent, as the target had accepted them before.
func skipPipelinedSetup(c *pooledConn, accepted *acceptedSettings, statements int) error {
	refusal, err := skipSetupAnswers(c, statements)
	if err != nil || refusal == "" {
		return err
	}
	accepted.forget()
	return fault.New(fault.OutcomeUnknown, "the member refused a setting of the session that it had accepted before (SQLSTATE "+refusal+")")
}

// skipSetupAnswers reads and drops the answers to setup statements. It returns the SQLSTATE of the last one that failed, if any.
func skipSetupAnswers(c *pooledConn, statements int) (refusal string, err error) {
	for statements > 0 {
		m, err := c.Read()
		if err != nil {
			return "", err
		}
		switch m.Type {
		case pgcli.TypeErrorResponse:
			refusal = pgcli.ParseError(m.Body()).SQLState
		case pgcli.TypeReadyForQuery:
			statements--
		}
	}
	return refusal, nil
}
