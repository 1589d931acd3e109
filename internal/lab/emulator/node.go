package emulator

// The nodes: their configuration, their processes, and the faults that act on them.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/trace"
)

// Process is a running node.
type Process interface {
	Signal(os.Signal) error
	Done() <-chan struct{} // closed when the node has ended
	PID() int              // 0 if the node runs inside this process
}

// signal sends a signal to a process, which may have ended already.
func signal(process Process, s os.Signal) { _ = process.Signal(s) }

// StartFunc starts a node. config is the path of its configuration file, env is added to its environment, and its
// output goes to log.
type StartFunc func(config string, env []string, log io.Writer) (Process, error)

// Command returns a StartFunc that runs a command line.
func Command(words []string) StartFunc {
	return func(_ string, env []string, log io.Writer) (Process, error) {
		return processLauncher.start(words, env, log)
	}
}

// launcher starts all processes from one OS thread that never ends. The children are started with a parent death
// signal, which the kernel sends when the thread that started them ends, not only when the process does.
type launcher struct {
	once sync.Once
	jobs chan func()
}

var processLauncher launcher

func (l *launcher) start(words, env []string, log io.Writer) (Process, error) {
	l.once.Do(func() {
		l.jobs = make(chan func())
		go func() {
			runtime.LockOSThread()
			for do := range l.jobs {
				do()
			}
		}()
	})
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = time.Second
	started := make(chan error)
	l.jobs <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	p := &osProcess{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		close(p.done)
	}()
	return p, nil
}

type osProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *osProcess) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }
func (p *osProcess) Done() <-chan struct{}    { return p.done }
func (p *osProcess) PID() int                 { return p.cmd.Process.Pid }

// limitDescriptors sets the limit on the file descriptors of a process, as the platform does.
func limitDescriptors(pid, maxDescriptors int) error {
	limit := syscall.Rlimit{Cur: uint64(maxDescriptors), Max: uint64(maxDescriptors)}
	_, _, errno := syscall.RawSyscall6(
		syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0,
	)
	if errno != 0 {
		return errno
	}
	return nil
}

type node struct {
	run     *Emulation
	index   int
	zone    int
	address string
	config  string
	log     *os.File

	mu            sync.Mutex
	handle        Process
	processRecord *invariant.Process
	stateLost     bool               // a fault has damaged the state directory since the last start
	expectedEnd   *invariant.Process // the process that a fault has ended
	admitted      bool               // the front sends requests to the node
	usage         trace.NodeUsage
	previousCPU   float64 // CPU seconds of earlier processes
}

func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.processRecord == nil {
		return 0
	}
	return n.processRecord.Incarnation
}

func (n *node) writeConfig(known []byte, seed uint64) error {
	text := encodeConfig(n.run.scenario, fmt.Sprintf("n%d", n.index), n.address, n.run.discovery.addressFor(n.index), seed, n.index, n.zone, known,
		n.gossipConfig(), n.run.nodeAddress(n.index, adminPort))
	part := n.config + ".new"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return err
	}
	return os.Rename(part, n.config)
}

// start starts a process of the node. It does not wait until the node is ready.
func (n *node) start() error {
	n.mu.Lock()
	incarnation := 1
	if n.processRecord != nil {
		incarnation = n.processRecord.Incarnation + 1
	}
	n.mu.Unlock()
	seed := n.run.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(incarnation)
	var known []byte
	if incarnation == 1 || !n.run.scenario.Nodes.NoList {
		known = n.run.discovery.knownList(n.index, incarnation, n.run.scenario.Nodes.StaleList && incarnation > 1)
	}
	if err := n.writeConfig(known, seed); err != nil {
		return err
	}
	env := []string{
		"NODE_CONFIG=" + n.config, fmt.Sprintf("NODE_NAME=n%d", n.index), "NODE_LISTEN=" + n.address,
		"NODE_DISCOVERY=" + n.run.discovery.addressFor(n.index), "TMPDIR=" + n.stateDir(),
	}
	if features, err := n.features(); err != nil {
		return err
	} else if features != "" {
		env = append(env, "NODE_FEATURES="+features)
	}
	if n.run.scenario.Nodes.PersistState {
		env = append(env, "NODE_STATE="+filepath.Join(n.stateDir(), "state"))
	}
	process, err := n.run.start(n.config, env, n.log)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	if process.PID() > 0 {
		if err := limitDescriptors(process.PID(), n.run.scenario.Nodes.Sockets); err != nil {
			n.run.recordAnomaly("descriptors of a node not limited", err.Error())
		}
	}
	record := &invariant.Process{
		Node: n.index, Incarnation: incarnation, StartedAt: n.run.now(),
		Persistent: n.run.scenario.Nodes.PersistState && !n.stateLost,
	}
	n.stateLost = false
	n.run.history.RecordProcess(record)
	n.mu.Lock()
	n.handle, n.processRecord = process, record
	n.usage.Starts++
	n.mu.Unlock()
	n.run.group.Go(func() error { n.watch(process, record); return nil })
	n.run.group.Go(func() error { n.awaitReady(process, record); return nil })
	return nil
}

