package node

// This file owns the server side: the connections to servers and the hand-offs on them. Each hand-off is one write
// of one task on one connection and ends in exactly one result. It must never send a task a second time by itself,
// nor use a connection again on which anything but a whole answer has come.

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/policy"
)

// place is a server and where it is. An address alone would not do: a server may stand where another stood, and what
// becomes of the old one must not touch connections to the new.
type place struct {
	server  policy.ServerID
	address string
}

// handOff is one sending of a task to one server.
type handOff struct {
	exchange *exchange
	number   int
	place    place
	sentAt   int64
	limit    int64

	mu      sync.Mutex
	stopped bool   // recalled, or ended
	onStop  func() // wakes whatever it waits in
}

// stop ends the wait for the hand-off's answer.
func (h *handOff) stop() {
	h.mu.Lock()
	wake := h.onStop
	h.stopped, h.onStop = true, nil
	h.mu.Unlock()
	if wake != nil {
		wake()
	}
}

// waits sets what stop is to wake, nil for nothing, and tells whether it has not been stopped yet.
func (h *handOff) waits(wake func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.onStop = wake; h.stopped {
		h.onStop = nil
	}
	return !h.stopped
}

func (h *handOff) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

type result struct {
	outcome policy.Outcome
	report  policy.Report
	answer  answer
	at      int64
	fresh   bool        // the connection was opened for it
	flowed  int64       // the part of the time in which the task's body was still coming
	on      *serverConn // where a long answer is still coming
	closes  bool        // the server closes it afterwards
}

// stage is how far a hand-off had come.
type stage int

const (
	notConnected stage = iota
	partlyWritten
	writtenWhole
	answering
)

func (s stage) String() string {
	return [...]string{"not connected", "partly written", "written whole", "answering"}[s]
}

// handOffError is why a hand-off has no answer, and how far it had come.
type handOffError struct {
	stage   stage
	stopped bool
	err     error
}

func (e *handOffError) Error() string { return fmt.Sprintf("%v: %v", e.stage, e.err) }
func (e *handOffError) Unwrap() error { return e.err }

var (
	errNoRoom   = errors.New("no descriptor left for a connection")
	errRecalled = errors.New("recalled before it was written")
	errNotHeld  = errors.New("the task's body is not held any more")
	errTakenOut = errors.New("the server was taken out")
)

