package emulator

// This file owns the nodes of a day: their configuration, their processes, and what a fault does to them. It must never
// leave a process behind, nor read what a node says of itself for anything but to show it.

import (
	"errors"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/trace"
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
)

// Proc is one running node.
type Proc interface {
	Signal(os.Signal) error
	Done() <-chan struct{} // closed when it has ended
	PID() int              // 0 if it is no process of its own
}

// Start begins a node with the configuration in a file, writing its log to a place.
type Start func(config string, env []string, log io.Writer) (Proc, error)

// Command starts nodes as processes by a command line.
func Command(words []string) Start {
	return func(_ string, env []string, log io.Writer) (Proc, error) {
		return launches.start(words, env, log)
	}
}

// launcher starts every process from one thread that never ends: the system kills a child that asks for it when the
// thread that began it ends, not only when the rig's process does.
type launcher struct {
	once sync.Once
	jobs chan func()
}

var launches launcher

func (l *launcher) start(words, env []string, log io.Writer) (Proc, error) {
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
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }
func (p *process) Done() <-chan struct{}    { return p.done }
func (p *process) PID() int                 { return p.cmd.Process.Pid }

// limitDescriptors sets what a process may open, as the platform does.
func limitDescriptors(pid, most int) error {
	limit := syscall.Rlimit{Cur: uint64(most), Max: uint64(most)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

type node struct {
	day     *Day
	index   int
	zone    int
	address string
	config  string
	log     *os.File

	mu      sync.Mutex
	proc    Proc
	life    *invariant.Process
	forgets bool // its directory was tampered with since it ended
	expects bool // its end is the day's own doing
	in      bool // the front sends to it
	figures trace.NodeUsage
	cpuGone float64 // of earlier lives
}

func (n *node) lifeNow() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life == nil {
		return 0
	}
	return n.life.Incarnation
}

func (n *node) writeConfig(known []byte, seed uint64) error {
	text := configText(n.day.scenario, fmt.Sprintf("n%d", n.index), n.address, n.day.discovery.addressFor(n.index), seed, n.index, n.zone, known,
		n.newsOf(), n.day.nodeAddress(n.index, consolePort))
	part := n.config + ".new"
	if err := os.WriteFile(part, text, 0o600); err != nil {
		return err
	}
	return os.Rename(part, n.config)
}

// start begins a life, and waits elsewhere for it to be ready.
func (n *node) start() error {
	n.mu.Lock()
	number := 1
	if n.life != nil {
		number = n.life.Incarnation + 1
	}
	n.mu.Unlock()
	seed := n.day.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(number)
	var known []byte
	if number == 1 || !n.day.scenario.Nodes.NoList {
		known = n.day.discovery.known(n.index, number, n.day.scenario.Nodes.StaleList && number > 1)
	}
	if err := n.writeConfig(known, seed); err != nil {
		return err
	}
	env := []string{
		"NODE_CONFIG=" + n.config, fmt.Sprintf("NODE_NAME=n%d", n.index), "NODE_LISTEN=" + n.address,
		"NODE_DISCOVERY=" + n.day.discovery.addressFor(n.index), "TMPDIR=" + n.tmp(),
	}
	if features, err := n.features(); err != nil {
		return err
	} else if features != "" {
		env = append(env, "NODE_FEATURES="+features)
	}
	if n.day.scenario.Nodes.PersistState {
		env = append(env, "NODE_STATE="+filepath.Join(n.tmp(), "state"))
	}
	p, err := n.day.start(n.config, env, n.log)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	if p.PID() > 0 {
		if err := limitDescriptors(p.PID(), n.day.scenario.Nodes.Sockets); err != nil {
			n.day.odd("descriptors of a node not limited", err.Error())
		}
	}
	life := &invariant.Process{Node: n.index, Incarnation: number, StartedAt: n.day.now(), Persistent: n.day.scenario.Nodes.PersistState && !n.forgets}
	n.forgets = false
	n.day.ledger.RecordProcess(life)
	n.mu.Lock()
	n.proc, n.life, n.expects = p, life, false
	n.figures.Starts++
	n.mu.Unlock()
	n.day.group.Go(func() error { n.watch(p, life); return nil })
	n.day.group.Go(func() error { n.admit(p, life); return nil })
	return nil
}

// admit has the front take the node in once it is ready.
func (n *node) admit(p Proc, life *invariant.Process) {
	for {
		select {
		case <-n.day.over:
			return
		case <-p.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		if ready(n.address) {
			now := n.day.now()
			n.day.ledger.Update(func() { life.ReadyAt = now })
			n.mu.Lock()
			n.in = n.proc == p
			n.mu.Unlock()
			return
		}
	}
}

func ready(address string) bool {
	c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n", pathReady)
	var m message
	return newReader(c, func() int64 { return 0 }).next(&m, true) == nil && m.status == 200
}

// watch sees a life end. The front notices somewhat later.
func (n *node) watch(p Proc, life *invariant.Process) {
	var gone bool
	select {
	case <-p.Done():
		gone = true
	case <-n.day.over:
	}
	now := n.day.now()
	n.day.ledger.Update(func() { life.EndedAt = now })
	if !gone {
		return
	}
	n.mu.Lock()
	expected := n.expects
	if !expected {
		n.figures.Crashes++
	}
	n.cpuGone = n.figures.CPUSeconds
	n.mu.Unlock()
	if !expected {
		n.day.odd("a node ended by itself", strconv.Itoa(n.index))
	}
	n.day.later(time.Duration(n.day.scenario.Nodes.DeathNotice), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.proc == p {
			n.in = false
		}
	})
}

// kill ends a node outright; what it held is excused.
func (n *node) kill() { n.end(syscall.SIGKILL, true) }

func (n *node) end(s os.Signal, excused bool) {
	n.mu.Lock()
	p, life := n.proc, n.life
	n.expects = true
	n.mu.Unlock()
	if p == nil {
		return
	}
	if excused {
		n.day.ledger.Excuse(life, invariant.Span{From: n.day.now(), To: invariant.Never})
	}
	p.Signal(s)
}

// hold stops a node's process where it stands, for a time.
func (n *node) hold(d time.Duration) {
	n.mu.Lock()
	p, life := n.proc, n.life
	n.mu.Unlock()
	if p == nil || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	now := n.day.now()
	// A little longer than it is held, since everything then comes at once.
	n.day.ledger.Excuse(life, invariant.Span{From: now, To: now + int64(d) + int64(200*time.Millisecond)})
	n.day.later(d, func() { p.Signal(syscall.SIGCONT) })
}

// reload gives the node a new configuration and tells it so.
func (n *node) reload() error {
	if err := n.writeConfig(n.day.discovery.asItStands(n.index), 1); err != nil {
		return err
	}
	n.mu.Lock()
	p := n.proc
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	if err := p.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// takes tells whether the front sends to it.
func (n *node) takes() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in
}

// sample reads what the node's process uses now. Over its memory it is killed, as the platform does.
func (n *node) sample() {
	n.mu.Lock()
	p := n.proc
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
	n.figures.CPUSeconds = n.cpuGone + (user+system)/100
	n.figures.MaxMemoryMB = max(n.figures.MaxMemoryMB, mb)
	n.figures.MaxDescriptors = max(n.figures.MaxDescriptors, len(files))
	n.mu.Unlock()
	if mb > float64(n.day.scenario.Nodes.MemoryMB) {
		n.day.odd("a node over its memory was killed", fmt.Sprintf("node %d with %.0f MB", n.index, mb))
		p.Signal(syscall.SIGKILL)
	}
}
