package distsim

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Resource usage of processes and the machine, as reported by the kernel. A figure that cannot be read, because the
// process has ended, is 0.

// ticksPerSecond is USER_HZ, the unit of CPU time in /proc.
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat, counted after the name of the program.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// processorTime returns the CPU time that a process has used, in nanoseconds.
func processorTime(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statSystemTicks {
		return 0
	}
	return (parseCount(fields[statUserTicks]) + parseCount(fields[statSystemTicks])) * int64(time.Second) / ticksPerSecond
}

// ownProcessorTime returns the CPU time that this process has used, in nanoseconds.
func ownProcessorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// residentMemory returns the resident memory of a process, in bytes.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	return parseCount(fields[1]) * int64(os.Getpagesize())
}

func parseCount(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	minute, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(minute, 64)
	if err != nil {
		return 0
	}
	return load
}

// halfOfMemory returns half of the machine's memory, in bytes.
func halfOfMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10 / 2, err
		}
	}
	return 0, errors.New("/proc/meminfo: expected a MemTotal line, found none")
}