// outcome tells what the error proves: a server begins a task only when its last byte has come.
func (e *handOffError) outcome() policy.Outcome {
	switch {
	case e.stage < writtenWhole && (e.stopped || errors.Is(e.err, errNoRoom) || errors.Is(e.err, errTakenOut) ||
		errors.Is(e.err, errNotHeld)):
		return policy.NeverSent
	case e.stage < writtenWhole:
		return policy.Unreached
	case e.stopped:
		return policy.Recalled
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Reset
}

type serverConn struct {
	*conn
	place place
	idle  time.Time
	stand *list.Element // among all that are idle
}

type servers struct {
	node    *Node
	work    chan *handOff // taken by a carrier that has nothing to do
	resting atomic.Int64  // carriers that wait for work
	mayRest atomic.Int64

	mu    sync.Mutex
	idle  map[place][]*serverConn // the longest idle first
	order list.List               // of all that are idle, the longest first: with thousands of servers a search takes too long
	open  int
	most  int // connections open or being opened

	probing chan struct{} // one for each probe that is out
}

func newServers(n *Node) *servers {
	return &servers{node: n, idle: map[place][]*serverConn{}, work: make(chan *handOff),
		probing: make(chan struct{}, mostProbes)}
}

const (
	restingPart = 4 // carriers that may rest, as a part of the connections to servers
	mostResting = 64
)

// allot sets how many connections there may be, and closes idle ones beyond that.
func (s *servers) allot(most int) {
	s.mayRest.Store(int64(min(mostResting, max(most/restingPart, 1))))
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.most = most; s.open > s.most && s.order.Len() > 0; {
		s.drop(s.order.Front().Value.(*serverConn).place, 1)
	}
}

// begin has a hand-off carried without waiting. A carrier that rests is taken before a new one: a goroutine that is
// made for each hand-off grows its stack anew each time, a sixth of what a task costs the node.
func (s *servers) begin(h *handOff) {
	select {
	case s.work <- h:
	default:
		go s.carrier(h)
	}
}

// carrier carries one hand-off after another, and ends where enough others rest.
func (s *servers) carrier(h *handOff) {
	for {
		s.carry(h)
		if s.resting.Add(1) > s.mayRest.Load() {
			s.resting.Add(-1)
			return
		}
		h = <-s.work
		s.resting.Add(-1)
	}
}

// carry runs a hand-off from its start to its one result.
func (s *servers) carry(h *handOff) {
	r := result{outcome: policy.Unknown, report: reportOf("")}
	func() {
		defer s.node.caught("hand-off", func() {})
		answered, err := s.try(h)
		if r = answered; err != nil {
			r = result{outcome: err.outcome(), report: reportOf("")}
		}
	}()
	r.at = s.node.clock.now()
	flow := r.answer.flow // the answer goes its own way from here
	s.node.loop.enter(func() { s.node.loop.ended(h, r) })
	if flow != nil {
		s.settleFlow(<-flow.done, flow, r.on, r.closes)
	}
}

// settleFlow takes back the connection on which a long answer came, once that is over.
func (s *servers) settleFlow(whole bool, f *flow, c *serverConn, closes bool) {
	f.rest.end()
	c.pace = nil
	if whole && !closes && len(c.pending()) == 0 {
		s.keep(c)
	} else {
		s.close(c)
	}
}

func (s *servers) try(h *handOff) (result, *handOffError) {
	fail := func(at stage, err error) (result, *handOffError) {
		return result{}, &handOffError{at, h.isStopped(), err}
	}
	limit := s.node.clock.at(h.limit)
	c, err := s.connection(h, limit)
	if err != nil {
		return fail(notConnected, err)
	}
	whole := false
	defer func() {
		if !whole {
			s.close(c)
		}
	}()
	if c.SetDeadline(limit); h.exchange.source != nil {
		c.SetDeadline(time.Time{}) // time runs from the last byte
	}
	if !h.waits(func() { c.SetDeadline(time.Unix(1, 0)) }) {
		return fail(notConnected, errRecalled)
	}
	defer h.waits(nil)
	if s.node.orders.isOut(h.place.server) {
		return fail(notConnected, errTakenOut) // ordered since the decisions chose it
	}
	response, m, at, flowed, err := s.ask(c, h)
	if err != nil {
		if at == writtenWhole && len(c.pending()) > 0 {
			at = answering
		}
		r, e := fail(at, err)
		if e.stage == writtenWhole && e.outcome() == policy.Reset && !c.idle.IsZero() {
			// Guards against a machine that was cut off and is back: it resets the connections from before only when
			// they are used, and each would cost a task.
			s.forget(h.place)
		}
		return r, e
	}
	x := h.exchange
	body, all, err := s.firstPart(m)
	if err != nil {
		m.end()
		return fail(answering, err)
	}
	r := result{outcome: outcomeOf(response.StatusCode, response.Header), fresh: c.idle.IsZero(), flowed: flowed,
		report: reportOf(response.Header.Get(headerLoad))}
	passed := r.outcome == policy.Satisfied || badTask(response.StatusCode)
	if passed {
		length := response.Header.Get("Content-Length")
		r.answer = answer{status: response.StatusCode, header: endToEnd(response.Header), body: body}
		if length != "" && !hasBody(x.method) {
			r.answer.header.Set("Content-Length", length)
		}
	}
	running := h.waits(nil) // from here on nobody wakes this hand-off
	if passed && !all && running {
		s.node.counters.add(answersFlowed)
		whole = true // the connection is let go by whoever ends the flow
		r.answer.flow, r.on, r.closes = newFlow(m), c, response.Close || at != writtenWhole
		return r, nil
	}
	m.end()
	if running && all && !response.Close && at == writtenWhole && len(c.pending()) == 0 {
		whole = true
		s.keep(c)
	}
	if passed && !all {
		return fail(answering, errRecalled)
	}
	return r, nil
}

// ask writes a task and reads the head of its answer. It tells how far that came, and how much of the time went by while
// the task's body was still coming from its client.
func (s *servers) ask(c *serverConn, h *handOff) (r *http.Response, m *message, at stage, flowed int64, err error) {
	x, wait, to := h.exchange, h.limit-s.node.clock.now(), &http.Request{Method: h.exchange.method}
	if x.source == nil {
		whole := net.Buffers{x.headFor(wait), x.body}
		if _, err = whole.WriteTo(c.Conn); err != nil {
			return nil, nil, partlyWritten, 0, err
		}
		r, m, err = c.fromServer(to)
		return r, m, writtenWhole, 0, err
	}
	began := time.Now()
	if err = writePaced(c, x.headFor(wait)); err != nil {
		return nil, nil, partlyWritten, 0, err
	}
	if x.source.taken.Swap(true) {
		return nil, nil, partlyWritten, 0, errNotHeld
	}
	up := startUpload(c, x, time.Duration(wait))
	r, m, err = c.fromServer(to)
	switch whole := up.stop(c, x); {
	case whole:
		return r, m, writtenWhole, int64(up.at.Sub(began)), err
	case err != nil:
		return nil, nil, partlyWritten, 0, up.why(x, err)
	case !early(r):
		m.end()
		return nil, nil, partlyWritten, 0, errEarly
	}
	return r, m, partlyWritten, 0, nil
}

// early tells an answer that may come before the task's last byte was written: one that turns the task away.
func early(r *http.Response) bool {
	return outcomeOf(r.StatusCode, r.Header) == policy.Full || badTask(r.StatusCode)
}

// why tells who is to blame for a body that did not go out whole.
func (u *upload) why(x *exchange, reading error) error {
	switch {
	case x.source.failure() != nil && !errors.Is(x.source.failure(), errGivenUp):
		return errNotHeld // the client's side; the server has done nothing
	case u.err != nil && !errors.Is(u.err, errGivenUp) && !errors.Is(u.err, os.ErrDeadlineExceeded):
		return u.err
	}
	return reading
}

// firstPart reads an answer whole if it is short, else its first part. One that does not tell how long it is counts as short
// for a moment: what is spoilt mostly shows at once, and what comes slowly is not to be held back until it is known to be long.
func (s *servers) firstPart(m *message) (body []byte, all bool, err error) {
	if m.length > wholeAnswer {
		body = make([]byte, flowBuffer)
		n, err := m.Read(body)
		return body[:n], false, err
	}
	if m.length >= 0 {
		return m.collect(nil, wholeAnswer)
	}
	for began := time.Now(); len(body) < wholeAnswer; {
		if body, all, err = m.more(body, wholeAnswer); all || err != nil {
			return body, all, err
		}
		if len(body) > 0 && time.Since(began) > heldBack {
			break
		}
	}
	return body, false, nil
}

// connection takes the connection to a server that was used last, as the others may then grow old and be closed,
// or opens one.
func (s *servers) connection(h *handOff, limit time.Time) (*serverConn, error) {
	to := h.place
	for {
		c := s.take(to)
		if c == nil {
			break
		}
		old := c.idle.Before(s.tooOld())
		if !old && c.quiet() {
			return c, nil
		}
		if s.close(c); !old {
			s.node.counters.add(serversFoundClosed)
		}
	}
	if !s.reserve() {
		return nil, errNoRoom
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !h.waits(cancel) {
		cancel()
	}
	dialer := net.Dialer{Timeout: time.Duration(s.node.settings.ConnectWithin), Deadline: limit, KeepAlive: -1}
	dialer.SetMultipathTCP(false)
	raw, err := dialer.DialContext(ctx, "tcp", to.address)
	if err != nil {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err = errNoRoom // not the server's doing
		}
		return nil, err
	}
	s.node.counters.add(serversConnected)
	return &serverConn{conn: newConn(raw), place: to}, nil
}

func (s *servers) take(from place) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[from]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	s.idle[from] = idle[:len(idle)-1]
	s.order.Remove(c.stand)
	return c
}

