package cmd_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/cmd"
	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/io/admin"
	"turmericpulley/io/fakekv"
)

// execution holds the exit code and the outputs of a run of the program.
type execution struct {
	code   int
	out    string
	errOut string
}

func execute(arguments ...string) execution {
	var out, errOut bytes.Buffer
	code := cmd.Execute(arguments, &out, &errOut)
	return execution{code: code, out: out.String(), errOut: errOut.String()}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "contract.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newPlatform(t *testing.T, instances ...fleet.Instance) *fakekv.Platform {
	t.Helper()
	members, err := fleet.Membership{Instances: instances}.Encode()
	require.NoError(t, err)
	platform, err := fakekv.Start(fakekv.Settings{Address: "127.0.0.1:0", Seed: map[string]string{"instances/r": string(members)}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	return platform
}

const contractText = `{"customer":"sencnik","groups":["orders-db"],"connections":5}`

func TestContractCommandsChangeAndShowContracts(t *testing.T) {
	platform := newPlatform(t)
	platformFlag := "--platform=" + platform.URL()
	path := writeFile(t, contractText)
	require.Equal(t, 1, execute("contract", "get", "sencnik", platformFlag).code)

	applied := execute("contract", "apply", path, "--revision=0", "--json", platformFlag)
	require.Equal(t, 0, applied.code, applied.errOut)
	var result admin.Result
	require.NoError(t, json.Unmarshal([]byte(applied.out), &result))
	require.Equal(t, admin.Accepted, result.Outcome)
	require.Equal(t, 3, execute("contract", "apply", path, "--revision=0", platformFlag).code)

	shown := execute("contract", "get", "sencnik", "--json", platformFlag)
	require.Equal(t, 0, shown.code)
	contract, err := policy.ParseContract([]byte(shown.out))
	require.NoError(t, err)
	require.Equal(t, result.ChangeID, contract.ChangeID)
	edited := writeFile(t, shown.out)
	require.Equal(t, 0, execute("contract", "apply", edited, platformFlag).code)
	outdated := execute("contract", "apply", edited, platformFlag)
	require.Equal(t, 3, outdated.code)
	require.Contains(t, outdated.errOut, "the document was made from change "+result.ChangeID)

	require.Contains(t, execute("contract", "history", "sencnik", platformFlag).out, result.ChangeID)
	require.Contains(t, execute("contract", "list", platformFlag).out, "sencnik")
	require.Contains(t, execute("contract", "get", "sencnik", platformFlag).out, "queueTimeout      2s")
}

func TestContractCommandsReportFailuresByExitCode(t *testing.T) {
	faulty := execute("contract", "validate", writeFile(t, `{"customer":"a b","groups":[],"conections":5}`))
	require.Equal(t, 2, faulty.code)
	for _, part := range []string{"customer is", "groups is", "conections is 5", "connections is missing"} {
		require.Contains(t, faulty.errOut, part)
	}
	require.Equal(t, 0, execute("contract", "validate", writeFile(t, contractText)).code)
	require.Equal(t, 2, execute("contract", "validate", "no-such-file").code)
	require.Equal(t, 2, execute("contract", "apply", writeFile(t, contractText)).code, "no platform")
	require.Equal(t, 2, execute("explain", "xyz", "--instance=127.0.0.1:1").code)

	unreachable := fleet.Instance{ID: "i1", HTTPAddress: "127.0.0.1:1", State: fleet.Live}
	platform := newPlatform(t, unreachable)
	pending := execute("contract", "apply", writeFile(t, contractText), "--timeout=300ms", "--platform="+platform.URL())
	require.Equal(t, 4, pending.code)
	require.Contains(t, pending.out, "waiting for: i1")
	platform.SetFaults(fakekv.Faults{Down: true})
	notRun := execute("contract", "apply", writeFile(t, contractText), "--timeout=300ms", "--platform="+platform.URL())
	require.Equal(t, 1, notRun.code)
	require.Contains(t, notRun.errOut, "not run")
}

// serveJSON starts an HTTP server that serves the value at one path, and returns it as an instance.
func serveJSON(t *testing.T, path string, value any) fleet.Instance {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(value)
	}))
	t.Cleanup(server.Close)
	return fleet.Instance{ID: "i1", HTTPAddress: server.Listener.Addr().String(), State: fleet.Live}
}

func TestExplainMergesTracesInOrderOfTime(t *testing.T) {
	start := time.Date(2026, 7, 1, 8, 0, 0, 0, time.UTC)
	first := serveJSON(t, "/debug/requests/abc", trace.Trace{
		RequestID: 0xabc, Instance: "i1", Customer: "sencnik", Database: "lj",
		Events: []trace.Event{{At: start, Step: trace.Received}, {At: start.Add(9 * time.Millisecond), Step: trace.Done}},
	})
	second := serveJSON(t, "/debug/requests/abc", trace.Trace{
		RequestID: 0xabc, Instance: "i2", Customer: "sencnik", Database: "lj",
		Events: []trace.Event{{At: start.Add(2 * time.Millisecond), Step: trace.Sent, Target: "lj-a", Term: 3}},
	})
	explained := execute("explain", "abc", "--instance="+second.HTTPAddress, "--instance="+first.HTTPAddress)
	require.Equal(t, 0, explained.code, explained.errOut)
	require.Regexp(t, `(?s)9ms from first to last.*received from the caller.*i2 +sent to the target, target lj-a, term 3.*in full`, explained.out)
	require.Equal(t, 1, execute("explain", "def", "--platform="+newPlatform(t, first).URL()).code)
}

func TestStatusShowsOwnersAndReplicationLag(t *testing.T) {
	// The state is written out as JSON with the documented names, because instances of other versions rely on them.
	state := json.RawMessage(`{"instance":"i1","ready":true,"membershipRevision":4,"knownDatabases":["lj","ce"],
		"databases":[{"database":"lj","epoch":7,"phase":"serving","primary":"lj-a","term":3,"position":100,
		"members":[{"target":"lj-a","role":"primary","up":true,"applied":100,"ageMs":0},
		{"target":"lj-b","role":"replica","up":true,"applied":90,"ageMs":-1},{"target":"lj-c","applied":1}]}]}`)
	platform := newPlatform(t, serveJSON(t, "/debug/state", state), fleet.Instance{ID: "i2", HTTPAddress: "127.0.0.1:1"})
	shown := execute("status", "--platform="+platform.URL())
	require.Equal(t, 0, shown.code, shown.errOut)
	require.Regexp(t, `lj +i1 +7 +serving +lj-a +primary +3 +0 +0ms`, shown.out)
	require.Regexp(t, `lj-b +replica +3 +10 +unknown`, shown.out)
	require.Regexp(t, `lj-c +down`, shown.out)
	require.Contains(t, shown.out, "database ce has no owner")
	require.Regexp(t, `i2 .*querying instance i2`, shown.out)
}
