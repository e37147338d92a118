package pgsrv

import (
	"context"
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// openTimeout bounds finding the owner and opening a stream to it.
const openTimeout = 5 * time.Second

// readOnlyBeginPattern matches a statement that begins a read-only transaction block.
var readOnlyBeginPattern = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b[^;]*\bread\s+only\b[^;]*;?\s*$`)

// openTransaction opens a stream to the owner for a batch. The parameter end is true when the batch is complete. An incomplete
// batch may still execute a statement. It therefore takes the session's request key, as a batch that executes a statement does.
func (c *connection) openTransaction(b *batch, end bool) (*transaction, *fault.Fault) {
	executes := b.executeCount > 0 || !end
	var key types.RequestKey
	if executes {
		key = c.session.takeRequestKey()
	}
	b.requestID = types.RequestID(c.server.nextRequestID())
	contract, revision, f := c.checkContract()
	if f != nil {
		c.reportNotOpened(f, b)
		return nil, f
	}
	begin := c.newBegin(contract, revision)
	begin.RequestId = uint64(b.requestID)
	begin.RequestKey = []byte(key)
	if executes && b.firstText != "" {
		begin.StatementHash = xxhash.Sum64String(b.firstText)
		begin.ReadOnly = begin.ReadOnly || readOnlyBeginPattern.MatchString(b.firstText)
	}
	ctx, cancel := context.WithTimeout(c.server.baseContext, openTimeout)
	defer cancel()
	stream, err := c.server.settings.Router.Open(ctx, begin)
	if err != nil {
		f := asFault(err, fault.NoOwner)
		c.reportNotOpened(f, b)
		return nil, f
	}
	c.server.counters.Transactions.Add(1)
	return newTransaction(c, stream, begin, b.start), nil
}

// checkContract returns the customer's contract in force and its revision, or a fault when the contract does not allow the
// database or the instance cannot know that its contracts are current.
func (c *connection) checkContract() (policy.Contract, types.Revision, *fault.Fault) {
	if err := c.server.settings.Freshness.CheckFreshness(); err != nil {
		return policy.Contract{}, 0, asFault(err, fault.Isolated)
	}
	return c.server.authorize(c.customer, c.database)
}

func (c *connection) newBegin(contract policy.Contract, revision types.Revision) *wire.Begin {
	begin := &wire.Begin{
		Database:         string(c.database),
		Customer:         string(c.customer),
		Session:          []byte(c.session.name),
		TimeoutMs:        uint32(requestTimeout(contract).Milliseconds()),
		ReadOnly:         c.session.readOnly,
		Settings:         c.encodedSettings(),
		ContractRevision: uint64(revision),
	}
	if c.session.maxReadAge != nil {
		age := uint32(c.session.maxReadAge.Milliseconds())
		begin.MaxReadAgeMs = &age
	}
	return begin
}

// encodedSettings returns the SET statements that the session repeats at the start of each transaction.
func (c *connection) encodedSettings() [][]byte {
	statements := c.session.settings.statements()
	encoded := make([][]byte, 0, len(c.startupSettings)+len(statements))
	for _, s := range c.startupSettings {
		encoded = append(encoded, []byte(s))
	}
	for _, s := range statements {
		encoded = append(encoded, []byte(s))
	}
	return encoded
}

func requestTimeout(contract policy.Contract) time.Duration {
	contract = contract.WithDefaults()
	return contract.StatementTimeout.Duration() + contract.QueueTimeout.Duration()
}

// asFault returns the fault that an error wraps, or else a new fault of the given kind.
func asFault(err error, kind fault.Kind) *fault.Fault {
	if f := fault.From(err); f != nil {
		return f
	}
	return fault.New(kind, err.Error())
}
