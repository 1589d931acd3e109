package node

// This file owns the console, where operators call: its own listener, the reading of one call on each connection, and
// the bounds on both. It must never wait for the loop, a client or a server, and changes nothing but orders.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	adminReadTimeout  = 3 * time.Second // half a call is ended then
	adminEvictAfter   = 10 * time.Millisecond
	adminWriteTimeout = time.Second
	maxAdminHead      = 8 << 10
	maxAdminConns     = 64
	adminConnShare    = 12 // of the descriptors one in so many is set aside for callers, if that is fewer
)

type adminServer struct {
	node     *Node
	listener net.Listener // nil: no console
	maxOpen  int

	mu      sync.Mutex
	callers []*adminConn // who has not made its call yet, the longest silent first
	open    int
}

type adminConn struct {
	*bufferedConn
	since time.Time
}

// newAdminServer opens the console, if the configuration has one.
func newAdminServer(n *Node) (*adminServer, error) {
	s := &adminServer{node: n}
	if n.config.Console == "" {
		return s, nil
	}
	var err error
	if s.listener, err = bind(n.config.Console); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return s, nil
}

// setLimit sets how many callers there may be at once.
func (s *adminServer) setLimit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen = most
}

func (s *adminServer) close() {
	if s.listener != nil {
		s.listener.Close()
	}
}

// run takes callers until the listener is closed.
func (s *adminServer) run() {
	if s.listener == nil {
		return
	}
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.admit(&adminConn{bufferedConn: newBufferedConn(raw), since: time.Now()})
	}
}

// admit takes a caller in, in place of the longest silent one if there is no room. One that has only just come stays for
// a moment, and so does one whose call has come but is not read yet: against a crowd of thousands that say nothing.
func (s *adminServer) admit(c *adminConn) {
	for !s.tryAdmit(c) {
		time.Sleep(adminEvictAfter / 4)
	}
	go s.serve(c)
}

func (s *adminServer) tryAdmit(c *adminConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.maxOpen {
		for _, old := range s.callers {
			if c.since.Sub(old.since) > adminEvictAfter && !old.hasInput() {
				s.forgetLocked(old)
				old.Close()
				s.node.counters.add(adminCallsDropped)
				break
			}
		}
		c.since = time.Now()
		if s.open >= s.maxOpen {
			return false
		}
	}
	s.open++
	s.callers = append(s.callers, c)
	return true
}

// forgetLocked takes a caller off those that are silent and frees its place; the lock is held.
func (s *adminServer) forgetLocked(c *adminConn) bool {
	for i, one := range s.callers {
		if one == c {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			s.open--
			return true
		}
	}
	return false
}

// markCalled marks that a caller has made its call, so that nobody takes its place; false: somebody has.
func (s *adminServer) markCalled(c *adminConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.forgetLocked(c) {
		return false
	}
	s.open++
	return true
}

func (s *adminServer) serve(c *adminConn) {
	defer c.Close()
	defer s.node.recoverPanic("console", func() {})
	c.SetDeadline(c.since.Add(adminReadTimeout))
	r, status, err := s.read(c)
	if !s.markCalled(c) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	var reply adminResponse
	switch {
	case status == 0:
		s.node.counters.add(adminCallsDropped) // gone, or silent to the end
		return
	case err != nil:
		reply = adminResponse{status: status, text: err.Error()}
	default:
		reply = s.handle(r)
	}
	if s.node.counters.add(adminCallsAnswered); reply.status >= 400 && reply.status != http.StatusServiceUnavailable {
		s.node.counters.add(adminCallsBad)
	}
	c.SetDeadline(time.Now().Add(adminWriteTimeout))
	if _, err := c.Write(reply.encode()); err == nil {
		c.closeGently()
	}
}

