package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

// commandFor returns the command with which the proxy answers a statement, or nil when the statement goes to the target.
// After the proxy has failed a transaction block, it answers every statement up to the end of the block.
func (c *connection) commandFor(text string, recognised command) command {
	if !c.blockFailed || recognised != nil {
		return recognised
	}
	if endsBlock(text) {
		return endBlockCommand{}
	}
	return failedBlockCommand{}
}

// rejectInFailedBlock fails the batch when the command is a failedBlockCommand, and reports whether it did. Preparing, binding
// and describing a statement inside a failed transaction block are errors, as executing it is.
func (c *connection) rejectInFailedBlock(cmd command) bool {
	if _, ok := cmd.(failedBlockCommand); !ok {
		return false
	}
	c.executeCommand(cmd)
	return true
}

func isShow(cmd command) bool {
	_, ok := cmd.(showCommand)
	return ok
}

// rowDescription returns the description of the rows that a command returns.
func (c *connection) rowDescription(cmd command) pgproto3.BackendMessage {
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

// executeCommand runs a command and adds its answer to the batch.
func (c *connection) executeCommand(cmd command) {
	b := c.batch
	switch cmd := cmd.(type) {
	case assignCommand:
		c.answerCommand(tagSet, c.session.assign(cmd.name, cmd.value))
	case resetCommand:
		c.answerCommand(tagReset, c.session.reset(cmd.name))
	case showCommand:
		value, err := c.session.show(cmd.name)
		if err == nil {
			b.localReply.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		}
		c.answerCommand(tagShow, err)
	case endBlockCommand:
		c.blockFailed = false
		b.localReply.add(&pgproto3.CommandComplete{CommandTag: []byte(tagRollback)})
	case failedBlockCommand:
		c.fail(sqlStateFailedTransaction, "failed: the transaction has ended; send ROLLBACK before other statements")
	case unsupportedCommand:
		c.fail(sqlStateFeatureNotSupported, "failed: "+cmd.remedy)
	}
}

func (c *connection) answerCommand(tag string, err error) {
	switch {
	case err == nil:
		c.batch.localReply.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	case errors.Is(err, errUnknownSetting):
		c.fail(sqlStateUnknownSetting, "failed: "+err.Error())
	default:
		c.fail(sqlStateInvalidParameter, "failed: "+err.Error())
	}
}

// exceedsSettingLimit reports whether the statement would add a setting to a session that has MaxSessionSettings already.
func (c *connection) exceedsSettingLimit(text string) bool {
	return c.transactionStatus() == statusIdle && c.session.settings.exceedsLimit(text)
}

func (c *connection) failSettingLimit() {
	c.fail(sqlStateLimitExceeded, "not run: the session has too many settings; RESET some of them first")
}
