package fakekv

import (
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// expectation is the revision a write requires; unset, any will do.
type expectation struct {
	set      bool
	revision types.Revision
}

func (e expectation) holds(present types.Revision) bool {
	return !e.set || e.revision == present
}

func parseExpectation(query url.Values) (expectation, error) {
	if !query.Has("expected") {
		return expectation{}, nil
	}
	revision, err := strconv.ParseUint(query.Get("expected"), 10, 64)
	if err != nil {
		return expectation{}, errors.Wrap(err, "expected must be a revision")
	}
	return expectation{set: true, revision: types.Revision(revision)}, nil
}
