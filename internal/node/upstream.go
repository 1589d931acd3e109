package node

// This file owns the server side: the connections to servers and the attempts on them. Each attempt is one write
// of one request on one connection and ends in exactly one result. It must never send a request a second time by itself,
// nor use a connection again on which anything but a whole answer has come.

import (
	"container/list"
	"context"
	"errors"
	"fawnglade/policy"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// upstreamTarget is a server and where it is. An address alone would not do: a server may stand where another stood, and what
// becomes of the old one must not touch connections to the new.
type upstreamTarget struct {
	endpoint policy.EndpointID
	address  string
}

// attempt is one sending of a request to one server.
type attempt struct {
	request       *pendingRequest
	number        int
	target        upstreamTarget
	sentAt        policy.Time
	deadline      policy.Time
	dedupDeadline policy.Time // it must be written before this; 0: whenever
	neverRan      bool        // proved by its end; of the loop

	mu       sync.Mutex
	canceled bool   // recalled, or ended
	onCancel func() // wakes whatever it waits in
}

// cancel ends the wait for the attempt's answer.
func (h *attempt) cancel() {
	h.mu.Lock()
	wake := h.onCancel
	h.canceled, h.onCancel = true, nil
	h.mu.Unlock()
	if wake != nil {
		wake()
	}
}

// setOnCancel sets what stop is to wake, nil for nothing, and tells whether it has not been stopped yet.
func (h *attempt) setOnCancel(wake func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.onCancel = wake; h.canceled {
		h.onCancel = nil
	}
	return !h.canceled
}

func (h *attempt) isCanceled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.canceled
}

// setDeadline sets by when a read or a write has to be over, by set; once the attempt has been stopped that is now. Guards against
// a stop that comes just before one of those who carry it puts its own time in place of the stop's.
func (h *attempt) setDeadline(set func(time.Time) error, end time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.canceled {
		end = time.Unix(1, 0)
	}
	return set(end)
}

type attemptResult struct {
	outcome       policy.Outcome
	report        policy.LoadReport
	response      response
	endedAt       policy.Time
	newConnection bool          // the connection was opened for it
	uploadTime    time.Duration // the part of the time in which the request's body was still coming
	conn          *upstreamConn // where a long answer is still coming
	closeAfter    bool          // the server closes it afterwards
	clientGone    bool          // it was not written, as the client has gone
}

// attemptStage is how far an attempt had come.
type attemptStage int

const (
	notConnected attemptStage = iota
	partlyWritten
	fullyWritten
	readingResponse
)

func (s attemptStage) String() string {
	return [...]string{"not connected", "partly written", "written whole", "answering"}[s]
}

// attemptError is why an attempt has no answer, and how far it had come.
type attemptError struct {
	stage    attemptStage
	canceled bool
	err      error
}

func (e *attemptError) Error() string { return fmt.Sprintf("%v: %v", e.stage, e.err) }
func (e *attemptError) Unwrap() error { return e.err }

// localError is why this node itself does not send; it says nothing of the server.
type localError string

func (r localError) Error() string { return string(r) }

const (
	errNoConnectionSlot localError = "no descriptor left for a connection"
	errCanceled         localError = "recalled before it was written"
	errBodyLost         localError = "the task's body is not held any more"
	errEndpointDisabled localError = "the server is to have nothing new"
	errAnswered         localError = "the task has its answer"
	errClientGone       localError = "the client has gone"
	errDedupWindowOver  localError = "the servers may have forgotten the hand-off before"
)

// outcome tells what the error proves: a server begins a request only when its last byte has come.
func (e *attemptError) outcome() policy.Outcome {
	var own localError
	switch {
	case e.stage < fullyWritten && (e.canceled || errors.As(e.err, &own)):
		return policy.OutcomeNotSent
	case e.stage < fullyWritten:
		return policy.OutcomeConnectFailed
	case e.canceled:
		return policy.OutcomeCanceled
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		return policy.OutcomeTimedOut
	}
	return policy.OutcomeReset
}

type upstreamConn struct {
	*bufferedConn
	target       upstreamTarget
	idleSince    time.Time
	idleElement  *list.Element // among all that are idle
	lastRejected bool          // its last answer turned a request away
}

