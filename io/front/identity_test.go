package front_test

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/acct"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/platform"
)

// keyedServer serves the private route r1 and the public route open.
type keyedServer struct {
	*front.Server
	table *routes.CurrentTable
	owner *owner
	// proved says whether the proof holds; onProof is called before each answer.
	proved atomic.Bool
	// outdated says whether the configuration may lack changes.
	outdated atomic.Bool
	// superseded says whether a newer configuration has been known for a while.
	superseded atomic.Bool
	onProof    atomic.Pointer[func()]
	address    string
	log        *bytes.Buffer
	stop       func()
}

// configure puts a version into force in which each account holds the keys.
func (s *keyedServer) configure(version routes.Version, keys map[types.AccountID][]string) {
	d := acct.NewDirectory()
	for id, texts := range keys {
		digests := make([]acct.Digest, 0, len(texts))
		for _, text := range texts {
			digests = append(digests, acct.DigestOf(text))
		}
		d.Add(acct.Account{ID: id, Limit: acct.Limit{Unlimited: true}}, digests)
	}
	s.table.UpdateIfNewer(&routes.Table{Version: version, Accounts: d, IdleTransactionTimeout: 10 * time.Second, Routes: map[routes.Name]routes.Route{
		"r1":   {Name: "r1", Database: "b1", Consistency: routes.Primary, Timeout: time.Second},
		"open": {Name: "open", Database: "b1", Consistency: routes.Primary, Timeout: time.Second, Public: true},
	}})
}

func newKeyedServer(t *testing.T) *keyedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &keyedServer{table: routes.NewCurrentTable(), owner: &owner{}, address: l.Addr().String(), log: &bytes.Buffer{}}
	s.beforeProof(func() {})
	s.proved.Store(true)
	s.configure(1, map[types.AccountID][]string{"anna": {"key-a", "key-a2"}, "bert": {"key-b"}})
	s.Server = front.New(front.Settings{
		Listener: l, Routes: s.table, Router: s.owner,
		Logger:        hclog.New(&hclog.LoggerOptions{Output: s.log, Mutex: &sync.Mutex{}}),
		NewCallerConn: func(c net.Conn) front.CallerConn { return platform.NewCallerConn(c) },
		KeysProved:    func() bool { (*s.onProof.Load())(); return s.proved.Load() },
		Outdated:      s.outdated.Load,
		Superseded:    s.superseded.Load,
	})
	s.stop = sync.OnceFunc(func() { s.Stop(time.Millisecond) })
	t.Cleanup(s.stop)
	return s
}

// beforeProof has the function called whenever the proof is asked.
func (s *keyedServer) beforeProof(call func()) { s.onProof.Store(&call) }

// open opens a session; the answer is that to the startup message.
func (s *keyedServer) open(t *testing.T, startup string) (*caller, string) {
	t.Helper()
	c := (&caller{t: t, address: s.address, stop: s.stop}).connect()
	_, err := c.conn.Write([]byte(startup + "\r\n"))
	require.NoError(t, err)
	line, err := c.in.ReadString('\n')
	require.NoError(t, err)
	return c, strings.TrimSuffix(line, "\r\n")
}

// session opens a session that must be accepted.
func (s *keyedServer) session(t *testing.T, startup string) *caller {
	t.Helper()
	c, answer := s.open(t, startup)
	require.Equal(t, "READY I -", answer)
	return c
}

// requireClosed requires that the server closes the session.
func requireClosed(t *testing.T, c *caller) {
	t.Helper()
	_, err := c.in.ReadByte()
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the session stays open")
}

func TestSessionIsOpenedForKeysThatAreInForceOnly(t *testing.T) {
	for _, c := range []struct {
		name, startup string
		unproved      bool
		want          string
	}{
		{"known key", "STARTUP r1 key-a", false, "READY I -"},
		{"unknown key", "STARTUP r1 key-x", false, "ERROR NOAUTH "},
		{"key with a blank and more", "STARTUP r1 key-a x", false, "ERROR NOAUTH "},
		{"known key without proof", "STARTUP r1 key-a", true, "ERROR BUSY "},
		{"key that may have been added, without proof", "STARTUP r1 key-x", true, "ERROR BUSY "},
		{"any word on a public route", "STARTUP open any", false, "READY I -"},
		{"any word on a public route without proof", "STARTUP open any", true, "READY I -"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newKeyedServer(t)
			s.proved.Store(!c.unproved)
			_, answer := s.open(t, c.startup)
			require.True(t, strings.HasPrefix(answer, c.want), answer)
		})
	}
}

