package httpd

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

const (
	decimal      = 10
	revisionBits = 64
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	if s.settings.Metrics != nil {
		mux.Handle("GET /metrics", s.settings.Metrics)
	}
	mux.HandleFunc("GET /livez", s.live)
	mux.HandleFunc("GET /readyz", s.ready)
	if s.settings.State != nil {
		mux.HandleFunc("GET /debug/state", s.state)
	}
	if s.settings.Trace != nil {
		mux.HandleFunc("GET /debug/requests/{id}", s.trace)
	}
	if s.settings.ContractStatus != nil {
		mux.HandleFunc("GET /contracts/{customer}/status", s.contractStatus)
	}
	return mux
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "live")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.settings.Ready == nil {
		writeText(w, http.StatusOK, "ready")
		return
	}
	if err := s.settings.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.settings.State())
}

func (s *Server) trace(w http.ResponseWriter, r *http.Request) {
	trace, found := s.settings.Trace(r.PathValue("id"))
	if !found {
		writeError(w, http.StatusNotFound, errors.Errorf("this instance has no trace of request %q", r.PathValue("id")))
		return
	}
	writeJSON(w, http.StatusOK, trace)
}

func (s *Server) contractStatus(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), decimal, revisionBits)
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.New("add ?revision= with the revision of the contract as a decimal number"))
		return
	}
	customer := types.AccountID(r.PathValue("customer"))
	status, err := s.settings.ContractStatus(r.Context(), customer, types.Revision(revision))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// errorResponse is the JSON body of the response to a failed request.
type errorResponse struct {
	Error string     `json:"error"`
	Kind  fault.Kind `json:"kind,omitempty"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	response := errorResponse{Error: err.Error()}
	if f := fault.From(err); f != nil {
		response.Kind = f.Kind
	}
	writeJSON(w, status, response)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeText(w, http.StatusInternalServerError, "encoding the response: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
