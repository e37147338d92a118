package fakekv

import (
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// precondition is the revision that a key must have for a write to take effect. If it is not set, any revision is
// accepted.
type precondition struct {
	set      bool
	revision types.Revision
}

func (c precondition) holds(current types.Revision) bool {
	return !c.set || c.revision == current
}

func parsePrecondition(query url.Values) (precondition, error) {
	if !query.Has("expected") {
		return precondition{}, nil
	}
	revision, err := strconv.ParseUint(query.Get("expected"), 10, 64)
	if err != nil {
		return precondition{}, errors.Wrap(err, "expected must be a revision")
	}
	return precondition{set: true, revision: types.Revision(revision)}, nil
}
