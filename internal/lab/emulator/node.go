package emulator

// The nodes: their configuration, their processes, and what faults do to them.

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

// Process is one running node.
type Process interface {
	Signal(os.Signal) error
	Done() <-chan struct{} // closed when it has ended
	PID() int              // 0 if it is no process of its own
}

// signal sends a signal to a process, which may have ended.
func signal(p Process, s os.Signal) { _ = p.Signal(s) }

// Start starts a node with the configuration in a file, and its log.
type StartFunc func(config string, env []string, log io.Writer) (Process, error)

// Command starts nodes as processes by a command line.
func Command(words []string) StartFunc {
	return func(_ string, env []string, log io.Writer) (Process, error) {
		return processLauncher.start(words, env, log)
	}
}

// launcher starts every process from one thread that never ends: the system kills a child that asks for it when the
// thread that started it ends, not only when the process does.
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
	begun := make(chan error)
	l.jobs <- func() { begun <- cmd.Start() }
	if err := <-begun; err != nil {
		return nil, err
	}
	p := &osProcess{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // a node that was killed has no exit code
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

// limitDescriptors sets what a process may open, as the platform does.
func limitDescriptors(pid, most int) error {
	limit := syscall.Rlimit{Cur: uint64(most), Max: uint64(most)}
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
	stateLost     bool               // its directory was tampered with since it ended
	expectedEnd   *invariant.Process // the life whose end is the day's own doing
	admitted      bool               // the front sends to it
	usage         trace.NodeUsage
	previousCPU   float64 // of earlier lives
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

// start starts a process, and waits elsewhere for it to be ready.
func (n *node) start() error {
	n.mu.Lock()
	number := 1
	if n.processRecord != nil {
		number = n.processRecord.Incarnation + 1
	}
	n.mu.Unlock()
	seed := n.run.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(number)
	var known []byte
	if number == 1 || !n.run.scenario.Nodes.NoList {
		known = n.run.discovery.knownList(n.index, number, n.run.scenario.Nodes.StaleList && number > 1)
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
	p, err := n.run.start(n.config, env, n.log)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	if p.PID() > 0 {
		if err := limitDescriptors(p.PID(), n.run.scenario.Nodes.Sockets); err != nil {
			n.run.recordAnomaly("descriptors of a node not limited", err.Error())
		}
	}
	life := &invariant.Process{
		Node: n.index, Incarnation: number, StartedAt: n.run.now(),
		Persistent: n.run.scenario.Nodes.PersistState && !n.stateLost,
	}
	n.stateLost = false
	n.run.history.RecordProcess(life)
	n.mu.Lock()
	n.handle, n.processRecord = p, life
	n.usage.Starts++
	n.mu.Unlock()
	n.run.group.Go(func() error { n.watch(p, life); return nil })
	n.run.group.Go(func() error { n.awaitReady(p, life); return nil })
	return nil
}

// awaitReady has the front send to the node once it is ready.
func (n *node) awaitReady(p Process, life *invariant.Process) {
	for {
		select {
		case <-n.run.done:
			return
		case <-p.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		if isReady(n.address) {
			now := n.run.now()
			n.run.history.Update(func() { life.ReadyAt = now })
			n.mu.Lock()
			n.admitted = n.handle == p
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

// watch takes the end of a process. The front notices it later.
func (n *node) watch(p Process, life *invariant.Process) {
	var gone bool
	select {
	case <-p.Done():
		gone = true
	case <-n.run.done:
	}
	now := n.run.now()
	n.run.history.Update(func() { life.EndedAt = now })
	if !gone {
		return
	}
	n.mu.Lock()
	expected := n.expectedEnd == life
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
		if n.handle == p {
			n.admitted = false
		}
	})
}

// kill ends a node with SIGKILL; what it had in flight is excused.
func (n *node) kill() { n.end(syscall.SIGKILL, true) }

func (n *node) end(s os.Signal, excused bool) {
	n.mu.Lock()
	p, life := n.handle, n.processRecord
	n.expectedEnd = life
	n.mu.Unlock()
	if p == nil {
		return
	}
	if excused {
		n.run.history.Excuse(life, invariant.Interval{From: n.run.now(), To: invariant.Never})
	}
	signal(p, s)
}

// signalSeries sends a node the signals that change nothing of a stop: some before it, and further ones while it goes on.
func (n *node) signalSeries() {
	n.mu.Lock()
	p := n.handle
	n.mu.Unlock()
	if p == nil {
		return
	}
	for _, before := range []os.Signal{syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP} {
		signal(p, before)
	}
	const apart = 50 * time.Millisecond
	for i, during := range []os.Signal{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM} {
		n.run.after(time.Duration(i+1)*apart, func() { signal(p, during) })
	}
}

// pause stops a node's process for a time.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	p, life := n.handle, n.processRecord
	n.mu.Unlock()
	if p == nil || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	now := n.run.now()
	// Longer than it is paused, for the backlog.
	n.run.history.Excuse(life, invariant.Interval{From: now, To: now + int64(d) + int64(200*time.Millisecond)})
	n.run.after(d, func() { signal(p, syscall.SIGCONT) })
}

// reload gives the node a new configuration, with SIGHUP.
func (n *node) reload() error {
	if err := n.writeConfig(n.run.discovery.currentList(n.index), 1); err != nil {
		return err
	}
	n.mu.Lock()
	p := n.handle
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	if err := p.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// isAdmitted tells whether the front sends to it.
func (n *node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admitted
}

// sampleUsage reads what the node's process uses now. Beyond its memory it is killed, as the platform does.
func (n *node) sampleUsage() {
	n.mu.Lock()
	p := n.handle
	n.mu.Unlock()
	if p == nil || p.PID() == 0 {
		return
	}
	dir := filepath.Join("/proc", strconv.Itoa(p.PID()))
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
		signal(p, syscall.SIGKILL)
	}
}
