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
	// exitTimeout bounds the wait for a process to exit after it was asked to.
	exitTimeout = 10 * time.Second
	// logTailLines is the number of lines from the end of each log that a failed test prints.
	logTailLines = 25
	// crashReportLines is the number of lines of a data race, panic or fatal error report that a failed test prints.
	crashReportLines = 45
)

// Process is a process of the program that a test can stop and restart.
type Process struct {
	tb        testing.TB
	name      string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// NewProcess starts the program and kills it at the end of the test. A data race, panic or fatal error in its log
// fails the test.
func NewProcess(tb testing.TB, name string, arguments ...string) *Process {
	tb.Helper()
	p := &Process{tb: tb, name: name, arguments: arguments, logPath: filepath.Join(tb.TempDir(), name+".log")}
	p.Start()
	tb.Cleanup(func() {
		p.Kill()
		if report := p.crashReport(); report != "" {
			tb.Errorf("%s reported:\n%s", p.name, report)
		}
		if tb.Failed() {
			tb.Logf("end of the log of %s:\n%s", p.name, tail(p.logPath, logTailLines))
		}
	})
	return p
}

// Start starts the program with the arguments given to NewProcess.
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

// Kill ends the process with SIGKILL, so without a graceful shutdown, and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done()
}

// Pause suspends the process with SIGSTOP, which the process cannot handle.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate starts a graceful shutdown with SIGTERM and does not wait for it.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// WaitExit waits until the process has exited and returns its exit code. It fails the test after exitTimeout.
func (p *Process) WaitExit() int {
	p.tb.Helper()
	select {
	case <-p.done():
	case <-time.After(exitTimeout):
		require.Failf(p.tb, "no exit", "%s did not exit within %v", p.name, exitTimeout)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command.ProcessState.ExitCode()
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done():
		return false
	default:
		return true
	}
}

// PID returns the process ID of the newest start.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command.Process.Pid
}

// Log returns all output of the process so far, from all its starts.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	require.NoError(p.tb, err)
	return string(text)
}

// crashReport returns the first report of a data race in the log, else that of a panic, else that of a fatal error, else an empty
// string.
func (p *Process) crashReport() string {
	text := p.Log()
	for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if at := strings.Index(text, marker); at >= 0 {
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