func TestNothingIsAskedWithoutAccounts(t *testing.T) {
	s := newKeyedServer(t)
	s.proved.Store(false)
	s.table.UpdateIfNewer(&routes.Table{Version: 2, Routes: map[routes.Name]routes.Route{"r1": {Name: "r1", Database: "b1"}}})
	c := s.session(t, "STARTUP r1 any")
	require.Equal(t, served, c.query("READ k"))
	require.Empty(t, s.owner.requests[0].Account)
}

// TestKeyThatMovedNamesItsNewAccountOnOpenSessions guards against operations under the account that held the key when the session began.
func TestKeyThatMovedNamesItsNewAccountOnOpenSessions(t *testing.T) {
	s := newKeyedServer(t)
	c := s.session(t, "STARTUP r1 key-a")
	require.Equal(t, served, c.query("READ k"))
	s.configure(2, map[types.AccountID][]string{"anna": {"key-a2"}, "bert": {"key-a", "key-b"}})
	require.Equal(t, served, c.query("READ k"))
	require.Equal(t, types.AccountID("anna"), s.owner.requests[0].Account)
	require.Equal(t, types.AccountID("bert"), s.owner.requests[1].Account)
}

// TestTransactionEndsWhenItsKeyIsNoLongerInForce has a key withdrawn, moved, or unproved while its transaction rests. The next statement of
// the transaction must not run, and the transaction is rolled back at the owner.
func TestTransactionEndsWhenItsKeyIsNoLongerInForce(t *testing.T) {
	changes := map[string]struct {
		change func(s *keyedServer)
		code   string
	}{
		"withdrawn": {func(s *keyedServer) { s.configure(2, map[types.AccountID][]string{"bert": {"key-b"}}) }, "NOAUTH"},
		"moved":     {func(s *keyedServer) { s.configure(2, map[types.AccountID][]string{"bert": {"key-a"}}) }, "ABORTED"},
		"unproved":  {func(s *keyedServer) { s.proved.Store(false) }, "ABORTED"},
	}
	for name, c := range changes {
		for _, statement := range []string{"WRITE k 2", "COMMIT"} {
			t.Run(name+" before "+statement, func(t *testing.T) {
				s := newKeyedServer(t)
				client := s.session(t, "STARTUP r1 key-a")
				require.Equal(t, "COMPLETE -|READY T -", client.query("BEGIN"))
				require.Equal(t, "COMPLETE s|READY T -", client.query("WRITE k 1"))
				c.change(s)
				answer := client.query(statement)
				require.True(t, strings.HasPrefix(answer, "ERROR "+c.code+" "), answer)
				require.Contains(t, answer, "rolled back")
				state := "|READY E -"
				if statement == "COMMIT" {
					state = "|READY I -"
				}
				require.True(t, strings.HasSuffix(answer, state), answer)
				require.Len(t, s.owner.requests, 2)
				require.True(t, s.owner.requests[1].Rollback)
			})
		}
	}
}

// TestKeyIsLookedUpInAConfigurationThatIsNotOlderThanItsProof has the read that withdraws the key, and proves the configuration again, arrive
// while an operation of the key is checked. Looked up in the configuration before it, the key would count as proved.
func TestKeyIsLookedUpInAConfigurationThatIsNotOlderThanItsProof(t *testing.T) {
	withdraw := func(s *keyedServer) func() {
		return func() { s.configure(2, map[types.AccountID][]string{"bert": {"key-b"}}) }
	}
	t.Run("startup", func(t *testing.T) {
		s := newKeyedServer(t)
		s.beforeProof(withdraw(s))
		_, answer := s.open(t, "STARTUP r1 key-a")
		require.True(t, strings.HasPrefix(answer, "ERROR NOAUTH "), answer)
	})
	t.Run("statement", func(t *testing.T) {
		s := newKeyedServer(t)
		c := s.session(t, "STARTUP r1 key-a")
		require.Equal(t, served, c.query("READ k"))
		s.beforeProof(withdraw(s))
		require.Contains(t, c.query("READ k"), "ERROR NOAUTH ")
		require.Len(t, s.owner.requests, 1)
	})
	t.Run("in a transaction", func(t *testing.T) {
		s := newKeyedServer(t)
		c := s.session(t, "STARTUP r1 key-a")
		require.Equal(t, "COMPLETE -|READY T -", c.query("BEGIN"))
		require.Equal(t, "COMPLETE s|READY T -", c.query("WRITE k 1"))
		s.beforeProof(withdraw(s))
		require.Contains(t, c.query("COMMIT"), "ERROR NOAUTH ")
		require.True(t, s.owner.requests[1].Rollback)
	})
}

