package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"
)

// Clock IDs for clock_gettime.
const (
	threadClock  = 3 // CLOCK_THREAD_CPUTIME_ID
	processClock = 2 // low bits of the ID of a process's CPU clock; the other bits hold the process ID
)

// readClock returns the time of a clock in seconds.
func readClock(id int) (float64, error) {
	var t syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, uintptr(id), uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0, errno
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9, nil
}

// processorTime returns the CPU time that a process has used so far, in seconds. The process ID 0 is this process.
func processorTime(pid int) (float64, error) { return readClock(^pid<<3 | processClock) }

// threadTime returns the CPU time of the calling thread in seconds. The goroutine must be locked to the thread.
func threadTime() float64 {
	t, err := readClock(threadClock)
	if err != nil {
		panic(err) // a thread always has a CPU clock
	}
	return t
}

// cpuTimeOf returns the CPU time that this process uses during a call, including garbage collection, in seconds.
func cpuTimeOf(do func()) float64 {
	before, errBefore := processorTime(0)
	do()
	after, errAfter := processorTime(0)
	if err := errors.Join(errBefore, errAfter); err != nil {
		panic(fmt.Sprint("read CPU time of this process: ", err)) // a process always has a CPU clock
	}
	return after - before
}

// maxRepetitions bounds the repetitions of one call by meanCPUTime.
const maxRepetitions = 1 << 20

// meanCPUTime repeats a call at least atLeast times, and until the calls have used the given seconds of CPU time, and
// returns the mean CPU time of one call in seconds.
func meanCPUTime(atLeast int, seconds float64, do func(i int)) float64 {
	done, sum := 0, 0.0
	for done < atLeast || sum < seconds && done < maxRepetitions {
		first, count := done, max(atLeast, done)
		sum += cpuTimeOf(func() {
			for i := range count {
				do(first + i)
			}
		})
		done += count
	}
	return sum / float64(done)
}

// heapInUse returns the bytes of heap and stacks in use after a garbage collection. The second collection frees objects
// that finalizers held.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentMemory is the resident memory of a process, in bytes.
type residentMemory struct {
	now, peak float64
}

// readResident reads the resident memory of a process. The process ID 0 is this process.
func readResident(pid int) (residentMemory, error) {
	process := "self"
	if pid > 0 {
		process = strconv.Itoa(pid)
	}
	text, err := os.ReadFile("/proc/" + process + "/status")
	if err != nil {
		return residentMemory{}, err
	}
	var memory residentMemory
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			memory.now, err = parseKiB(fields[1])
		case "VmHWM:":
			memory.peak, err = parseKiB(fields[1])
		}
		if err != nil {
			return residentMemory{}, fmt.Errorf("read memory of process %s: %w", process, err)
		}
	}
	return memory, nil
}

func parseKiB(text string) (bytes float64, err error) {
	kib, err := strconv.ParseFloat(text, 64)
	return kib * 1024, err
}

// sizeOfFiles returns the total size of all files below a directory, in bytes. Files that vanish meanwhile count as 0.
func sizeOfFiles(dir string) float64 {
	sum := 0.0
	count := func(_ string, entry os.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			sum += float64(info.Size())
		}
		return nil
	}
	if err := filepath.WalkDir(dir, count); err != nil {
		return 0 // cannot happen: count never returns an error
	}
	return sum
}
