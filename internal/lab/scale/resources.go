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

// Clocks of the system, for clock_gettime.
const (
	threadClock  = 3 // CLOCK_THREAD_CPUTIME_ID
	processClock = 2 // low bits of a process's clock; its ID is in the others
)

// readClock returns seconds.
func readClock(id int) (float64, error) {
	var t syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, uintptr(id), uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0, errno
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9, nil
}

// processorTime returns what a process has used so far, seconds of one core; 0 stands for this process.
func processorTime(pid int) (float64, error) { return readClock(^pid<<3 | processClock) }

// threadTime is that of the calling thread, to which the goroutine has to be locked.
func threadTime() float64 {
	t, err := readClock(threadClock)
	if err != nil {
		panic(err) // a thread always has one
	}
	return t
}

// spent returns the processor time that a call takes this process, with its garbage collection, seconds.
func cpuTimeOf(do func()) float64 {
	before, errBefore := processorTime(0)
	do()
	after, errAfter := processorTime(0)
	if err := errors.Join(errBefore, errAfter); err != nil {
		panic(fmt.Sprint("processor time of this process: ", err)) // a process always has one
	}
	return after - before
}

// maxRepetitions of one call by meanCPUTime.
const maxRepetitions = 1 << 20

// meanCPUTime repeats a call at least so often, and until it has taken so many seconds, and returns the mean processor
// time of one, seconds.
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

// heapInUse returns the bytes of heap and stacks in use after a collection. The second collection frees what finalizers
// held.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentMemory is a process's memory in use, bytes.
type residentMemory struct {
	now, peak float64
}

// readResident reads that of a process; 0 stands for this one.
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
			return residentMemory{}, fmt.Errorf("memory of process %s: %w", process, err)
		}
	}
	return memory, nil
}

func parseKiB(text string) (bytes float64, err error) {
	kib, err := strconv.ParseFloat(text, 64)
	return kib * 1024, err
}

// sizeOfFiles sums the lengths of all files below a directory, bytes. Files that vanish meanwhile count nothing.
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
		return 0 // count returns none, so there is none
	}
	return sum
}