// read reads one call; status 0 stands for a caller that has gone or said nothing at all.
func (s *adminServer) read(c *adminConn) (*http.Request, int, error) {
	for seen := 0; !headEnds(c.buffered(), seen); {
		if seen = max(0, len(c.buffered())-3); len(c.buffered()) > maxAdminHead {
			return nil, http.StatusRequestHeaderFieldsTooLarge, errors.New("head longer than 8 KiB")
		}
		if err := c.fill(); err != nil {
			if len(c.buffered()) == 0 {
				return nil, 0, err
			}
			if timeOut := net.Error(nil); errors.As(err, &timeOut) && timeOut.Timeout() {
				return nil, http.StatusRequestTimeout, errors.New("half a call")
			}
			return nil, http.StatusBadRequest, errors.New("half a call")
		}
	}
	if end := bytes.Index(c.buffered(), []byte("\r\n\r\n")); max(end, 0) > maxAdminHead {
		return nil, http.StatusRequestHeaderFieldsTooLarge, errors.New("head longer than 8 KiB")
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.buffered())))
	if err != nil {
		return nil, http.StatusBadRequest, errors.New("a call that cannot be read")
	}
	return r, http.StatusOK, nil
}

// adminResponse is what a caller gets: one plain line.
type adminResponse struct {
	status int
	text   string
	allow  string
}

func (a adminResponse) encode() []byte {
	var b strings.Builder
	text := strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, a.text) + "\n"
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n",
		a.status, http.StatusText(a.status), len(text))
	if a.allow != "" {
		b.WriteString("Allow: " + a.allow + "\r\n")
	}
	b.WriteString("\r\n" + text)
	return []byte(b.String())
}

// handle does what a call asks for.
func (s *adminServer) handle(r *http.Request) adminResponse {
	method, known := adminMethods[r.URL.Path]
	switch {
	case !known || r.URL.Path == pathMembers && s.node.members == nil || r.URL.Path == pathState && s.node.persistence == nil ||
		r.URL.Path == pathRelays && s.node.relays == nil:
		return adminResponse{status: http.StatusNotFound, text: "no such call"}
	case r.Method != method:
		return adminResponse{status: http.StatusMethodNotAllowed, text: "expected " + method, allow: method}
	}
	if r.URL.Path == pathReady {
		if why := s.node.notReady(); why != "" {
			return adminResponse{status: http.StatusServiceUnavailable, text: why}
		}
		return adminResponse{status: http.StatusOK, text: "ready"}
	}
	if r.URL.Path == pathMembers {
		text, err := s.node.members.viewJSON()
		if err != nil {
			return adminResponse{status: http.StatusServiceUnavailable, text: err.Error()}
		}
		return adminResponse{status: http.StatusOK, text: text}
	}
	var change func(*overrideSet) string
	switch r.URL.Path {
	case pathState:
		return adminResponse{status: http.StatusOK, text: s.node.persistence.statusJSON()}
	case pathRelays:
		return adminResponse{status: http.StatusOK, text: s.node.relays.StatusJSON()}
	case pathDrain:
		change = func(o *overrideSet) string { o.drained = true; return "drained" }
	case pathUndrain:
		change = func(o *overrideSet) string { o.drained = false; return "serving" }
	default:
		target, err := parseTarget(r.URL.RawQuery)
		if err != nil {
			return adminResponse{status: http.StatusBadRequest, text: err.Error()}
		}
		if !s.node.overrides.isKnown(target) {
			return adminResponse{status: http.StatusNotFound, text: fmt.Sprintf("target: expected a server that has been listed, got %q", target)}
		}
		now := s.node.clock.now()
		change = func(o *overrideSet) string { return o.disable(target, now) }
		if r.URL.Path == pathEnable {
			change = func(o *overrideSet) string { return o.enable(target, now) }
		}
	}
	done, err := s.node.overrides.change(change)
	if err != nil {
		s.node.log.Error("order not carried out", zap.String("call", r.URL.Path), zap.Error(err))
		return adminResponse{status: http.StatusInternalServerError, text: "not carried out, nothing has changed: " + err.Error()}
	}
	s.node.log.Info("order", zap.String("call", r.URL.RequestURI()), zap.String("now", done))
	return adminResponse{status: http.StatusOK, text: done}
}

// parseTarget reads the one target of a call.
func parseTarget(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", errors.New("target: a query that cannot be read")
	}
	switch list := values[queryTarget]; {
	case len(list) == 0:
		return "", errors.New("target: expected a server's id, got none")
	case len(list) > 1:
		return "", fmt.Errorf("target: expected one server's id, got %d", len(list))
	case list[0] == "":
		return "", errors.New("target: expected a server's id, got an empty one")
	default:
		return list[0], nil
	}
}
