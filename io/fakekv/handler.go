package fakekv

import (
	"encoding/json"
	"net/http"
	"time"
)

// handler routes the platform's calls, which docs/PROTOCOLS.md describes, and the control requests of tests.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/kv", p.read(p.list))
	mux.Handle("GET /v1/kv/{key...}", p.read(p.get))
	mux.Handle("PUT /v1/kv/{key...}", p.write(p.put))
	mux.Handle("DELETE /v1/kv/{key...}", p.write(p.remove))
	mux.Handle("POST /v1/leases", p.write(p.grantLease))
	mux.Handle("POST /v1/leases/{id}/renew", p.write(p.renewLease))
	mux.Handle("GET /v1/targets", p.read(p.listTargets))
	mux.HandleFunc("PUT /standin/targets", p.replaceTargets)
	mux.HandleFunc("PUT /standin/faults", p.replaceFaults)
	mux.HandleFunc("GET /standin/calls", p.reportCalls)
	return p.trackInFlight(mux)
}

// response is an HTTP status and the body sent with it as JSON.
type response struct {
	status int
	body   any
}

// operation carries out one call of the platform.
type operation func(r *http.Request) response

// trackInFlight counts the requests in flight, so that Close can wait for them. It aborts requests that come after
// Close.
func (p *Platform) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		select {
		case <-p.closing:
			p.mu.Unlock()
			panic(http.ErrAbortHandler)
		default:
		}
		p.goroutines.Add(1)
		p.mu.Unlock()
		defer p.goroutines.Done()
		next.ServeHTTP(w, r)
	})
}

// read handles a call that changes nothing.
func (p *Platform) read(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.reads.Add(1)
		if refused, ok := p.applyFaults(r); !ok {
			send(w, refused)
			return
		}
		send(w, op(r))
	})
}

// write handles a call that changes the store; its response may be lost.
func (p *Platform) write(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.writes.Add(1)
		if refused, ok := p.applyFaults(r); !ok {
			send(w, refused)
			return
		}
		result := op(r)
		if p.takeLostResponse() {
			panic(http.ErrAbortHandler)
		}
		send(w, result)
	})
}

// applyFaults delays the call by Faults.DelayMs. It returns an error response and false when the platform is down.
func (p *Platform) applyFaults(r *http.Request) (response, bool) {
	if delay := p.Faults().DelayMs.Duration(); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return unavailable(), false
		case <-p.closing:
			panic(http.ErrAbortHandler)
		}
	}
	if p.Faults().Down {
		return unavailable(), false
	}
	return response{}, true
}

func unavailable() response {
	return response{http.StatusServiceUnavailable, errorResponse{"the platform is down; try again later"}}
}

func badRequest(err error) response {
	return response{http.StatusBadRequest, errorResponse{err.Error()}}
}

func send(w http.ResponseWriter, r response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(r.body)
}
