package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

const (
	// writerCount and readerCount are the callers of each kind.
	writerCount = 6
	readerCount = 6
	// boundedAge is the age that the stand-in's bounded routes allow.
	boundedAge = 1500 * time.Millisecond
	// callerPause is the time between two operations of a caller.
	callerPause = 10 * time.Millisecond
	// operationsPerSession is the number of operations after which a caller opens another session.
	operationsPerSession = 40
)

// refusalCodes are the codes that say that nothing is kept.
var refusalCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

// outcome says what a caller knows of a write.
type outcome int

const (
	acknowledged outcome = iota + 1
	refused
	unknown
)

// write is one write of a caller.
type write struct {
	id      string
	outcome outcome
	detail  string
}

// callers are the sessions that the faults must not deceive.
type callers struct {
	env        *environment
	registers  []*register
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mu     sync.Mutex
	writes []write
	reads  int
}

func newCallers(w *environment, seed uint64) *callers {
	c := &callers{env: w, stopped: make(chan struct{})}
	for n := range writerCount {
		c.registers = append(c.registers, &register{item: fmt.Sprintf("r%d", n)})
	}
	for n := range writerCount {
		r := rand.New(rand.NewPCG(seed, uint64(100+n)))
		c.goroutines.Go(func() { c.runSessions(r, "own", func(s *fakepl.Client) bool { return c.write(s, r, c.registers[n]) }) })
	}
	for n := range readerCount {
		r := rand.New(rand.NewPCG(seed, uint64(200+n)))
		route := []string{"primary", "bounded"}[n%2]
		c.goroutines.Go(func() {
			c.runSessions(r, route, func(s *fakepl.Client) bool { return c.read(s, route, c.registers[r.IntN(writerCount)]) })
		})
	}
	return c
}

func (c *callers) stop() {
	close(c.stopped)
	c.goroutines.Wait()
}

// runSessions runs operations in sessions at random instances; an operation returns false when its session is of no more use.
func (c *callers) runSessions(r *rand.Rand, route string, operation func(s *fakepl.Client) bool) {
	for {
		s, err := fakepl.Dial(c.env.randomInstance(r).callerLink.Address(), route)
		if err != nil {
			if c.pause() {
				return
			}
			continue
		}
		for n := 0; n < operationsPerSession && operation(s); n++ {
			if c.pause() {
				s.Close()
				return
			}
		}
		s.Close()
		if c.pause() {
			return
		}
	}
}

// pause waits a moment and reports whether the callers are to stop.
func (c *callers) pause() bool {
	select {
	case <-c.stopped:
		return true
	case <-time.After(callerPause):
		return false
	}
}

// write writes the next number, half of the time inside a transaction, and reads it back in the same session.
func (c *callers) write(s *fakepl.Client, r *rand.Rand, reg *register) bool {
	number := reg.next()
	inside := r.IntN(2) == 0
	if inside {
		if a, err := s.Query("BEGIN"); err != nil || a.Code != "" {
			return false
		}
	}
	a, err := s.Query(fmt.Sprintf("WRITE %s %d", reg.item, number))
	id := a.ID
	if inside && err == nil && a.Code == "" {
		a, err = s.Query("COMMIT")
	}
	if err != nil || a.Code != "" {
		c.recordFailure(id, a, err)
		return false
	}
	reg.recordCommit(number)
	c.recordWrite(write{id, acknowledged, ""})
	a, err = s.Query("READ " + reg.item)
	if err != nil || a.Code != "" {
		return false
	}
	c.checkRead("own", reg, a, number, number)
	return true
}

func (c *callers) recordFailure(id string, a fakepl.Response, err error) {
	w := write{id, unknown, fmt.Sprint(a.Code, " ", a.Text, " ", err)}
	if err == nil && refusalCodes[a.Code] {
		w.outcome = refused
	}
	c.recordWrite(w)
}

func (c *callers) recordWrite(w write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
}

// read reads an item that another caller writes.
func (c *callers) read(s *fakepl.Client, route string, reg *register) bool {
	began := time.Now()
	if route == "bounded" {
		began = began.Add(-boundedAge)
	}
	least := reg.acknowledgedBy(began)
	a, err := s.Query("READ " + reg.item)
	if err != nil || a.Code != "" {
		return false
	}
	reg.mu.Lock()
	most := reg.attempted
	reg.mu.Unlock()
	c.checkRead(route, reg, a, least, most)
	return true
}

// checkRead checks the number that was read.
func (c *callers) checkRead(route string, reg *register, a fakepl.Response, least, most int) {
	text := strings.TrimPrefix(strings.Join(a.Rows, "|"), "value=")
	got, err := strconv.Atoi(text)
	if text == "" {
		got, err = 0, nil
	}
	if err == nil && got < least && c.committedAfter(reg, got, least) {
		c.env.t.Logf("%s: %s read of %s shows %d, whose outcome was unknown and which ran after %d", c.env.elapsed(), route, reg.item, got, least)
		got = least
	}
	if err != nil || got < least || got > most {
		c.env.t.Errorf("%s: %s read of %s shows %q, %d to %d are right (request %s)", c.env.elapsed(), route, reg.item, text, least, most, a.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
}

// committedAfter reports whether the members' log has the number after a later one. A write whose outcome is unknown may still be
// under way while its caller goes on, as in an instance that was suspended, and take effect after the next one.
func (c *callers) committedAfter(reg *register, number, later int) bool {
	values := c.env.platform.Group.CommittedValues(reg.item)
	at := slices.Index(values, strconv.Itoa(later))
	return at >= 0 && slices.Index(values, strconv.Itoa(number)) > at
}

// check compares what callers were told with what the members ran.
func (c *callers) check(calm bool) {
	t, group := c.env.t, c.env.platform.Group
	t.Helper()
	counts := map[outcome]int{}
	for _, w := range c.writes {
		counts[w.outcome]++
		runs := group.EffectCount(w.id)
		switch w.outcome {
		case acknowledged:
			require.Equal(t, 1, runs, "acknowledged write %s", w.id)
		case refused:
			require.Zero(t, runs, "write %s was said not to be kept: %s", w.id, w.detail)
		default:
			require.LessOrEqual(t, runs, 1, "write %s", w.id)
			if calm {
				require.Zero(t, runs, "planned work cut a write that had run, %s: %s", w.id, w.detail)
			}
		}
	}
	t.Logf("writes: %d acknowledged, %d refused, %d unknown; %d reads", counts[acknowledged], counts[refused], counts[unknown], c.reads)
	require.NotZero(t, counts[acknowledged])
	for _, reg := range c.registers {
		last := reg.acknowledgedBy(time.Now())
		require.Eventually(t, func() bool {
			s, err := fakepl.Dial(c.env.instances[0].callerLink.Address(), "primary")
			if err != nil {
				return false
			}
			defer s.Close()
			a, err := s.Query("READ " + reg.item)
			if err != nil || a.Code != "" {
				return false
			}
			c.checkRead("primary", reg, a, last, reg.attempted)
			return true
		}, configurationTimeout, 20*time.Millisecond, "%s is read at the end", reg.item)
	}
}
