package group

import "github.com/pkg/errors"

var (
	// errPoolClosed reports a member that is no longer used.
	errPoolClosed = errors.New("the connections to the member are closed; the statement goes to another")
	// ErrNotOwner reports that the instance may not work for the database; nothing ran.
	ErrNotOwner = errors.New("this instance does not own the database; ask its owner")
)
