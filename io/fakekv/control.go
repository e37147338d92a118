package fakekv

import (
	"encoding/json"
	"net/http"
)

// replaceTargets handles the request that replaces the target list.
func (p *Platform) replaceTargets(w http.ResponseWriter, r *http.Request) {
	var targets []Target
	if err := json.NewDecoder(r.Body).Decode(&targets); err != nil {
		send(w, badRequest(err))
		return
	}
	p.SetTargets(targets)
	send(w, response{http.StatusOK, emptyResponse{}})
}

// replaceFaults handles the request that replaces the injected faults.
func (p *Platform) replaceFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		send(w, badRequest(err))
		return
	}
	p.SetFaults(faults)
	send(w, response{http.StatusOK, emptyResponse{}})
}

// reportCalls handles the request for the numbers of calls received.
func (p *Platform) reportCalls(w http.ResponseWriter, _ *http.Request) {
	send(w, response{http.StatusOK, p.Calls()})
}