type upstreams struct {
	node           *Node
	dial           func(ctx context.Context, address string, limit time.Time) (net.Conn, error)
	work           chan *attempt // taken by a carrier that has nothing to do
	idleWorkers    atomic.Int64  // carriers that wait for work
	maxIdleWorkers atomic.Int64

	mu        sync.Mutex
	eligible  map[policy.EndpointID]string       // where those are that may have something new
	idleConns map[upstreamTarget][]*upstreamConn // the longest idle first
	idleOrder list.List                          // of all that are idle, the longest first: with thousands of servers a search takes too long
	open      int
	maxOpen   int // connections open or being opened

	strayCooldown time.Duration // after an answer that may come again, before a connection carries the next request
	lastStrayAt   atomic.Int64  // when more than belonged to a request's answer came last

	healthChecks chan struct{} // one for each probe that is out
}

func newUpstreams(n *Node) *upstreams {
	s := &upstreams{
		node: n, eligible: map[policy.EndpointID]string{}, idleConns: map[upstreamTarget][]*upstreamConn{}, work: make(chan *attempt),
		strayCooldown: strayWindow, healthChecks: make(chan struct{}, maxHealthChecks),
	}
	s.dial = s.connect
	return s
}

// connect opens a connection.
func (s *upstreams) connect(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Duration(s.node.settings.ConnectTimeout), Deadline: limit, KeepAlive: -1}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp", address)
}

const (
	// An answer may come a second time some milliseconds later, and nothing on it tells whose it is: the next request on that
	// connection would be answered with it, or be sent again on its word that it never ran. Up to 5 ms were seen.
	strayWindow       = 8 * time.Millisecond
	strayMemory       = time.Minute // for so long all rest once more than an answer has come
	idleWorkerShare   = 4           // carriers that may rest, as a part of the connections to servers
	maxIdleWorkersCap = 64
)

// setLimit sets how many connections there may be, and closes idle ones beyond that.
func (s *upstreams) setLimit(most int) {
	s.maxIdleWorkers.Store(int64(min(maxIdleWorkersCap, max(most/idleWorkerShare, 1))))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen = most
	s.trimIdleLocked()
}

// trimIdleLocked closes what is idle beyond the places of attempts, and gives back what they don't need of the clients'; the lock is held.
func (s *upstreams) trimIdleLocked() {
	for s.open > s.maxOpen && s.idleOrder.Len() > 0 {
		s.closeOldestLocked(s.idleOrder.Front().Value.(*upstreamConn).target, 1)
	}
	lent := &s.node.frontend.lentSlots
	lent.Add(min(0, int64(max(0, s.open-s.maxOpen))-lent.Load()))
}

// start has an attempt carried without waiting. A carrier that rests is taken before a new one: a goroutine that is
// made for each attempt grows its stack anew each time, a sixth of what a request costs the node.
func (s *upstreams) start(h *attempt) {
	select {
	case s.work <- h:
	default:
		go s.worker(h)
	}
}

// worker carries one attempt after another, and ends where enough others rest.
func (s *upstreams) worker(h *attempt) {
	for {
		s.runAttempt(h)
		if s.idleWorkers.Add(1) > s.maxIdleWorkers.Load() {
			s.idleWorkers.Add(-1)
			return
		}
		h = <-s.work
		s.idleWorkers.Add(-1)
	}
}

// runAttempt runs an attempt from its start to its one result.
func (s *upstreams) runAttempt(h *attempt) {
	r := attemptResult{outcome: policy.OutcomeUnknown, report: parseLoadReport("")}
	func() {
		defer s.node.recoverPanic("hand-off", func() {})
		answered, err := s.roundTrip(h)
		if r = answered; err != nil {
			r = attemptResult{outcome: err.outcome(), report: parseLoadReport(""), clientGone: errors.Is(err.err, errClientGone)}
		}
	}()
	r.endedAt = s.node.clock.now()
	flow := r.response.stream // the answer goes its own way from here
	s.node.loop.post(func() { s.node.loop.attemptEnded(h, r) })
	if flow != nil {
		s.finishStream(<-flow.done, flow, r.conn, r.closeAfter)
	}
}

