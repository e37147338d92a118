package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

// commandOf returns how the proxy answers a statement in the connection's present state, or nil.
func (c *caller) commandOf(text string, recognised command) command {
	if !c.blockFailed || recognised != nil {
		return recognised
	}
	if endsBlock(text) {
		return endBlockCommand{}
	}
	return failedBlockCommand{}
}

// rejects answers a statement that a failed transaction block cannot even prepare.
func (c *caller) rejects(cmd command) bool {
	if _, ok := cmd.(failedBlockCommand); !ok {
		return false
	}
	c.execute(cmd)
	return true
}

func isShow(cmd command) bool {
	_, ok := cmd.(showCommand)
	return ok
}

// rowDescription describes the rows of a command.
func (c *caller) rowDescription(cmd command) pgproto3.BackendMessage {
	show, ok := cmd.(showCommand)
	if !ok {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(settingPrefix + show.name),
		DataTypeOID:  pgtype.TextOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// execute runs a command and appends its answer to the batch.
func (c *caller) execute(cmd command) {
	b := c.batch
	switch cmd := cmd.(type) {
	case assignCommand:
		c.executeSetting(tagSet, c.session.assign(cmd.name, cmd.value))
	case resetCommand:
		c.executeSetting(tagReset, c.session.reset(cmd.name))
	case showCommand:
		value, err := c.session.show(cmd.name)
		if err == nil {
			b.local.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		}
		c.executeSetting(tagShow, err)
	case endBlockCommand:
		c.blockFailed = false
		b.local.add(&pgproto3.CommandComplete{CommandTag: []byte(tagRollback)})
	case failedBlockCommand:
		c.fail(stateFailedTransaction, "failed: the transaction has ended; send ROLLBACK before other statements")
	case unsupportedCommand:
		c.fail(stateFeatureNotSupported, "failed: "+cmd.remedy)
	}
}

func (c *caller) executeSetting(tag string, err error) {
	switch {
	case err == nil:
		c.batch.local.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	case errors.Is(err, errUnknownSetting):
		c.fail(stateUnrecognisedSetting, "failed: "+err.Error())
	default:
		c.fail(stateInvalidParameter, "failed: "+err.Error())
	}
}

// refusesSetting reports whether the statement makes one setting more than a session carries.
func (c *caller) refusesSetting(text string) bool {
	return c.status() == statusIdle && c.session.carried.full(text)
}

func (c *caller) failSetting() {
	c.fail(stateLimitExceeded, "not run: the session has too many settings; RESET some of them first")
}
