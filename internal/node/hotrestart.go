package node

// This file owns the meeting of a node's two processes at an upgrade: how the new one finds the old, what it is told, how they
// split the limits, and who takes new connections. It must never hold up a start: whoever does not answer in time, or talks
// nonsense, is nobody. What operators ordered is not told here; both read it from the file of orders.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	hotRestartVersion = 2
	hotRestartTimeout = 1500 * time.Millisecond
	maxRestartState   = 16 << 20
	maxSocketPath     = 100 // the system takes a few more
	readyMessage      = "ready\n"
)

// restartHello is what the new process says first.
type restartHello struct {
	Version int    `json:"handover"`
	Node    string `json:"node"`
}

// restartState is what the old process knows and the new one takes over.
type restartState struct {
	restartHello
	List    json.RawMessage `json:"list"`    // in discovery's form
	Listed  []string        `json:"listed"`  // every name that was ever listed
	Learned json.RawMessage `json:"learned"` // by the decisions
}

type hotRestart struct {
	node *Node
	path string

	mu          sync.Mutex
	listener    *net.UnixListener
	successor   net.Conn
	predecessor net.Conn // the process that this one takes over from, until it has ended
	yielded     bool     // the successor takes the new connections
}

func newHotRestart(n *Node) *hotRestart {
	return &hotRestart{node: n, path: filepath.Join(n.config.filesDir, n.fileName(".sock"))}
}

func (h *hotRestart) hello() restartHello {
	return restartHello{Version: hotRestartVersion, Node: h.node.overrides.owner()}
}

// connectPredecessor looks for the node's other process and asks what it knows; nil where there is none.
func (h *hotRestart) connectPredecessor() *restartState {
	told, err := h.dialPredecessor()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("no other process answers, a plain start", zap.String("at", h.path), zap.Error(err))
		return nil
	}
	h.node.log.Info("takes over from another process of this node", zap.Int("names", len(told.Listed)))
	return told
}

func (h *hotRestart) dialPredecessor() (*restartState, error) {
	at, done, err := h.socketAddress(h.path)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialTimeout("unix", at, hotRestartTimeout)
	if err != nil {
		return nil, err
	}
	told, err := h.receiveState(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	h.predecessor = c
	return told, nil
}

func (h *hotRestart) receiveState(c net.Conn) (*restartState, error) {
	if err := sameUser(c); err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(hotRestartTimeout))
	if err := json.NewEncoder(c).Encode(h.hello()); err != nil {
		return nil, err
	}
	line, err := readLine(bufio.NewReader(c), maxRestartState)
	if err != nil {
		return nil, err
	}
	var told restartState
	if err := json.Unmarshal(line, &told); err != nil {
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return &told, h.check(told.restartHello)
}

func (h *hotRestart) check(other restartHello) error {
	if own := h.hello(); other != own {
		return fmt.Errorf("expected version %d of node %s, got %d of %.80q", own.Version, own.Node, other.Version, other.Node)
	}
	return nil
}

// readLine reads one line of at most so many bytes.
func readLine(in *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if line = append(line, part...); err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(line) > most {
			return nil, errors.New("a line without an end")
		}
	}
}

// socketAddress is how to name a path to a Unix socket: one that is too long goes by its folder's descriptor.
func (h *hotRestart) socketAddress(path string) (at string, done func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// sameUser guards against another user's process in the place of this node's: the folder may be anybody's.
func sameUser(c net.Conn) error {
	raw, err := c.(*net.UnixConn).SyscallConn()
	if err != nil {
		return err
	}
	var peer *syscall.Ucred
	if broken := raw.Control(func(fd uintptr) {
		peer, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); broken != nil || err != nil {
		return errors.Join(broken, err)
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("a process of user %d", peer.Uid)
	}
	return nil
}

// open takes the place where a later process looks, from whoever has it: a process that is stopping, or one that has died.
func (h *hotRestart) open() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
		h.listener = nil
	}
	fresh := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	os.Remove(fresh)
	err := func() error {
		at, done, err := h.socketAddress(fresh)
		if err != nil {
			return err
		}
		defer done()
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: at, Net: "unix"})
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false) // the path may be the successor's by then
		if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, h.path)); err != nil {
			l.Close()
			os.Remove(fresh)
			return err
		}
		h.listener = l
		go h.serve(l)
		return nil
	}()
	if err != nil { // the node serves all the same; an upgrade will be a plain start
		h.node.log.Warn("a later process will not find this one", zap.Error(err))
	}
}

