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

// openTimeout bounds the search for an owner.
const openTimeout = 5 * time.Second

// readOnlyBlock matches a statement that opens a transaction block in which the caller only reads.
var readOnlyBlock = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b[^;]*\bread\s+only\b[^;]*;?\s*$`)

// open starts a transaction for a batch.
func (c *caller) open(b *batch, end bool) (*exchange, *fault.Fault) {
	runs := b.executes > 0 || !end
	var key types.RequestKey
	if runs {
		key = c.session.takeRequestKey()
	}
	b.requestID = types.RequestID(c.server.nextRequestID())
	contract, revision, f := c.admit()
	if f != nil {
		c.reportRefused(f, b)
		return nil, f
	}
	begin := c.describeBegin(contract, revision)
	begin.RequestId = uint64(b.requestID)
	begin.RequestKey = string(key)
	if runs && b.first != "" {
		begin.StatementHash = xxhash.Sum64String(b.first)
		begin.ReadOnly = begin.ReadOnly || readOnlyBlock.MatchString(b.first)
	}
	ctx, cancel := context.WithTimeout(c.server.running, openTimeout)
	defer cancel()
	stream, err := c.server.settings.Router.Open(ctx, begin)
	if err != nil {
		f := asFault(err, fault.NoOwner)
		c.reportRefused(f, b)
		return nil, f
	}
	c.server.counters.Transactions.Add(1)
	return newExchange(c, stream, begin, b.start), nil
}

// admit checks the customer's contract in force and the freshness of the instance.
func (c *caller) admit() (policy.Contract, types.Revision, *fault.Fault) {
	if err := c.server.settings.Gate.Fresh(); err != nil {
		return policy.Contract{}, 0, asFault(err, fault.Isolated)
	}
	return c.server.authorize(c.customer, c.database)
}

func (c *caller) describeBegin(contract policy.Contract, revision types.Revision) *wire.Begin {
	begin := &wire.Begin{
		Database:         string(c.database),
		Customer:         string(c.customer),
		Session:          string(c.session.name),
		TimeoutMs:        uint32(requestTimeout(contract).Milliseconds()),
		ReadOnly:         c.session.readOnly,
		Settings:         append(c.settings[:len(c.settings):len(c.settings)], c.session.carried.texts()...),
		ContractRevision: uint64(revision),
	}
	if c.session.maxReadAge != nil {
		age := uint32(c.session.maxReadAge.Milliseconds())
		begin.MaxReadAgeMs = &age
	}
	return begin
}

func requestTimeout(contract policy.Contract) time.Duration {
	contract = contract.WithDefaults()
	return contract.StatementTimeout.Std() + contract.QueueTimeout.Std()
}

// asFault returns the fault inside an error, or one of the kind.
func asFault(err error, kind fault.Kind) *fault.Fault {
	if f := fault.From(err); f != nil {
		return f
	}
	return fault.New(kind, err.Error())
}
