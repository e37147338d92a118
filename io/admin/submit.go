package admin

import (
	"context"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// writeState says what the present version shows about a change whose write got no response.
type writeState int

const (
	// writeUndecided means that the change's base is still the present version, so a write may still take effect.
	writeUndecided writeState = iota + 1
	// writeStored means that the change was stored; a later change may have replaced it.
	writeStored
	// writeSuperseded means that another change replaced the base first, so this one never takes effect.
	writeSuperseded
	// writeUndeterminable means that the history no longer goes back to the base.
	writeUndeterminable
)

// submit writes the change, and repeats the write until the outcome is known or the context ends.
//
// A write is repeated only with the same expected revision and the same value: the store carries out at most one of
// them, because each successful write changes the revision that the others expect.
func (c *Client) submit(ctx context.Context, attempt change) Result {
	mayBeStored := false
	for {
		revision, err := c.store.Put(ctx, contractKey(attempt.customer), attempt.value, attempt.base)
		if err == nil {
			return attempt.result(Pending, revision, "")
		}
		f := fault.From(err)
		if f != nil && f.Kind == fault.RevisionConflict && !mayBeStored {
			return attempt.result(Conflict, revision, err.Error())
		}
		if f != nil && f.Kind == fault.InvalidSettings {
			return attempt.result(NotRun, 0, err.Error())
		}
		mayBeStored = mayBeStored || f == nil || f.Outcome == fault.Unknown
		if mayBeStored {
			if result, known := c.readBack(ctx, attempt); known {
				return result
			}
		}
		if !pause.For(ctx, pollInterval) {
			return timeoutResult(attempt, mayBeStored, err)
		}
	}
}

// timeoutResult returns the result of a change that was not confirmed as stored when the context ended.
func timeoutResult(attempt change, mayBeStored bool, err error) Result {
	if !mayBeStored {
		return attempt.result(NotRun, 0, err.Error())
	}
	return attempt.result(Unknown, 0, err.Error()+"; find change "+attempt.id+" with: contract history "+string(attempt.customer))
}

// readBack reads the present version to determine whether a change was stored although the response was lost. known is false
// when the version cannot be read, and when the write may still take effect and may be repeated.
func (c *Client) readBack(ctx context.Context, attempt change) (result Result, known bool) {
	present, found, err := c.readContract(ctx, attempt.customer)
	if err != nil {
		return Result{}, false
	}
	switch revision, state := attempt.determineWriteState(present, found); state {
	case writeStored:
		return attempt.result(Pending, revision, "the response was lost; the change was found by reading the contract back"), true
	case writeSuperseded:
		f := fault.New(fault.RevisionConflict, "the present revision is "+present.Revision.String())
		return attempt.result(Conflict, present.Revision, f.Error()), true
	case writeUndeterminable:
		return attempt.result(Unknown, 0, "the response was lost and the history no longer goes back to revision "+
			attempt.base.String()+"; compare the present contract with yours before you apply it again"), true
	default:
		return Result{}, false
	}
}

// determineWriteState compares the change with the present version and its history. The revision is set when the change was
// stored.
func (c change) determineWriteState(present Version, found bool) (types.Revision, writeState) {
	if found && present.Problem == "" && present.Contract.ChangeID == c.id {
		return present.Revision, writeStored
	}
	if present.Revision == c.base {
		return 0, writeUndecided
	}
	for _, earlier := range present.Contract.History {
		switch {
		case earlier.ChangeID == c.id:
			return earlier.Revision, writeStored
		case earlier.Revision == c.base:
			return 0, writeSuperseded
		}
	}
	if c.base == 0 && found && present.Problem == "" && len(present.Contract.History) < policy.MaxHistory {
		return 0, writeSuperseded
	}
	return 0, writeUndeterminable
}
