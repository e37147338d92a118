package check

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// clockTick is the unit of processor time in a process's status.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are counted from the state, which follows the command in parentheses.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 1
)

// Usage is what a process has used of its machine.
type Usage struct {
	// CPUTime is the processor time since the start.
	CPUTime time.Duration
	// ResidentBytes is the memory in bytes that the process holds now.
	ResidentBytes int64
}

// Usage reads what the process has used; it works on Linux only.
func (p *Process) Usage() (Usage, error) {
	p.mutex.Lock()
	pid := p.command.Process.Pid
	p.mutex.Unlock()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the processor time of %s", p.name)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the processor time of %s", p.name)
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the processor time of %s", p.name)
	}
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the memory of %s", p.name)
	}
	resident, err := strconv.ParseInt(strings.Fields(string(pages))[residentField], 10, 64)
	return Usage{
		CPUTime: time.Duration(user+system) * clockTick, ResidentBytes: resident * int64(os.Getpagesize()),
	}, errors.Wrapf(err, "reading the memory of %s", p.name)
}