// finishStream takes back the connection on which a long answer came, once that is over.
func (s *upstreams) finishStream(whole bool, f *responseStream, c *upstreamConn, closes bool) {
	f.message.end()
	c.pacer = nil
	if whole && !closes && len(c.buffered()) == 0 {
		s.putIdle(c)
	} else {
		s.closeConn(c)
	}
}

func (s *upstreams) roundTrip(h *attempt) (attemptResult, *attemptError) {
	fail := func(at attemptStage, err error) (attemptResult, *attemptError) {
		return attemptResult{}, &attemptError{at, h.isCanceled(), err}
	}
	limit := s.node.clock.at(h.deadline)
	c, err := s.acquire(h, limit)
	if err != nil {
		return fail(notConnected, err)
	}
	whole := false
	defer func() {
		if !whole {
			s.closeConn(c)
		}
	}()
	if c.SetDeadline(limit); h.request.source != nil {
		c.SetDeadline(time.Time{}) // time runs from the last byte
	}
	if !h.setOnCancel(func() { c.SetDeadline(time.Unix(1, 0)) }) {
		return fail(notConnected, errCanceled)
	}
	defer h.setOnCancel(nil)
	if err := s.whyNotSend(h); err != nil {
		if whole = h.setOnCancel(nil); whole { // nothing was written on it, and no stop is about to set its time
			s.putIdle(c)
		}
		return fail(notConnected, err)
	}
	reply, m, at, flowed, err := s.writeAndReadHead(c, h)
	if err != nil {
		if at == fullyWritten && len(c.buffered()) > 0 {
			at = readingResponse
		}
		r, e := fail(at, err)
		if e.stage == fullyWritten && e.outcome() == policy.OutcomeReset && !c.idleSince.IsZero() {
			// Guards against a machine that was cut off and is back: it resets the connections from before only when
			// they are used, and each would cost a request.
			s.closeIdle(h.target)
		}
		return r, e
	}
	x := h.request
	body, all, err := s.readFirstPart(m)
	if err != nil {
		m.end()
		return fail(readingResponse, err)
	}
	r := attemptResult{
		outcome: outcomeOf(reply.StatusCode, reply.Header), newConnection: c.idleSince.IsZero(), uploadTime: flowed,
		report: parseLoadReport(reply.Header.Get(headerLoadReport)),
	}
	passed := r.outcome == policy.OutcomeSucceeded || isRequestFault(reply.StatusCode)
	if passed {
		length := reply.Header.Get("Content-Length")
		r.response = response{status: reply.StatusCode, header: endToEnd(reply.Header), body: body}
		if length != "" && !allowsBody(x.method) {
			r.response.header.Set("Content-Length", length)
		}
	}
	running := h.setOnCancel(nil) // from here on nobody wakes this attempt
	if passed && !all && running {
		s.node.counters.add(responsesStreamed)
		whole = true // the connection is let go by whoever ends the flow
		r.response.stream, r.conn, r.closeAfter = newResponseStream(m), c, reply.Close || at != fullyWritten
		return r, nil
	}
	m.end()
	s.noteStray(all && len(c.buffered()) > 0)
	if c.lastRejected = r.outcome == policy.OutcomeRejected; running && all && !reply.Close && at == fullyWritten && len(c.buffered()) == 0 {
		whole = true
		s.putIdle(c)
	}
	if passed && !all {
		return fail(readingResponse, errCanceled)
	}
	return r, nil
}

// whyNotSend tells why an attempt must not be written, by what has become of its request and its server since the decisions chose it:
// it may have stood in a queue or waited for its connection. It is asked last of all before the first byte, so that whatever
// comes meanwhile is known here, and what comes later crosses a request that is on its way.
func (s *upstreams) whyNotSend(h *attempt) error {
	switch x := h.request; {
	case x.answered.Load():
		return errAnswered
	case x.clientGone():
		return errClientGone
	case s.node.overrides.isDisabled(h.target.endpoint) || !s.isEligible(h.target):
		return errEndpointDisabled
	case h.dedupDeadline > 0 && s.node.clock.now() >= h.dedupDeadline:
		return errDedupWindowOver
	}
	return nil
}

// isEligible tells whether a server may have something new where it is.
func (s *upstreams) isEligible(at upstreamTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, stands := s.eligible[at.endpoint]
	return stands && address == at.address
}

