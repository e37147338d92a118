package owner

import (
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

func errWrongMember(want policy.Member, got types.TargetID) error {
	return errors.Errorf("address %s belongs to member %s, not %s; correct the group", want.Address, got, want.Target)
}

func errNotOwner() *fault.Fault {
	return fault.New(fault.NoOwner, "this instance no longer owns the database")
}
