package admin

import (
	"context"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// writeState is what reading back says about a change whose answer was lost.
type writeState int

const (
	// writeUndecided means that the change's base is still present, so a write may yet take effect.
	writeUndecided writeState = iota + 1
	// writeStored means that the change was stored, perhaps replaced since.
	writeStored
	// writeSuperseded means that another change took the base, so this one never takes effect.
	writeSuperseded
	// writeUndeterminable means that the history no longer reaches back to the base.
	writeUndeterminable
)

// submit writes the change until its fate is known or the time is over.
//
// A write is repeated only with the same expected revision and the same value: the store carries out at most one of
// them, because each successful write changes the revision that the others expect.
func (c *Client) submit(ctx context.Context, one change) Result {
	doubt := false
	for {
		revision, err := c.store.Put(ctx, contractKey(one.customer), one.value, one.base)
		if err == nil {
			return one.result(Pending, revision, "")
		}
		f := fault.From(err)
		if f != nil && f.Kind == fault.RevisionConflict && !doubt {
			return one.result(Conflict, revision, err.Error())
		}
		if f != nil && f.Kind == fault.InvalidSettings {
			return one.result(NotRun, 0, err.Error())
		}
		doubt = doubt || f == nil || f.Outcome == fault.Unknown
		if doubt {
			if result, known := c.readBack(ctx, one); known {
				return result
			}
		}
		if !pause.For(ctx, pollInterval) {
			return timeoutResult(one, doubt, err)
		}
	}
}

func timeoutResult(one change, doubt bool, err error) Result {
	if !doubt {
		return one.result(NotRun, 0, err.Error())
	}
	return one.result(Unknown, 0, err.Error()+"; look for change "+one.id+" with: contract history "+string(one.customer))
}

// readBack learns the fate of a change whose answer was lost; known is false when the write may be repeated.
func (c *Client) readBack(ctx context.Context, one change) (result Result, known bool) {
	present, found, err := c.readContract(ctx, one.customer)
	if err != nil {
		return Result{}, false
	}
	switch revision, fate := one.writeState(present, found); fate {
	case writeStored:
		return one.result(Pending, revision, "the answer was lost; the change was found by reading back"), true
	case writeSuperseded:
		f := fault.New(fault.RevisionConflict, "the present revision is "+present.Revision.String())
		return one.result(Conflict, present.Revision, f.Error()), true
	case writeUndeterminable:
		return one.result(Unknown, 0, "the answer was lost and the history no longer reaches back to revision "+
			one.base.String()+"; compare the present contract with yours before you apply it again"), true
	default:
		return Result{}, false
	}
}

// writeState compares the change with the present version and its history.
func (c change) writeState(present Version, found bool) (types.Revision, writeState) {
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
