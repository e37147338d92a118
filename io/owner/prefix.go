package owner

import (
	"strings"

	"turmericpulley/io/pgcli"
)

const (
	resetStatement = "DISCARD ALL"
	// readOnlyStatement keeps a replica's connection from writing when the replica is promoted meanwhile.
	readOnlyStatement = "SET default_transaction_read_only = on"
	customerSetting   = "pulley.customer"
)

// setupStatements returns the statements that give a connection the session's settings, and how many there are; nothing is
// needed when the same session used the connection last, in the same mode.
func (t *transaction) setupStatements(c *pooledConn, readOnly bool) (payload []byte, statements int) {
	settings := strings.Join(t.begin.GetSettings(), ";")
	if c.dirty && c.session == t.session && c.settings == settings && c.readOnly == readOnly {
		return nil, 0
	}
	if c.dirty {
		payload = pgcli.EncodeQuery(payload, resetStatement)
		statements++
	}
	payload = pgcli.EncodeQuery(payload, "SET "+customerSetting+" = "+quoteLiteral(t.begin.GetCustomer()))
	statements++
	for _, s := range t.begin.GetSettings() {
		payload = pgcli.EncodeQuery(payload, s)
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

// quoteLiteral writes text as a string literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// skipSetupAnswers reads the answers to the statements of a prefix.
func skipSetupAnswers(c *pooledConn, statements int) error {
	for statements > 0 {
		m, err := c.Read()
		if err != nil {
			return err
		}
		if m.Type == pgcli.TypeReadyForQuery {
			statements--
		}
	}
	return nil
}
