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

// The admin API's connections: a separate listener, one call per connection, and limits on the number of connections
// and the size and duration of a call. The calls themselves are in admincommands.go. Nothing here waits for the event
// loop, a client or an upstream.

const (
	adminReadTimeout   = 3 * time.Second       // from accept to the end of the call's head
	adminEvictionAge   = 10 * time.Millisecond // older connections that have sent nothing may be evicted
	adminWriteTimeout  = time.Second
	maxAdminHeadBytes  = 8 << 10
	maxAdminConns      = 64
	adminConnDivisor   = 12 // the admin API gets 1/12 of the descriptors, at most maxAdminConns
	headEnd            = "\r\n\r\n"
	admitRetryInterval = adminEvictionAge / 4
)

var (
	errAdminHeadTooLong    = errors.New("head longer than 8 KiB")
	errAdminHeadIncomplete = errors.New("incomplete call: expected a head that ends with an empty line")
	errAdminMalformed      = errors.New("malformed call: expected an HTTP/1 request")
)

// adminServer accepts and serves the admin API's connections.
type adminServer struct {
	node     *Node
	listener net.Listener // nil if the admin API is disabled

	mu      sync.Mutex
	maxOpen int
	open    int
	waiting []*adminConn // connections whose call has not been read yet, oldest first
}

type adminConn struct {
	*bufferedConn
	acceptedAt time.Time
}

// newAdminServer opens the listener if Config.AdminListen is set.
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

// setLimit sets the maximum number of open connections.
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
		s.admit(&adminConn{bufferedConn: newBufferedConn(accepted, nil), acceptedAt: time.Now()})
	}
}

// admit waits until the connection fits in the limit and then serves it. The limit keeps thousands of silent
// connections from using up the descriptors.
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

// evictLocked closes the oldest waiting connection that was accepted more than adminEvictionAge before the given time
// and has no unread input. The caller holds mu.
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

// removeWaitingLocked removes a connection from the waiting ones, releases its place in the limit, and reports whether
// it was waiting. The caller holds mu.
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

// markCallRead records that a connection's call has been read and protects it from eviction. It reports false if the
// connection has already been evicted.
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

// readAdminCall reads the head of one call. With an error it returns the status to respond with, or 0 if the client
// sent nothing and gets no response.
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

// incompleteStatus returns the response status for a call whose read failed before the head was complete, or 0 if the
// client sent nothing.
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