// TestSessionsAtRestAreClosedWhenTheProofLapses also checks that those of public routes and open transactions stay, and that the instance
// serves again when the proof is back.
func TestSessionsAtRestAreClosedWhenTheProofLapses(t *testing.T) {
	s := newKeyedServer(t)
	rests, public, transaction := s.session(t, "STARTUP r1 key-a"), s.session(t, "STARTUP open any"), s.session(t, "STARTUP r1 key-b")
	require.Equal(t, served, rests.query("READ k"))
	require.Equal(t, "COMPLETE -|READY T -", transaction.query("BEGIN"))
	s.proved.Store(false)
	s.WakeSessions()
	requireClosed(t, rests)
	require.Equal(t, served, public.query("READ k"))
	s.WakeSessions()
	require.Contains(t, transaction.query("READ k"), "ERROR ABORTED ")
	require.Equal(t, done, transaction.query("ROLLBACK"))
	requireClosed(t, transaction)
	s.proved.Store(true)
	require.Equal(t, served, s.session(t, "STARTUP r1 key-a").query("READ k"))
}

// TestWakingSessionsDoesNotProlongAnOpenTransaction wakes a session more often than its idle limit lasts.
func TestWakingSessionsDoesNotProlongAnOpenTransaction(t *testing.T) {
	const limit = 300 * time.Millisecond
	s := newKeyedServer(t)
	table := *s.table.Table()
	table.Version, table.IdleTransactionTimeout = 2, limit
	s.table.UpdateIfNewer(&table)
	c := s.session(t, "STARTUP r1 key-a")
	require.Equal(t, "COMPLETE -|READY T -", c.query("BEGIN"))
	for began := time.Now(); time.Since(began) < 2*limit; {
		s.WakeSessions()
		<-time.After(limit / 10)
	}
	require.Contains(t, c.query("COMMIT"), "ERROR "+codeAfterIdle)
}

// TestKeyAppearsInNoAnswerAndNoLogLine sends a key in well-formed and malformed messages.
func TestKeyAppearsInNoAnswerAndNoLogLine(t *testing.T) {
	const key = "secret-of-anna"
	for name, messages := range map[string][]string{
		"unknown key":                    {"STARTUP r1 " + key},
		"no route name":                  {"STARTUP  " + key},
		"unknown route":                  {"STARTUP r9 " + key},
		"route and key in reverse order": {"STARTUP " + key + " r1"},
		"lower case":                     {"startup r1 " + key},
		"leading blank":                  {" STARTUP r1 " + key},
		"too long":                       {"STARTUP r1 " + key + strings.Repeat("x", 1<<20)},
		"second startup":                 {"STARTUP open any", "STARTUP r1 " + key},
		"second startup in lower case":   {"STARTUP open any", "startup r1 " + key},
		"second startup after a blank":   {"STARTUP open any", " STARTUP r1 " + key},
		"second startup, too long":       {"STARTUP open any", "STARTUP r1 " + key + strings.Repeat("x", 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newKeyedServer(t)
			c, answer := s.open(t, messages[0])
			if len(messages) > 1 {
				require.Equal(t, "READY I -", answer)
				_, _ = c.conn.Write([]byte(messages[1] + "\r\n"))
				line, err := c.in.ReadString('\n')
				require.NoError(t, err)
				answer = line
			}
			require.Contains(t, answer, "ERROR ")
			require.NotContains(t, answer, key)
			s.stop()
			require.NotContains(t, s.log.String(), key)
		})
	}
}

// codeAfterIdle is the code for a commit of a transaction that was rolled back because its caller was idle.
const codeAfterIdle = "ABORTED"

// TestAddedRouteIsNotDeniedByAnOutdatedConfiguration asks for a route that the configuration here lacks because it is old.
func TestAddedRouteIsNotDeniedByAnOutdatedConfiguration(t *testing.T) {
	s := newKeyedServer(t)
	_, answer := s.open(t, "STARTUP added key-a")
	require.True(t, strings.HasPrefix(answer, "ERROR NODB "), answer)
	s.outdated.Store(true)
	_, answer = s.open(t, "STARTUP added key-a")
	require.True(t, strings.HasPrefix(answer, "ERROR BUSY "), answer)
	s.session(t, "STARTUP open key-a")
}

// TestRouteIsNotServedByASupersededConfiguration guards against callers that are served by a route that a newer configuration, known to the
// instance, has dropped.
func TestRouteIsNotServedByASupersededConfiguration(t *testing.T) {
	s := newKeyedServer(t)
	earlier := s.session(t, "STARTUP r1 key-a")
	s.superseded.Store(true)
	_, answer := s.open(t, "STARTUP r1 key-a")
	require.True(t, strings.HasPrefix(answer, "ERROR BUSY "), answer)
	require.Contains(t, earlier.query("READ 1"), "ERROR BUSY ", "a session that was open before")
	s.superseded.Store(false)
	s.session(t, "STARTUP r1 key-a")
}