// setAddress has a server stand at an address, or nowhere.
func (s *upstreams) setAddress(server policy.EndpointID, address string, stands bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eligible[server] = address; !stands {
		delete(s.eligible, server)
	}
}

// writeAndReadHead writes a request and reads the head of its answer. It tells how far that came, and how much of the time went by while
// the request's body was still coming from its client.
func (s *upstreams) writeAndReadHead(c *upstreamConn, h *attempt) (r *http.Response, m *message, at attemptStage, flowed time.Duration, err error) {
	x, wait, to := h.request, h.deadline.Sub(s.node.clock.now()), &http.Request{Method: h.request.method}
	if x.source == nil {
		whole := net.Buffers{x.headWithTimeout(wait), x.body}
		if _, err = whole.WriteTo(c.Conn); err != nil {
			return nil, nil, partlyWritten, 0, err
		}
		r, m, err = c.readResponseHead(to)
		return r, m, fullyWritten, 0, err
	}
	began := time.Now()
	if err = writePaced(c, h, x.headWithTimeout(wait)); err != nil {
		return nil, nil, partlyWritten, 0, err
	}
	if x.source.consumed.Swap(true) {
		return nil, nil, partlyWritten, 0, errBodyLost
	}
	up := startUpload(c, h, wait)
	r, m, err = c.readResponseHead(to)
	switch whole := up.stop(c, x); {
	case whole:
		return r, m, fullyWritten, up.completedAt.Sub(began), err
	case err != nil:
		return nil, nil, partlyWritten, 0, up.blame(x, err)
	case !isEarlyResponse(r):
		m.end()
		return nil, nil, partlyWritten, 0, errEarlyResponse
	}
	return r, m, partlyWritten, 0, nil
}

// isEarlyResponse tells an answer that may come before the request's last byte was written: one that turns the request away.
func isEarlyResponse(r *http.Response) bool {
	return outcomeOf(r.StatusCode, r.Header) == policy.OutcomeRejected || isRequestFault(r.StatusCode)
}

// blame tells who is to blame for a body that did not go out whole.
func (u *upload) blame(x *pendingRequest, reading error) error {
	switch {
	case x.source.failure() != nil && !errors.Is(x.source.failure(), errBodyAbandoned):
		return errBodyLost // the client's side; the server has done nothing
	case u.err != nil && !errors.Is(u.err, errBodyAbandoned) && !errors.Is(u.err, os.ErrDeadlineExceeded):
		return u.err
	}
	return reading
}

// readFirstPart reads an answer whole if it is short, else its first part. One that does not tell how long it is counts as short
// for a moment: what is spoilt mostly shows at once, and what comes slowly is not to be held back until it is known to be long.
func (s *upstreams) readFirstPart(m *message) (body []byte, all bool, err error) {
	if m.length > maxBufferedResponse {
		body = make([]byte, streamBufferBytes)
		n, err := m.Read(body)
		return body[:n], false, err
	}
	if m.length >= 0 {
		return m.readUpTo(nil, maxBufferedResponse)
	}
	for began := time.Now(); len(body) < maxBufferedResponse; {
		if body, all, err = m.readMore(body, maxBufferedResponse); all || err != nil {
			return body, all, err
		}
		if len(body) > 0 && time.Since(began) > responseHoldBack {
			break
		}
	}
	return body, false, nil
}