func (h *hotRestart) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
	}
}

// end lets the other process know that this one has ended, a moment before the machine would.
func (h *hotRestart) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		h.successor.Close()
	}
}

func (h *hotRestart) serve(l *net.UnixListener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go h.serveSuccessor(c)
	}
}

// serveSuccessor tells a new process what this one knows, and goes by what becomes of it until it ends. There is one at a time.
func (h *hotRestart) serveSuccessor(c net.Conn) {
	defer c.Close()
	defer h.node.recoverPanic("handover", func() {})
	in := bufio.NewReader(c)
	if err := h.sendState(c, in); err != nil {
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("a caller that does not take over", zap.Error(err))
		return
	}
	h.node.log.Info("another process is to take over")
	h.node.divideLimits()
	defer func() {
		h.mu.Lock()
		h.successor, h.yielded = nil, false
		h.mu.Unlock()
		h.node.divideLimits()
		h.node.frontend.resume() // also while this one is stopping: there is nobody else to take what still comes
		if !h.node.stopping.Load() {
			h.node.log.Warn("the process that was to take over has ended, this one goes on")
			h.open()
		}
	}()
	c.SetDeadline(time.Time{})
	line, err := readLine(in, len(readyMessage))
	if err != nil || string(line) != readyMessage {
		return
	}
	h.mu.Lock()
	h.yielded = true
	h.mu.Unlock()
	h.node.frontend.pause()
	h.node.log.Info("another process takes the new connections")
	io.Copy(io.Discard, in)
}

func (h *hotRestart) sendState(c net.Conn, in *bufio.Reader) error {
	if err := sameUser(c); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(hotRestartTimeout))
	line, err := readLine(in, 4<<10)
	if err != nil {
		return err
	}
	var other restartHello
	if err := json.Unmarshal(line, &other); err != nil {
		return err
	}
	if err := h.check(other); err != nil {
		return err
	}
	h.mu.Lock()
	taken := h.successor != nil
	if !taken {
		h.successor = c
	}
	h.mu.Unlock()
	if taken {
		return errors.New("another process is taking over already")
	}
	told := restartState{restartHello: h.hello(), Listed: h.node.overrides.knownNames()}
	learned := make(chan restartState, 1)
	go h.node.loop.post(func() {
		learned <- restartState{List: h.node.overrides.encodeUnmodified(), Learned: h.node.loop.encodeEstimates()}
	})
	select {
	case l := <-learned:
		told.List, told.Learned = l.List, l.Learned
	case <-time.After(hotRestartTimeout / 2): // names alone are better than no answer
	}
	if err := json.NewEncoder(c).Encode(told); err != nil {
		h.mu.Lock()
		h.successor = nil
		h.mu.Unlock()
		return err
	}
	return nil
}

// announceServing tells the old process that this one serves, and from then on stands where the next one looks.
func (h *hotRestart) announceServing() {
	h.mu.Lock()
	before := h.predecessor
	h.mu.Unlock()
	if before != nil {
		io.WriteString(before, readyMessage)
		go func() {
			io.Copy(io.Discard, before)
			before.Close()
			h.mu.Lock()
			h.predecessor = nil
			h.mu.Unlock()
			h.node.divideLimits()
			h.node.log.Info("the process before has ended")
		}()
	}
	h.open()
}

// hasYielded tells whether a successor takes the new connections.
func (h *hotRestart) hasYielded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.yielded
}

// processes is how many processes the node has now, this one with them.
func (h *hotRestart) processes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil || h.predecessor != nil {
		return 2
	}
	return 1
}