// awaitReady admits the node to the front once its readiness check succeeds.
func (n *node) awaitReady(process Process, record *invariant.Process) {
	for {
		select {
		case <-n.run.done:
			return
		case <-process.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		if isReady(n.address) {
			now := n.run.now()
			n.run.history.Update(func() { record.ReadyAt = now })
			n.mu.Lock()
			n.admitted = n.handle == process
			n.mu.Unlock()
			return
		}
	}
}

func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	sendf(c, "GET %s HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n", pathReady)
	var m message
	return newReader(c, func() int64 { return 0 }).next(&m, true) == nil && m.status == 200
}

// watch records the end of a process. The front stops sending to the node after DeathNotice.
func (n *node) watch(process Process, record *invariant.Process) {
	var ended bool
	select {
	case <-process.Done():
		ended = true
	case <-n.run.done:
	}
	now := n.run.now()
	n.run.history.Update(func() { record.EndedAt = now })
	if !ended {
		return
	}
	n.mu.Lock()
	expected := n.expectedEnd == record
	if !expected {
		n.usage.Crashes++
	}
	n.previousCPU = n.usage.CPUSeconds
	n.mu.Unlock()
	if !expected {
		n.run.recordAnomaly("a node ended by itself", strconv.Itoa(n.index))
	}
	n.run.after(time.Duration(n.run.scenario.Nodes.DeathNotice), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.handle == process {
			n.admitted = false
		}
	})
}

// kill ends a node with SIGKILL. The rule checker excuses its requests in flight.
func (n *node) kill() { n.end(syscall.SIGKILL, true) }

func (n *node) end(s os.Signal, excused bool) {
	n.mu.Lock()
	process, record := n.handle, n.processRecord
	n.expectedEnd = record
	n.mu.Unlock()
	if process == nil {
		return
	}
	if excused {
		n.run.history.Excuse(record, invariant.Interval{From: n.run.now(), To: invariant.Never})
	}
	signal(process, s)
}

// signalSeries sends a node signals that must not affect its stop: some before it, and some while the node stops.
func (n *node) signalSeries() {
	n.mu.Lock()
	process := n.handle
	n.mu.Unlock()
	if process == nil {
		return
	}
	for _, before := range []os.Signal{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP} {
		signal(process, before)
	}
	const apart = 50 * time.Millisecond
	for i, during := range []os.Signal{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM} {
		n.run.after(time.Duration(i+1)*apart, func() { signal(process, during) })
	}
}

// pause suspends a node's process for a time.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	process, record := n.handle, n.processRecord
	n.mu.Unlock()
	if process == nil || process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	now := n.run.now()
	// Excused for longer than the pause, because the node has to work off its backlog.
	n.run.history.Excuse(record, invariant.Interval{From: now, To: now + int64(d) + int64(200*time.Millisecond)})
	n.run.after(d, func() { signal(process, syscall.SIGCONT) })
}

// reload writes a new configuration and makes the node reload it with SIGHUP.
func (n *node) reload() error {
	if err := n.writeConfig(n.run.discovery.currentList(n.index), 1); err != nil {
		return err
	}
	n.mu.Lock()
	process := n.handle
	n.mu.Unlock()
	if process == nil {
		return nil
	}
	if err := process.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// isAdmitted reports whether the front sends requests to the node.
func (n *node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admitted
}

// sampleUsage records the current resource usage of the node's process. It kills a process that exceeds the node's
// memory, as the platform does.
func (n *node) sampleUsage() {
	n.mu.Lock()
	process := n.handle
	n.mu.Unlock()
	if process == nil || process.PID() == 0 {
		return
	}
	dir := filepath.Join("/proc", strconv.Itoa(process.PID()))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	mb := pages * float64(os.Getpagesize()) / (1 << 20)
	files, _ := os.ReadDir(filepath.Join(dir, "fd"))
	n.mu.Lock()
	n.usage.CPUSeconds = n.previousCPU + (user+system)/100
	n.usage.MaxMemoryMB = max(n.usage.MaxMemoryMB, mb)
	n.usage.MaxDescriptors = max(n.usage.MaxDescriptors, len(files))
	n.mu.Unlock()
	if mb > float64(n.run.scenario.Nodes.MemoryMB) {
		n.run.recordAnomaly("a node over its memory was killed", fmt.Sprintf("node %d with %.0f MB", n.index, mb))
		signal(process, syscall.SIGKILL)
	}
}
