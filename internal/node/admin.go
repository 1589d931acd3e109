package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The admin API's connections: a listener of its own, one call on each connection, and a bound on both. What calls do
// is in admincommands.go. Nothing here waits for the loop, a client or an upstream.

const (
	adminReadTimeout   = 3 * time.Second // for the whole call
	adminEvictionAge   = 10 * time.Millisecond
	adminWriteTimeout  = time.Second
	maxAdminHeadBytes  = 8 << 10
	maxAdminConns      = 64
	adminConnDivisor   = 12 // of the descriptors one in so many is for the admin API, if that is fewer
	headEnd            = "\r\n\r\n"
	admitRetryInterval = adminEvictionAge / 4
)

var (
	errAdminHeadTooLong    = errors.New("head longer than 8 KiB")
	errAdminHeadIncomplete = errors.New("half a call")
	errAdminMalformed      = errors.New("a call that cannot be read")
)

// adminServer holds the admin API's listener and connections.
type adminServer struct {
	node     *Node
	listener net.Listener // nil: no admin API

	mu      sync.Mutex
	maxOpen int
	open    int
	waiting []*adminConn // those whose call has not been read, the oldest first
}

type adminConn struct {
	*bufferedConn
	acceptedAt time.Time
}

// newAdminServer opens the listener, if the configuration has one.
func newAdminServer(n *Node) (*adminServer, error) {
	s := &adminServer{node: n}
	if n.config.AdminListen == "" {
		return s, nil
	}
	var err error
	if s.listener, err = bind(n.config.AdminListen); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return s, nil
}

// setLimit sets how many connections there may be at once.
func (s *adminServer) setLimit(maxOpen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen = maxOpen
}

func (s *adminServer) close() {
	if s.listener != nil {
		s.listener.Close()
	}
}

// run accepts connections until the listener is closed.
func (s *adminServer) run() {
	if s.listener == nil {
		return
	}
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.admit(&adminConn{bufferedConn: newBufferedConn(accepted), acceptedAt: time.Now()})
	}
}

// admit serves a connection once there is room for it: guards against thousands of connections that send nothing.
func (s *adminServer) admit(c *adminConn) {
	for !s.tryAdmit(c) {
		time.Sleep(admitRetryInterval)
	}
	go s.serve(c)
}

func (s *adminServer) tryAdmit(c *adminConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.maxOpen {
		s.evictLocked(c.acceptedAt)
		c.acceptedAt = time.Now()
		if s.open >= s.maxOpen {
			return false
		}
	}
	s.open++
	s.waiting = append(s.waiting, c)
	return true
}

// evictLocked closes the oldest connection that has sent nothing for adminEvictionAge before a time; mu is held.
func (s *adminServer) evictLocked(before time.Time) {
	for _, c := range s.waiting {
		if before.Sub(c.acceptedAt) > adminEvictionAge && !c.hasInput() {
			s.removeWaitingLocked(c)
			c.Close()
			s.node.counters.add(adminCallsDropped)
			return
		}
	}
}

// removeWaitingLocked removes a connection from those that wait, and frees its place; it reports whether it was among them. mu
// is held.
func (s *adminServer) removeWaitingLocked(c *adminConn) bool {
	for i, candidate := range s.waiting {
		if candidate == c {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.open--
			return true
		}
	}
	return false
}

// markCallRead notes that a connection's call has been read, so that it is no longer evicted; false: it was evicted.
func (s *adminServer) markCallRead(c *adminConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removeWaitingLocked(c) {
		return false
	}
	s.open++
	return true
}

func (s *adminServer) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// serve reads one call, answers it and closes the connection.
func (s *adminServer) serve(c *adminConn) {
	defer c.Close()
	defer s.node.recoverPanic("admin API", func() {})
	c.SetDeadline(c.acceptedAt.Add(adminReadTimeout))
	call, status, err := readAdminCall(c)
	if !s.markCallRead(c) {
		return
	}
	defer s.release()
	if status == 0 {
		s.node.counters.add(adminCallsDropped)
		return
	}
	response := adminResponse{status: status}
	if err != nil {
		response.text = err.Error()
	} else {
		response = s.handle(call)
	}
	s.countCall(response)
	c.SetDeadline(time.Now().Add(adminWriteTimeout))
	if _, err := c.Write(response.encode()); err == nil {
		c.closeWriteAndDrain()
	}
}

func (s *adminServer) countCall(response adminResponse) {
	s.node.counters.add(adminCallsAnswered)
	if response.status >= http.StatusBadRequest && response.status != http.StatusServiceUnavailable {
		s.node.counters.add(adminCallsBad)
	}
}

// readAdminCall reads the head of one call. The status is that of the answer if there is an error; 0: the connection
// has ended, or sent nothing at all.
func readAdminCall(c *adminConn) (request *http.Request, status int, err error) {
	for searched := 0; !headEnds(c.buffered(), searched); {
		searched = max(0, len(c.buffered())-len(headEnd)+1)
		if len(c.buffered()) > maxAdminHeadBytes {
			return nil, http.StatusRequestHeaderFieldsTooLarge, errAdminHeadTooLong
		}
		if err := c.fill(); err != nil {
			return nil, incompleteStatus(c, err), errAdminHeadIncomplete
		}
	}
	if end := bytes.Index(c.buffered(), []byte(headEnd)); end > maxAdminHeadBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge, errAdminHeadTooLong
	}
	request, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(c.buffered())))
	if err != nil {
		return nil, http.StatusBadRequest, errAdminMalformed
	}
	return request, http.StatusOK, nil
}

// incompleteStatus is the answer to a call whose connection failed before the head was complete; 0: none.
func incompleteStatus(c *adminConn, err error) int {
	if len(c.buffered()) == 0 {
		return 0
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
