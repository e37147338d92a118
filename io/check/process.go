package check

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// exitTimeout bounds the wait for a process that was told to end.
	exitTimeout = 10 * time.Second
	// logTailLines is how many lines of a log a failed test prints.
	logTailLines = 25
	// crashReportLines is how many lines of the report of a race or panic a failed test prints.
	crashReportLines = 45
)

// Process is one process of the program, which a test may stop and start again.
type Process struct {
	tb        testing.TB
	name      string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// NewProcess starts the program and ends it with the test.
func NewProcess(tb testing.TB, name string, arguments ...string) *Process {
	tb.Helper()
	p := &Process{tb: tb, name: name, arguments: arguments, logPath: filepath.Join(tb.TempDir(), name+".log")}
	p.Start()
	tb.Cleanup(func() {
		p.Kill()
		if trouble := p.crashReport(); trouble != "" {
			tb.Errorf("%s reported:\n%s", p.name, trouble)
		}
		if tb.Failed() {
			tb.Logf("end of the log of %s:\n%s", p.name, tail(p.logPath, logTailLines))
		}
	})
	return p
}

// Start runs the program with the same arguments as before.
func (p *Process) Start() {
	p.tb.Helper()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.tb, err)
	command := exec.Command(Program(p.tb), p.arguments...)
	command.Stdout = logFile
	command.Stderr = logFile
	require.NoError(p.tb, command.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = command.Wait()
		_ = logFile.Close()
	}()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command = command
	p.exited = exited
}

// Kill ends the process at once, as the loss of its machine does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Pause stops the process without its knowledge.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop in good order and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// WaitExit fails the test unless the process ends in time, and returns its exit code.
func (p *Process) WaitExit() int {
	p.tb.Helper()
	select {
	case <-p.done():
	case <-time.After(exitTimeout):
		require.Failf(p.tb, "no exit", "%s did not end within %v", p.name, exitTimeout)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command.ProcessState.ExitCode()
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done():
		return false
	default:
		return true
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	require.NoError(p.tb, err)
	return string(text)
}

// crashReport returns the report of the first data race or panic that the log holds, or an empty text.
func (p *Process) crashReport() string {
	text := p.Log()
	for _, sign := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if at := strings.Index(text, sign); at >= 0 {
			return head(text[at:], crashReportLines)
		}
	}
	return ""
}

func (p *Process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.command.Process.Signal(signal)
}

func (p *Process) done() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}
