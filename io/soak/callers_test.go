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
	// writerCount and readerCount are the numbers of callers that write and that read.
	writerCount = 6
	readerCount = 6
	// boundedAge is the maximum age of data that the stand-in's bounded routes allow.
	boundedAge = 1500 * time.Millisecond
	// callerPause is the time between two operations of a caller.
	callerPause = 10 * time.Millisecond
	// operationsPerSession is the number of operations after which a caller opens a new session.
	operationsPerSession = 40
)

// refusalCodes are the error codes that guarantee that the write has no effect.
var refusalCodes = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

// outcome is what a caller knows about the result of a write.
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

// callers run writes and reads during the faults and check the results that they get.
type callers struct {
	env        *environment
	registers  []*register
	stopped    chan struct{}
	goroutines sync.WaitGroup

	mu     sync.Mutex
	writes []write
	reads  int
}

// newCallers starts writerCount callers that write, each to a register of its own, and readerCount callers that read.
func newCallers(env *environment, seed uint64) *callers {
	c := &callers{env: env, stopped: make(chan struct{})}
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

// runSessions runs operations in sessions at random instances. An operation returns false when its session is no longer usable.
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

// pause waits for callerPause and reports whether the callers have to stop.
func (c *callers) pause() bool {
	select {
	case <-c.stopped:
		return true
	case <-time.After(callerPause):
		return false
	}
}

// write writes the register's next number, half of the time in a transaction, and reads it back in the same session.
func (c *callers) write(s *fakepl.Client, r *rand.Rand, reg *register) bool {
	number := reg.next()
	inTransaction := r.IntN(2) == 0
	if inTransaction {
		if a, err := s.Query("BEGIN"); err != nil || a.Code != "" {
			return false
		}
	}
	a, err := s.Query(fmt.Sprintf("WRITE %s %d", reg.item, number))
	id := a.ID
	if inTransaction && err == nil && a.Code == "" {
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

// read reads a register that another caller writes and checks the number.
func (c *callers) read(s *fakepl.Client, route string, reg *register) bool {
	freshAsOf := time.Now()
	if route == "bounded" {
		freshAsOf = freshAsOf.Add(-boundedAge)
	}
	lowest := reg.acknowledgedBy(freshAsOf)
	a, err := s.Query("READ " + reg.item)
	if err != nil || a.Code != "" {
		return false
	}
	reg.mu.Lock()
	highest := reg.attempted
	reg.mu.Unlock()
	c.checkRead(route, reg, a, lowest, highest)
	return true
}

// checkRead checks that the number read lies between lowest and highest. A lower number is correct if its write had an unknown
// outcome and took effect after the write of lowest.
func (c *callers) checkRead(route string, reg *register, a fakepl.Response, lowest, highest int) {
	text := strings.TrimPrefix(strings.Join(a.Rows, "|"), "value=")
	got, err := strconv.Atoi(text)
	if text == "" {
		got, err = 0, nil
	}
	if err == nil && got < lowest && c.committedAfter(reg, got, lowest) {
		c.env.t.Logf("%s: %s read of %s returned %d, whose outcome was unknown and which ran after %d", c.env.elapsed(), route, reg.item, got, lowest)
		got = lowest
	}
	if err != nil || got < lowest || got > highest {
		c.env.t.Errorf("%s: %s read of %s returned %q, want %d to %d (request %s)", c.env.elapsed(), route, reg.item, text, lowest, highest, a.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
}

// committedAfter reports whether the write of number took effect after the write of later, as the log of the primary shows. A
// write with an unknown outcome can still be running, for example in a suspended instance, when its caller makes the next write.
// It can then take effect after that one.
func (c *callers) committedAfter(reg *register, number, later int) bool {
	values := c.env.platform.Group.CommittedValues(reg.item)
	at := slices.Index(values, strconv.Itoa(later))
	return at >= 0 && slices.Index(values, strconv.Itoa(number)) > at
}

// checkOutcomes compares the outcomes that callers know with the writes that took effect at the members, and reads every register
// once more. If only planned operations ran, a write with an unknown outcome must not have taken effect.
func (c *callers) checkOutcomes(plannedOnly bool) {
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
			require.Zero(t, runs, "write %s was refused but took effect: %s", w.id, w.detail)
		default:
			require.LessOrEqual(t, runs, 1, "write %s", w.id)
			if plannedOnly {
				require.Zero(t, runs, "a planned operation interrupted a write that took effect, %s: %s", w.id, w.detail)
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
		}, configurationTimeout, 20*time.Millisecond, "%s cannot be read at the end", reg.item)
	}
}
