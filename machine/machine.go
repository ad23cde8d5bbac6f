// Package machine tells what the VM of a process has.
package machine

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// cgroupLimit is the file with the memory limit of the process's control group.
const cgroupLimit = "/sys/fs/cgroup/memory.max"

// runtimeShare is the share of the memory that is the soft limit of the Go runtime, above which garbage is
// collected more often.
const runtimeShare = 0.6

// setLimit is the limit of the Go runtime before the process sets one.
var setLimit = debug.SetMemoryLimit(-1)

// LimitRuntime sets the soft memory limit of the Go runtime for a VM with so many bytes of memory; zero
// means that this is not known.
func LimitRuntime(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memory)))
	}
}

// Memory returns the bytes of memory that the process may use: those of the VM, of its control group or of
// GOMEMLIMIT, whichever are the fewest. It returns zero if none is known.
func Memory() int64 {
	least := setLimit
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			if total, ok := strings.CutPrefix(line, "MemTotal:"); ok {
				least = smaller(least, strings.TrimSuffix(strings.TrimSpace(total), " kB"), 1<<10)
			}
		}
	}
	if text, err := os.ReadFile(cgroupLimit); err == nil {
		least = smaller(least, strings.TrimSpace(string(text)), 1)
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// smaller returns the smaller one of n and the number in text times unit; n if text is no number.
func smaller(n int64, text string, unit int64) int64 {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v <= 0 {
		return n
	}
	return min(n, v*unit)
}

// Descriptors returns the number of descriptors that the process may open, or zero if it is not known.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
