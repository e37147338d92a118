package crowd

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

const (
	// settledSamples is the number of equal readings in a row after which the process has taken in what it takes in, and settleLimit
	// bounds the wait for them.
	settledSamples = 12
	settleLimit    = 15 * time.Second
)

// sampleInterval is the time between two readings of what the process holds.
const sampleInterval = 25 * time.Millisecond

// Bounds bound what a process may hold at any moment of a test. Zero bounds nothing.
type Bounds struct {
	// Memory is its resident memory together with the bytes that the kernel holds for its sockets: those that have arrived and were not
	// read, and those that it has sent and the other side has not taken.
	Memory int64
	// Descriptors is the number of its open files and sockets.
	Descriptors int
}

// Watch records what a process holds while a test runs.
type Watch struct {
	tb      testing.TB
	process *check.Process
	pid     int
	ports   []string
	stop    chan struct{}
	sampler sync.WaitGroup

	mu                  sync.Mutex
	descriptors, queued int
}

// NewWatch watches the process from now on; the bytes that the kernel holds are counted at the given addresses.
func NewWatch(tb testing.TB, process *check.Process, addresses ...string) *Watch {
	tb.Helper()
	w := &Watch{tb: tb, process: process, pid: process.PID(), stop: make(chan struct{})}
	for _, a := range addresses {
		_, port, err := net.SplitHostPort(a)
		require.NoError(tb, err)
		number, err := strconv.ParseUint(port, 10, 16)
		require.NoError(tb, err)
		w.ports = append(w.ports, strings.ToUpper(strconv.FormatUint(number+1<<16, 16)[1:]))
	}
	w.sampler.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			w.sample()
			select {
			case <-w.stop:
				return
			case <-ticker.C:
			}
		}
	})
	tb.Cleanup(func() {
		close(w.stop)
		w.sampler.Wait()
	})
	return w
}

// Settle waits until the bytes in the kernel do not change any more: the process has read what the crowd has sent, or does not read on.
func (w *Watch) Settle() {
	end := time.Now().Add(settleLimit)
	last, equal := -1, 0
	for equal < settledSamples && time.Now().Before(end) {
		time.Sleep(sampleInterval)
		now := w.queuedBytes()
		if equal++; now != last {
			last, equal = now, 0
		}
	}
}

// RequireWithin fails the test when the process has ended or held more than the bounds since the watch began. It logs what was held.
func (w *Watch) RequireWithin(b Bounds) {
	w.tb.Helper()
	require.True(w.tb, w.process.Running(), "the process has ended")
	require.Equal(w.tb, w.pid, w.process.PID(), "the process was started again")
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	memory := w.peakResident()
	w.tb.Logf("held at most: %d MB resident, %d MB in the kernel, %d descriptors", memory>>20, w.queued>>20, w.descriptors)
	if b.Memory > 0 {
		require.Less(w.tb, memory+int64(w.queued), b.Memory, "bytes held")
	}
	if b.Descriptors > 0 {
		require.Less(w.tb, w.descriptors, b.Descriptors, "open descriptors")
	}
}

func (w *Watch) sample() {
	entries, _ := os.ReadDir(filepath.Join(w.directory(), "fd"))
	queued := w.queuedBytes()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.descriptors, w.queued = max(w.descriptors, len(entries)), max(w.queued, queued)
}

func (w *Watch) directory() string { return filepath.Join("/proc", strconv.Itoa(w.pid)) }

// peakResident returns the largest resident size since the process started, which the kernel keeps.
func (w *Watch) peakResident() int64 {
	text, err := os.ReadFile(filepath.Join(w.directory(), "status"))
	require.NoError(w.tb, err)
	for line := range bytes.Lines(text) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			require.NoError(w.tb, err)
			return kilobytes << 10
		}
	}
	require.FailNow(w.tb, "the kernel reports no peak of the resident size")
	return 0
}

// queuedBytes returns the bytes that the kernel holds for the sockets of the watched addresses, as the kernel's table of connections shows them.
func (w *Watch) queuedBytes() int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := 0
	for line := range bytes.Lines(text) {
		// The fields are: number, local address, remote address, state, queues as SENT:RECEIVED.
		fields := strings.Fields(string(line))
		const listening = "0A"
		if len(fields) < 5 || fields[3] == listening || !w.isWatched(fields[1]) {
			continue
		}
		for queue := range strings.SplitSeq(fields[4], ":") {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				total += int(n)
			}
		}
	}
	return total
}

func (w *Watch) isWatched(address string) bool {
	for _, p := range w.ports {
		if strings.HasSuffix(address, ":"+p) {
			return true
		}
	}
	return false
}