// acquire takes the connection to a server that was used last, as the others may then grow old and be closed,
// or opens one.
func (s *upstreams) acquire(h *attempt, limit time.Time) (*upstreamConn, error) {
	to := h.target
	for {
		c := s.takeIdle(to)
		if c == nil {
			break
		}
		old := c.idleSince.Before(s.idleCutoff())
		if !old && c.isQuiet() {
			return c, nil
		}
		s.noteStray(c.hasInput())
		if s.closeConn(c); !old {
			s.node.counters.add(upstreamConnsFoundClosed)
		}
	}
	for by := time.Now().Add(lendTimeout); !s.reserveSlot(); {
		switch lent, soon := s.node.frontend.lendSlot(); {
		case lent:
		case !soon || h.request == nil || h.isCanceled() || time.Now().After(by):
			return nil, errNoConnectionSlot
		default:
			time.Sleep(2 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !h.setOnCancel(cancel) {
		cancel()
	}
	raw, err := s.dial(ctx, to.address, limit)
	if err != nil {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err = errNoConnectionSlot // not the server's doing
		}
		return nil, err
	}
	s.node.counters.add(upstreamConnsOpened)
	return &upstreamConn{bufferedConn: newBufferedConn(raw), target: to}, nil
}

// takeIdle takes the connection used last, unless its answer may come again and it has not rested since: then one that has, or none.
// To open another costs more than a rest does, so all rest only once something has come that nobody asked for.
func (s *upstreams) takeIdle(from upstreamTarget) *upstreamConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle, now := s.idleConns[from], time.Now()
	wary := now.UnixNano()-s.lastStrayAt.Load() < int64(strayMemory)
	i := len(idle) - 1
	for ; i >= 0 && (wary || idle[i].lastRejected) && now.Sub(idle[i].idleSince) < s.strayCooldown; i-- {
	}
	if i < 0 {
		return nil
	}
	c := idle[i]
	s.idleConns[from] = slices.Delete(idle, i, i+1)
	s.idleOrder.Remove(c.idleElement)
	return c
}

// noteStray notes that more than a request's answer has come on a connection.
func (s *upstreams) noteStray(more bool) {
	if more {
		s.lastStrayAt.Store(time.Now().UnixNano())
	}
}

// reserveSlot makes room for one more connection, if need be in place of the one that has been idle longest.
func (s *upstreams) reserveSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.maxOpen+int(s.node.frontend.lentSlots.Load()) {
		oldest := s.idleOrder.Front()
		if oldest == nil {
			return false
		}
		s.closeOldestLocked(oldest.Value.(*upstreamConn).target, 1)
	}
	s.open++
	return true
}

// closeOldestLocked closes the n connections to a server that have been idle longest; the lock is held.
func (s *upstreams) closeOldestLocked(from upstreamTarget, n int) {
	list := s.idleConns[from]
	for _, c := range list[:n] {
		c.Close()
		s.idleOrder.Remove(c.idleElement)
		s.open--
		s.node.counters.add(upstreamConnsIdleClosed)
	}
	if s.idleConns[from] = append([]*upstreamConn(nil), list[n:]...); len(list) == n {
		delete(s.idleConns, from)
	}
}

// putIdle puts a connection by, unless its server is not wanted any more: it would come back behind those that were closed for
// that, and hold its place for nobody.
func (s *upstreams) putIdle(c *upstreamConn) {
	c.SetDeadline(time.Time{})
	c.shrink()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eligible[c.target.endpoint] != c.target.address { // asked under the lock: forget comes behind what changes it
		c.Close()
		s.open--
		return
	}
	c.idleSince = time.Now()
	s.idleConns[c.target] = append(s.idleConns[c.target], c)
	c.idleElement = s.idleOrder.PushBack(c)
}

func (s *upstreams) closeConn(c *upstreamConn) {
	c.Close()
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// closeIdle closes what is idle to a server that is no longer wanted, or no longer there.
func (s *upstreams) closeIdle(old upstreamTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeOldestLocked(old, len(s.idleConns[old]))
}

// idleCutoff is when a connection must have been used last to be used again: well before the server would close it, as a
// request written to one that the server has just closed may have run for all that can be known.
func (s *upstreams) idleCutoff() time.Time {
	return time.Now().Add(-time.Duration(s.node.settings.IdleTimeout) * 3 / 4)
}

// closeExpired closes connections that are too old, and those that their server has closed, as they hold descriptors.
func (s *upstreams) closeExpired() {
	tooOld := s.idleCutoff()
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, list := range s.idleConns {
		kept := list[:0]
		for _, c := range list {
			if c.idleSince.After(tooOld) && c.isQuiet() {
				kept = append(kept, c)
				continue
			}
			s.noteStray(c.hasInput())
			c.Close()
			s.idleOrder.Remove(c.idleElement)
			s.open--
			s.node.counters.add(upstreamConnsIdleClosed)
		}
		if s.idleConns[at] = kept; len(kept) == 0 {
			delete(s.idleConns, at)
		}
	}
	s.trimIdleLocked()
}
