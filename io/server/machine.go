package server

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"turmericpulley/core/budget"
)

const (
	// groupMemoryPath is the file with the memory limit of the process's control group, in bytes or "max".
	groupMemoryPath = "/sys/fs/cgroup/memory.max"
	mebibyte        = 1 << 20
)

// Memory returns the memory of the machine: the setting, else the smaller of the machine's and the control group's. Zero means that it is
// not known.
func (s Settings) Memory() budget.Bytes {
	if s.MemoryMiB > 0 {
		return budget.Bytes(s.MemoryMiB) * mebibyte
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	memory := budget.Bytes(info.Totalram) * budget.Bytes(info.Unit)
	text, err := os.ReadFile(groupMemoryPath)
	if err != nil {
		return memory
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return memory
	}
	return min(memory, budget.Bytes(limit))
}

// descriptors returns how many descriptors the process may open; zero means that it is not known.
func (s Settings) descriptors() int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxKnownDescriptors))
}

// maxKnownDescriptors stands for a process without a limit of descriptors.
const maxKnownDescriptors = 1 << 20

// limits returns what the instance takes in for its callers.
func (s Settings) limits() budget.Limits { return budget.LimitsFor(s.Memory(), s.descriptors()) }
