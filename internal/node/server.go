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
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/policy"
)

// place is a server and where it is. An address alone would not do: a server may stand where another stood, and what
// becomes of the old one must not touch connections to the new.
type place struct {
	server  policy.EndpointID
	address string
}

// handOff is one sending of a task to one server.
type handOff struct {
	exchange *exchange
	number   int
	place    place
	sentAt   int64
	limit    int64
	before   int64 // it must be written before this; 0: whenever
	neverRan bool  // proved by its end; of the loop

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

// until sets by when a read or a write has to be over, by set; once the hand-off has been stopped that is now. Guards against
// a stop that comes just before one of those who carry it puts its own time in place of the stop's.
func (h *handOff) until(set func(time.Time) error, end time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		end = time.Unix(1, 0)
	}
	return set(end)
}

type result struct {
	outcome policy.Outcome
	report  policy.LoadReport
	answer  answer
	at      int64
	fresh   bool        // the connection was opened for it
	flowed  int64       // the part of the time in which the task's body was still coming
	on      *serverConn // where a long answer is still coming
	closes  bool        // the server closes it afterwards
	left    bool        // it was not written, as the client has gone
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

// ownReason is why this node itself does not send; it says nothing of the server.
type ownReason string

func (r ownReason) Error() string { return string(r) }

const (
	errNoRoom   ownReason = "no descriptor left for a connection"
	errRecalled ownReason = "recalled before it was written"
	errNotHeld  ownReason = "the task's body is not held any more"
	errTakenOut ownReason = "the server is to have nothing new"
	errAnswered ownReason = "the task has its answer"
	errLeft     ownReason = "the client has gone"
	errTooLate  ownReason = "the servers may have forgotten the hand-off before"
)

// outcome tells what the error proves: a server begins a task only when its last byte has come.
func (e *handOffError) outcome() policy.Outcome {
	var own ownReason
	switch {
	case e.stage < writtenWhole && (e.stopped || errors.As(e.err, &own)):
		return policy.OutcomeNotSent
	case e.stage < writtenWhole:
		return policy.OutcomeConnectFailed
	case e.stopped:
		return policy.OutcomeCanceled
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		return policy.OutcomeTimedOut
	}
	return policy.OutcomeReset
}

type serverConn struct {
	*conn
	place  place
	idle   time.Time
	stand  *list.Element // among all that are idle
	turned bool          // its last answer turned a task away
}

type servers struct {
	node    *Node
	dial    func(ctx context.Context, address string, limit time.Time) (net.Conn, error)
	work    chan *handOff // taken by a carrier that has nothing to do
	resting atomic.Int64  // carriers that wait for work
	mayRest atomic.Int64

	mu    sync.Mutex
	stand map[policy.EndpointID]string // where those are that may have something new
	idle  map[place][]*serverConn      // the longest idle first
	order list.List                    // of all that are idle, the longest first: with thousands of servers a search takes too long
	open  int
	most  int // connections open or being opened

	rests   time.Duration // after an answer that may come again, before a connection carries the next task
	strayed atomic.Int64  // when more than belonged to a task's answer came last

	probing chan struct{} // one for each probe that is out
}

func newServers(n *Node) *servers {
	s := &servers{node: n, stand: map[policy.EndpointID]string{}, idle: map[place][]*serverConn{}, work: make(chan *handOff),
		rests: strayWithin, probing: make(chan struct{}, mostProbes)}
	s.dial = s.connect
	return s
}

// connect opens a connection.
func (s *servers) connect(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(s.node.settings.ConnectTimeout), Deadline: limit, KeepAlive: -1}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp", address)
}

const (
	// An answer may come a second time some milliseconds later, and nothing on it tells whose it is: the next task on that
	// connection would be answered with it, or be sent again on its word that it never ran. Up to 5 ms were seen.
	strayWithin = 8 * time.Millisecond
	strayMemory = time.Minute // for so long all rest once more than an answer has come
	restingPart = 4           // carriers that may rest, as a part of the connections to servers
	mostResting = 64
)

// allot sets how many connections there may be, and closes idle ones beyond that.
func (s *servers) allot(most int) {
	s.mayRest.Store(int64(min(mostResting, max(most/restingPart, 1))))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
	s.trim()
}

