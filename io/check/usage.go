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
	// clockTick is the unit of the CPU times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are indexes of fields of /proc/PID/stat. The field with index 0 is the state, the first one
	// after the command in parentheses.
	userTimeField   = 11
	systemTimeField = 12
	// residentField is the index of the field of /proc/PID/statm that holds the number of resident pages.
	residentField = 1
)

// Usage is the CPU time and memory of a process.
type Usage struct {
	// CPUTime is the user and system time since the start.
	CPUTime time.Duration
	// ResidentBytes is the current resident set size in bytes.
	ResidentBytes int64
}

// Usage reads the CPU time and memory of the process from /proc, so it works on Linux only.
func (p *Process) Usage() (Usage, error) {
	p.mutex.Lock()
	pid := p.command.Process.Pid
	p.mutex.Unlock()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the CPU time of %s", p.name)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the CPU time of %s", p.name)
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "reading the CPU time of %s", p.name)
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
