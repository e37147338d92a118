package fakekv

import (
	"encoding/json"
	"net/http"
	"time"
)

// handler routes the calls of PROTOCOLS.md.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/kv", p.read(p.list))
	mux.Handle("GET /v1/kv/{key...}", p.read(p.get))
	mux.Handle("PUT /v1/kv/{key...}", p.write(p.put))
	mux.Handle("DELETE /v1/kv/{key...}", p.write(p.remove))
	mux.Handle("POST /v1/leases", p.write(p.grant))
	mux.Handle("POST /v1/leases/{id}/renew", p.write(p.renew))
	mux.Handle("GET /v1/targets", p.read(p.listTargets))
	mux.HandleFunc("PUT /standin/targets", p.replaceTargets)
	mux.HandleFunc("PUT /standin/faults", p.replaceFaults)
	mux.HandleFunc("GET /standin/calls", p.reportCalls)
	return p.trackInFlight(mux)
}

// response is a status and the document sent with it.
type response struct {
	status int
	body   any
}

// operation carries out one call of the platform.
type operation func(r *http.Request) response

// trackInFlight lets Close wait for the calls in flight.
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

func (p *Platform) read(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.reads.Add(1)
		if refusal, ok := p.applyFaults(r); !ok {
			send(w, refusal)
			return
		}
		send(w, op(r))
	})
}

func (p *Platform) write(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.writes.Add(1)
		if refusal, ok := p.applyFaults(r); !ok {
			send(w, refusal)
			return
		}
		result := op(r)
		if p.takeLostResponse() {
			panic(http.ErrAbortHandler)
		}
		send(w, result)
	})
}

// applyFaults holds the call back for the set delay and refuses it when the platform is down.
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

func send(w http.ResponseWriter, a response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}