// reserve makes room for one more connection, if need be in place of the one that has been idle longest.
func (s *servers) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.most {
		oldest := s.order.Front()
		if oldest == nil {
			return false
		}
		s.drop(oldest.Value.(*serverConn).place, 1)
	}
	s.open++
	return true
}

// drop closes the n connections to a server that have been idle longest; the lock is held.
func (s *servers) drop(from place, n int) {
	list := s.idle[from]
	for _, c := range list[:n] {
		c.Close()
		s.order.Remove(c.stand)
		s.open--
		s.node.counters.add(serversClosedIdle)
	}
	if s.idle[from] = append([]*serverConn(nil), list[n:]...); len(list) == n {
		delete(s.idle, from)
	}
}

func (s *servers) keep(c *serverConn) {
	c.SetDeadline(time.Time{})
	c.shrink()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = time.Now()
	s.idle[c.place] = append(s.idle[c.place], c)
	c.stand = s.order.PushBack(c)
}

func (s *servers) close(c *serverConn) {
	c.Close()
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// forget closes what is idle to a server that is no longer wanted, or no longer there.
func (s *servers) forget(old place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(old, len(s.idle[old]))
}

// tooOld is when a connection must have been used last to be used again: well before the server would close it, as a
// task written to one that the server has just closed may have run for all that can be known.
func (s *servers) tooOld() time.Time {
	return time.Now().Add(-time.Duration(s.node.settings.IdleClose) * 3 / 4)
}

// sweep closes connections that are too old, and those that their server has closed, as they hold descriptors.
func (s *servers) sweep() {
	tooOld := s.tooOld()
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, list := range s.idle {
		kept := list[:0]
		for _, c := range list {
			if c.idle.After(tooOld) && c.quiet() {
				kept = append(kept, c)
				continue
			}
			c.Close()
			s.order.Remove(c.stand)
			s.open--
			s.node.counters.add(serversClosedIdle)
		}
		if s.idle[at] = kept; len(kept) == 0 {
			delete(s.idle, at)
		}
	}
}
