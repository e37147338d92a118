package fakekv

import (
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// precondition is the revision a write requires; unset, any will do.
type precondition struct {
	set      bool
	revision types.Revision
}

func (e precondition) holds(present types.Revision) bool {
	return !e.set || e.revision == present
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
