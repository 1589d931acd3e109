package node

// The predecessor's side of a hot restart (hotrestart.go): the connection to the successor.

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// closeSuccessor closes the connection to the successor, which tells it that this process ends. The system would close
// it slightly later.
func (h *hotRestart) closeSuccessor() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		h.successor.Close()
	}
}

func (h *hotRestart) serve(listener *net.UnixListener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		go h.serveSuccessor(conn)
	}
}

// serveSuccessor sends the state to a successor and pauses accepting while the successor serves, until it ends.
func (h *hotRestart) serveSuccessor(conn net.Conn) {
	defer conn.Close()
	defer h.node.recoverPanic("hot restart", func() {})
	in := bufio.NewReader(conn)
	changes := make(chan (<-chan recentChange), 1)
	if err := h.sendState(conn, in, changes); err != nil {
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("hot restart: successor ignored", zap.Error(err))
		return
	}
	h.node.log.Info("hot restart: sent the state to a successor")
	h.node.divideLimits()
	defer h.successorEnded()
	go func() {
		told := <-changes
		writeRecentChanges(conn, told)
		h.stopTelling(told)
	}()
	if err := awaitReady(conn, in); err != nil {
		return
	}
	h.mu.Lock()
	h.successorServing = true
	h.mu.Unlock()
	h.node.frontend.pause()
	h.node.log.Info("hot restart: successor accepts the new connections")
	readRecentChanges(in, h.applyRecentChange)
}

// successorEnded resumes accepting with the full limits, also while this process is shutting down, as no other process
// serves. The limits are restored last: once they are, a further successor must be able to connect to this process.
func (h *hotRestart) successorEnded() {
	h.mu.Lock()
	h.successor, h.successorServing = nil, false
	h.mu.Unlock()
	h.node.frontend.resume()
	if !h.node.shuttingDown.Load() {
		h.node.log.Warn("hot restart: successor has ended; accepting new connections again")
		h.openSocket()
	}
	h.node.divideLimits()
}

// sendState registers the caller as the successor, unless there is one already, and sends it the state.
// changes receives the channel of what changes after that state.
func (h *hotRestart) sendState(conn net.Conn, in *bufio.Reader, changes chan (<-chan recentChange)) error {
	if err := readHello(conn, in, h.hello()); err != nil {
		return err
	}
	if !h.registerSuccessor(conn) {
		return errRestartInProgress
	}
	if err := json.NewEncoder(conn).Encode(h.state(changes)); err != nil {
		h.mu.Lock()
		h.successor = nil
		h.mu.Unlock()
		go func() { h.stopTelling(<-changes) }()
		return err
	}
	return nil
}

func (h *hotRestart) registerSuccessor(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	h.successor = conn
	return true
}

// state collects what a successor inherits. If the event loop does not respond in time, only the known names are sent.
func (h *hotRestart) state(changes chan<- (<-chan recentChange)) restartState {
	state := restartState{restartHello: h.hello(), KnownNames: h.node.overrides.knownNames()}
	fromLoop := make(chan restartState, 1)
	go h.node.loop.post(func() {
		changes <- h.node.loop.recent.listen()
		fromLoop <- restartState{
			Recent:    h.node.loop.recent.all(),
			Endpoints: h.node.overrides.encodeListWithoutOverrides(),
			Estimates: h.node.loop.encodeEstimates(),
		}
	})
	select {
	case collected := <-fromLoop:
		state.Endpoints, state.Estimates, state.Recent = collected.Endpoints, collected.Estimates, collected.Recent
	case <-time.After(hotRestartTimeout / 2):
	}
	return state
}

// hasServingSuccessor reports whether a successor accepts the new connections.
func (h *hotRestart) hasServingSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successorServing
}

// awaitStartingSuccessor waits until a successor that does not serve yet serves or ends, or the given time is reached.
func (h *hotRestart) awaitStartingSuccessor(until time.Time) {
	for h.hasStartingSuccessor() && time.Now().Before(until) {
		time.Sleep(clientPollInterval)
	}
}

func (h *hotRestart) hasStartingSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil && !h.successorServing
}