// trim closes what is idle beyond the places of attempts, and gives back what they don't need of the clients'; the lock is held.
func (s *servers) trim() {
	for s.open > s.most && s.order.Len() > 0 {
		s.drop(s.order.Front().Value.(*serverConn).place, 1)
	}
	lent := &s.node.clients.lent
	lent.Add(min(0, int64(max(0, s.open-s.most))-lent.Load()))
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
	r := result{outcome: policy.OutcomeUnknown, report: reportOf("")}
	func() {
		defer s.node.caught("hand-off", func() {})
		answered, err := s.try(h)
		if r = answered; err != nil {
			r = result{outcome: err.outcome(), report: reportOf(""), left: errors.Is(err.err, errLeft)}
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
	if err := s.hindrance(h); err != nil {
		if whole = h.waits(nil); whole { // nothing was written on it, and no stop is about to set its time
			s.keep(c)
		}
		return fail(notConnected, err)
	}
	response, m, at, flowed, err := s.ask(c, h)
	if err != nil {
		if at == writtenWhole && len(c.pending()) > 0 {
			at = answering
		}
		r, e := fail(at, err)
		if e.stage == writtenWhole && e.outcome() == policy.OutcomeReset && !c.idle.IsZero() {
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
	passed := r.outcome == policy.OutcomeSucceeded || badTask(response.StatusCode)
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
	s.strays(all && len(c.pending()) > 0)
	if c.turned = r.outcome == policy.OutcomeRejected; running && all && !response.Close && at == writtenWhole && len(c.pending()) == 0 {
		whole = true
		s.keep(c)
	}
	if passed && !all {
		return fail(answering, errRecalled)
	}
	return r, nil
}

// hindrance tells why a hand-off must not be written, by what has become of its task and its server since the decisions chose it:
// it may have stood in a queue or waited for its connection. It is asked last of all before the first byte, so that whatever
// comes meanwhile is known here, and what comes later crosses a task that is on its way.
func (s *servers) hindrance(h *handOff) error {
	switch x := h.exchange; {
	case x.settled.Load():
		return errAnswered
	case x.left():
		return errLeft
	case s.node.orders.isOut(h.place.server) || !s.stands(h.place):
		return errTakenOut
	case h.before > 0 && s.node.clock.now() >= h.before:
		return errTooLate
	}
	return nil
}

// stands tells whether a server may have something new where it is.
func (s *servers) stands(at place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, stands := s.stand[at.server]
	return stands && address == at.address
}

// listed has a server stand at an address, or nowhere.
func (s *servers) listed(server policy.EndpointID, address string, stands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stand[server] = address; !stands {
		delete(s.stand, server)
	}
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
	if err = writePaced(c, h, x.headFor(wait)); err != nil {
		return nil, nil, partlyWritten, 0, err
	}
	if x.source.taken.Swap(true) {
		return nil, nil, partlyWritten, 0, errNotHeld
	}
	up := startUpload(c, h, time.Duration(wait))
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
	return outcomeOf(r.StatusCode, r.Header) == policy.OutcomeRejected || badTask(r.StatusCode)
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
		s.strays(c.has())
		if s.close(c); !old {
			s.node.counters.add(serversFoundClosed)
		}
	}
	for by := time.Now().Add(lentWithin); !s.reserve(); {
		switch lent, soon := s.node.clients.lend(); {
		case lent:
		case !soon || h.exchange == nil || h.isStopped() || time.Now().After(by):
			return nil, errNoRoom
		default:
			time.Sleep(2 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !h.waits(cancel) {
		cancel()
	}
	raw, err := s.dial(ctx, to.address, limit)
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

// take takes the connection used last, unless its answer may come again and it has not rested since: then one that has, or none.
// To open another costs more than a rest does, so all rest only once something has come that nobody asked for.
func (s *servers) take(from place) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle, now := s.idle[from], time.Now()
	wary := now.UnixNano()-s.strayed.Load() < int64(strayMemory)
	i := len(idle) - 1
	for ; i >= 0 && (wary || idle[i].turned) && now.Sub(idle[i].idle) < s.rests; i-- {
	}
	if i < 0 {
		return nil
	}
	c := idle[i]
	s.idle[from] = slices.Delete(idle, i, i+1)
	s.order.Remove(c.stand)
	return c
}

// strays notes that more than a task's answer has come on a connection.
func (s *servers) strays(more bool) {
	if more {
		s.strayed.Store(time.Now().UnixNano())
	}
}

// reserve makes room for one more connection, if need be in place of the one that has been idle longest.
func (s *servers) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.most+int(s.node.clients.lent.Load()) {
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

// keep puts a connection by, unless its server is not wanted any more: it would come back behind those that were closed for
// that, and hold its place for nobody.
func (s *servers) keep(c *serverConn) {
	c.SetDeadline(time.Time{})
	c.shrink()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stand[c.place.server] != c.place.address { // asked under the lock: forget comes behind what changes it
		c.Close()
		s.open--
		return
	}
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
	return time.Now().Add(-time.Duration(s.node.settings.IdleTimeout) * 3 / 4)
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
			s.strays(c.has())
			c.Close()
			s.order.Remove(c.stand)
			s.open--
			s.node.counters.add(serversClosedIdle)
		}
		if s.idle[at] = kept; len(kept) == 0 {
			delete(s.idle, at)
		}
	}
	s.trim()
}
