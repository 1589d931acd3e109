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
	longestCall   = 3 * time.Second // half a call is ended then
	newCall       = 10 * time.Millisecond
	longestAnswer = time.Second
	maxCallHead   = 8 << 10
	mostCalls     = 64
	callsPart     = 12 // of the descriptors one in so many is set aside for callers, if that is fewer
)

type console struct {
	node     *Node
	listener net.Listener // nil: no console
	most     int

	mu      sync.Mutex
	callers []*caller // who has not made its call yet, the longest silent first
	open    int
}

type caller struct {
	*conn
	since time.Time
}

// newConsole opens the console, if the configuration has one.
func newConsole(n *Node) (*console, error) {
	s := &console{node: n}
	if n.config.Console == "" {
		return s, nil
	}
	var err error
	if s.listener, err = bind(n.config.Console); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return s, nil
}

// allot sets how many callers there may be at once.
func (s *console) allot(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

func (s *console) close() {
	if s.listener != nil {
		s.listener.Close()
	}
}

// run takes callers until the listener is closed.
func (s *console) run() {
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
		s.admit(&caller{conn: newConn(raw), since: time.Now()})
	}
}

// admit takes a caller in, in place of the longest silent one if there is no room. One that has only just come stays for
// a moment, and so does one whose call has come but is not read yet: against a crowd of thousands that say nothing.
func (s *console) admit(c *caller) {
	for !s.enter(c) {
		time.Sleep(newCall / 4)
	}
	go s.serve(c)
}

func (s *console) enter(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.most {
		for _, old := range s.callers {
			if c.since.Sub(old.since) > newCall && !old.has() {
				s.forget(old)
				old.Close()
				s.node.counters.add(callsDropped)
				break
			}
		}
		c.since = time.Now()
		if s.open >= s.most {
			return false
		}
	}
	s.open++
	s.callers = append(s.callers, c)
	return true
}

// forget takes a caller off those that are silent and frees its place; the lock is held.
func (s *console) forget(c *caller) bool {
	for i, one := range s.callers {
		if one == c {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			s.open--
			return true
		}
	}
	return false
}

// called marks that a caller has made its call, so that nobody takes its place; false: somebody has.
func (s *console) called(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.forget(c) {
		return false
	}
	s.open++
	return true
}

func (s *console) serve(c *caller) {
	defer c.Close()
	defer s.node.caught("console", func() {})
	c.SetDeadline(c.since.Add(longestCall))
	r, status, err := s.read(c)
	if !s.called(c) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	var reply callReply
	switch {
	case status == 0:
		s.node.counters.add(callsDropped) // gone, or silent to the end
		return
	case err != nil:
		reply = callReply{status: status, text: err.Error()}
	default:
		reply = s.call(r)
	}
	if s.node.counters.add(callsAnswered); reply.status >= 400 && reply.status != http.StatusServiceUnavailable {
		s.node.counters.add(callsBad)
	}
	c.SetDeadline(time.Now().Add(longestAnswer))
	if _, err := c.Write(reply.bytes()); err == nil {
		c.closeGently()
	}
}

// read reads one call; status 0 stands for a caller that has gone or said nothing at all.
func (s *console) read(c *caller) (*http.Request, int, error) {
	for seen := 0; !headEnds(c.pending(), seen); {
		if seen = max(0, len(c.pending())-3); len(c.pending()) > maxCallHead {
			return nil, http.StatusRequestHeaderFieldsTooLarge, errors.New("head longer than 8 KiB")
		}
		if err := c.fill(); err != nil {
			if len(c.pending()) == 0 {
				return nil, 0, err
			}
			if timeOut := net.Error(nil); errors.As(err, &timeOut) && timeOut.Timeout() {
				return nil, http.StatusRequestTimeout, errors.New("half a call")
			}
			return nil, http.StatusBadRequest, errors.New("half a call")
		}
	}
	if end := bytes.Index(c.pending(), []byte("\r\n\r\n")); max(end, 0) > maxCallHead {
		return nil, http.StatusRequestHeaderFieldsTooLarge, errors.New("head longer than 8 KiB")
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.pending())))
	if err != nil {
		return nil, http.StatusBadRequest, errors.New("a call that cannot be read")
	}
	return r, http.StatusOK, nil
}

// callReply is what a caller gets: one plain line.
type callReply struct {
	status int
	text   string
	allow  string
}

func (a callReply) bytes() []byte {
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

// call does what a call asks for.
func (s *console) call(r *http.Request) callReply {
	method, known := consoleMethods[r.URL.Path]
	switch {
	case !known || r.URL.Path == pathMembers && s.node.members == nil || r.URL.Path == pathState && s.node.state == nil ||
		r.URL.Path == pathRelays && s.node.relayed == nil:
		return callReply{status: http.StatusNotFound, text: "no such call"}
	case r.Method != method:
		return callReply{status: http.StatusMethodNotAllowed, text: "expected " + method, allow: method}
	}
	if r.URL.Path == pathReady {
		if why := s.node.notReady(); why != "" {
			return callReply{status: http.StatusServiceUnavailable, text: why}
		}
		return callReply{status: http.StatusOK, text: "ready"}
	}
	if r.URL.Path == pathMembers {
		text, err := s.node.members.text()
		if err != nil {
			return callReply{status: http.StatusServiceUnavailable, text: err.Error()}
		}
		return callReply{status: http.StatusOK, text: text}
	}
	var change func(*standingOrders) string
	switch r.URL.Path {
	case pathState:
		return callReply{status: http.StatusOK, text: s.node.state.text()}
	case pathRelays:
		return callReply{status: http.StatusOK, text: s.node.relayed.Text()}
	case pathDrain:
		change = func(o *standingOrders) string { o.drained = true; return "drained" }
	case pathUndrain:
		change = func(o *standingOrders) string { o.drained = false; return "serving" }
	default:
		target, err := targetOf(r.URL.RawQuery)
		if err != nil {
			return callReply{status: http.StatusBadRequest, text: err.Error()}
		}
		if !s.node.orders.listed(target) {
			return callReply{status: http.StatusNotFound, text: fmt.Sprintf("target: expected a server that has been listed, got %q", target)}
		}
		now := s.node.clock.now()
		change = func(o *standingOrders) string { return o.putOut(target, now) }
		if r.URL.Path == pathEnable {
			change = func(o *standingOrders) string { return o.putBack(target, now) }
		}
	}
	done, err := s.node.orders.change(change)
	if err != nil {
		s.node.log.Error("order not carried out", zap.String("call", r.URL.Path), zap.Error(err))
		return callReply{status: http.StatusInternalServerError, text: "not carried out, nothing has changed: " + err.Error()}
	}
	s.node.log.Info("order", zap.String("call", r.URL.RequestURI()), zap.String("now", done))
	return callReply{status: http.StatusOK, text: done}
}

// targetOf reads the one target of a call.
func targetOf(query string) (string, error) {
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
