package scale

// This file owns reading processor time and memory off processes and the heap. It must never take a clock's time for processor time.

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"
)

// Clocks of the system.
const (
	threadClock  = 3 // of the calling thread
	processClock = 2 // of all threads of a process: its number is made of the process's
)

func clock(id int) (float64, error) {
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, uintptr(id), uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, errno
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9, nil
}

// processorTime is what a process has used so far, seconds of one core; 0 stands for this one.
func processorTime(pid int) (float64, error) { return clock(^pid<<3 | processClock) }

// threadTime is that of the calling thread, which has to be locked.
func threadTime() float64 {
	t, err := clock(threadClock)
	if err != nil {
		panic(err) // a thread always has one
	}
	return t
}

// spent is the processor time that doing something takes this process, its garbage collection among it, seconds.
func spent(do func()) float64 {
	before, err := processorTime(0)
	do()
	after, err2 := processorTime(0)
	if err != nil || err2 != nil {
		panic(fmt.Sprint("processor time of this process: ", err, err2))
	}
	return after - before
}

// each repeats something until it has taken a share of a second, and returns the processor time of one, seconds.
func each(least int, long float64, do func(i int)) float64 {
	n, sum := 0, 0.0
	for n < least || sum < long && n < 1<<20 {
		from, count := n, max(least, n)
		sum += spent(func() {
			for i := range count {
				do(from + i)
			}
		})
		n += count
	}
	return sum / float64(n)
}

// inUse is what is in use after a collection, bytes.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// resident is a process's memory in use now and at most so far, bytes; 0 stands for this one.
func resident(pid int) (now, most float64, err error) {
	who := "self"
	if pid > 0 {
		who = strconv.Itoa(pid)
	}
	text, err := os.ReadFile("/proc/" + who + "/status")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			now = kib * 1024
		case "VmHWM:":
			most = kib * 1024
		}
	}
	return now, most, nil
}
