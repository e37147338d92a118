package check

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakekv"
)

// Platform is a stand-in for the platform in its own process.
type Platform struct {
	*Process
	// DirectAddress is the address on which the platform listens.
	DirectAddress string
}

// newPlatform starts a platform whose store holds the documents.
func newPlatform(tb testing.TB, documents map[string]any) *Platform {
	tb.Helper()
	seed, err := json.Marshal(documents)
	require.NoError(tb, err)
	path := filepath.Join(tb.TempDir(), "seed.json")
	require.NoError(tb, os.WriteFile(path, seed, 0o600))
	p := &Platform{DirectAddress: NewAddresses(tb, 1)[0]}
	p.Process = NewProcess(tb, "platform", "standin", "platform", "--address", p.DirectAddress, "--seed-file", path)
	return p
}

// SetFaults replaces the faults that the platform injects into its responses.
func (p *Platform) SetFaults(faults fakekv.Faults) { p.put("/standin/faults", faults) }

// SetTargets replaces the platform's list of targets.
func (p *Platform) SetTargets(targets []fakekv.Target) { p.put("/standin/targets", targets) }

// Calls returns the numbers of calls that the platform has received.
func (p *Platform) Calls() fakekv.Calls {
	p.tb.Helper()
	response, err := http.Get("http://" + p.DirectAddress + "/standin/calls")
	require.NoError(p.tb, err)
	defer func() { _ = response.Body.Close() }()
	var calls fakekv.Calls
	require.NoError(p.tb, json.NewDecoder(response.Body).Decode(&calls))
	return calls
}

func (p *Platform) put(path string, document any) {
	p.tb.Helper()
	body, err := json.Marshal(document)
	require.NoError(p.tb, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+p.DirectAddress+path, bytes.NewReader(body))
	require.NoError(p.tb, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(p.tb, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(p.tb, err)
	require.Equal(p.tb, http.StatusOK, response.StatusCode, string(text))
}
