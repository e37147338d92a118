package fakekv

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// maxValueBytes is the largest size of a value that the store accepts.
const maxValueBytes = 1 << 20

func (p *Platform) get(r *http.Request) response {
	key := r.PathValue("key")
	it, ok := p.store.get(key)
	if !ok {
		return response{http.StatusNotFound, errorResponse{"the key does not exist"}}
	}
	return response{http.StatusOK, keyResponse{Key: key, Value: it.value, Revision: it.revision}}
}

func (p *Platform) put(r *http.Request) response {
	condition, err := parsePrecondition(r.URL.Query())
	if err != nil {
		return badRequest(err)
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return badRequest(err)
	}
	if len(value) > maxValueBytes {
		return response{http.StatusRequestEntityTooLarge, errorResponse{"the value is larger than 1 MiB; make it smaller"}}
	}
	id := leaseID(r.URL.Query().Get("lease"))
	revision, ok, err := p.store.put(r.PathValue("key"), string(value), condition, id)
	if err != nil {
		return response{http.StatusNotFound, errorResponse{err.Error()}}
	}
	return writeResponse(revision, ok)
}

func (p *Platform) remove(r *http.Request) response {
	condition, err := parsePrecondition(r.URL.Query())
	if err != nil {
		return badRequest(err)
	}
	return writeResponse(p.store.remove(r.PathValue("key"), condition))
}

// writeResponse returns the response to a write: the new revision, or status 409 with the current revision.
func writeResponse(revision types.Revision, ok bool) response {
	if !ok {
		return response{http.StatusConflict, revisionResponse{revision}}
	}
	return response{http.StatusOK, revisionResponse{revision}}
}

// list answers listings and watches. A watch is a listing with waitMs: it waits until there is an entry, the time is
// over or the platform goes down.
func (p *Platform) list(r *http.Request) response {
	query := r.URL.Query()
	after, err := parseNumber(query.Get("after"))
	if err != nil {
		return badRequest(errors.Wrap(err, "after must be a revision"))
	}
	wait, err := parseNumber(query.Get("waitMs"))
	if err != nil {
		return badRequest(errors.Wrap(err, "waitMs must be a number of milliseconds"))
	}
	if wait > 0 {
		p.longPolls.Add(1)
	}
	timer := time.NewTimer(Milliseconds(wait).Duration())
	defer timer.Stop()
	for {
		found, changed := p.store.list(query.Get("prefix"), types.Revision(after))
		if len(found.Entries) > 0 || wait == 0 {
			return response{http.StatusOK, found}
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return unavailable()
		case <-p.closing:
			panic(http.ErrAbortHandler)
		}
		if p.Faults().Down {
			return unavailable()
		}
	}
}

func (p *Platform) grantLease(r *http.Request) response {
	ttl, err := parseNumber(r.URL.Query().Get("ttlMs"))
	if err != nil || ttl == 0 {
		return badRequest(errors.New("ttlMs must be a number of milliseconds above 0"))
	}
	return response{http.StatusOK, leaseResponse{p.store.grantLease(Milliseconds(ttl).Duration())}}
}

func (p *Platform) renewLease(r *http.Request) response {
	if err := p.store.renewLease(leaseID(r.PathValue("id"))); err != nil {
		return response{http.StatusNotFound, errorResponse{err.Error()}}
	}
	return response{http.StatusOK, emptyResponse{}}
}

func (p *Platform) listTargets(*http.Request) response {
	lag := p.Faults().ListLagMs.Duration()
	return response{http.StatusOK, p.targets.at(time.Now().Add(-lag))}
}

// parseNumber parses a number of at most 63 bits; an empty text is 0.
func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	return number, errors.Wrapf(err, "reading %q", text)
}
