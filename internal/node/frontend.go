package node

// This file owns the client side: the listener, its connections, reading requests and writing the one answer to each,
// in order. It must never talk to a server, nor hold back an answer that is there.

import (
	"errors"
	"fawnglade/policy"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientIdleTimeout = 20 * time.Second        // some keep a connection for good
	evictableAfter    = 2 * time.Second         // after which a connection may have to make room
	headTimeout       = 2500 * time.Millisecond // until a head that has begun is whole, the first from its connection's start
	maxLinger         = 3 * time.Second         // for a client that is still sending what nobody wants
	maxPipelined      = 4                       // requests read ahead on one connection
	closeLinger       = 25 * time.Millisecond
	lendTimeout       = 4 * closeLinger        // until an attempt has the place of a client that goes
	acceptPoll        = 5 * time.Millisecond   // for connections that wait to be accepted
	acceptStuckAfter  = 200 * time.Millisecond // without anybody at the door: then an accept stands
	stallUnderFlood   = time.Second            // of silence within a message, while others wait for a connection
)

type frontend struct {
	node             *Node
	listener         net.Listener
	acceptWake       chan struct{} // after a pause
	paused           atomic.Bool   // another process takes what comes
	draining         atomic.Bool   // what the machine has accepted is still taken, then the listener is closed
	acceptDone       chan struct{} // it is
	usedConns        atomic.Int64
	activeConns      atomic.Int64
	waitingAdmission atomic.Int64 // accepted and waiting for room

	mu         sync.Mutex
	open       map[*clientConn]struct{}
	maxOpen    int // connections at work; beyond these only a few, to say that there is no room
	spareSlots int
	crowdedAt  int // connections that have brought requests; of more, those that stand idle are closed

	maxLentSlots, lentSlots atomic.Int64 // places of these that attempts may have, and have now
}

// clientConn is one connection. Its reader and its writer meet in turns, where exchanges stand in the order of their
// requests.
type clientConn struct {
	frontend      *frontend
	conn          *bufferedConn
	responseOrder chan *pendingRequest

	lingerUntil atomic.Int64 // once the last answer is written: until when what still comes is read
	streaming   atomic.Bool  // an answer is being passed on as it comes

	mu            sync.Mutex
	pending       int
	closed        bool          // takes no more requests
	evicting      bool          // is to close once nothing has come
	used          bool          // has brought a request
	lingerTimeout time.Duration // of silence after the last answer, until the connection is closed
	admittedAt    time.Time
	lastUsedAt    time.Time
	messageBegan  time.Time // when the message that is being read began; zero between messages
}

func newFrontend(n *Node, listener net.Listener) *frontend {
	return &frontend{
		node: n, listener: listener, acceptWake: make(chan struct{}, 1), acceptDone: make(chan struct{}),
		open: map[*clientConn]struct{}{},
	}
}

// setLimits sets how many connections there may be.
func (s *frontend) setLimits(most, spare, usual int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen, s.spareSlots, s.crowdedAt = most, spare, usual
	s.evictIdleLocked(len(s.open) - most) // another process of this node may have what stands idle beyond it
}

// capacity is how many connections may be at work.
func (s *frontend) capacity() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slotsLocked()
}

// placesLocked is how many may be at work beside the attempts that have some of the places; the lock is held.
func (s *frontend) slotsLocked() int { return s.maxOpen - int(s.lentSlots.Load()) }

// lendSlot gives an attempt the place of a client: a free one, or one whose client stands idle and is asked to go, which may come soon.
// Guards against idle clients who keep attempts from getting a connection.
func (s *frontend) lendSlot() (lent, soon bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lentSlots.Load() >= s.maxLentSlots.Load() {
		return false, false
	}
	if len(s.open) < s.slotsLocked()+s.spareSlots {
		s.lentSlots.Add(1)
		return true, true
	}
	s.evictIdleLocked(1 + s.maxOpen/16)
	return false, int(s.activeConns.Load()) < len(s.open)
}

// setAcceptDeadline sets by when the wait for a new connection ends.
func (s *frontend) setAcceptDeadline(end time.Time) {
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(end)
	}
}

// pause leaves new connections to another process that accepts from the same socket, until resume.
func (s *frontend) pause() {
	s.paused.Store(true)
	s.setAcceptDeadline(time.Unix(1, 0))
}

func (s *frontend) resume() {
	s.paused.Store(false)
	s.setAcceptDeadline(time.Time{})
	s.wake()
}

// drainAndClose ends the taking of connections, and returns once what the machine had accepted is taken, or by a time. Guards against
// a listener that is closed over connections which nobody has got to: the machine resets them, with requests already written.
//
// It waits no longer than the door is in use: whoever else holds the socket may make it a blocking one at any moment, as the start
// of another process does in passing, and an accept that then stands in the machine ends with the next connection alone.
func (s *frontend) drainAndClose(by time.Time) {
	s.draining.Store(true)
	s.setAcceptDeadline(time.Unix(1, 0))
	s.wake()
	for idle := time.Now(); time.Now().Before(by) && time.Since(idle) < acceptStuckAfter; {
		select {
		case <-s.acceptDone:
			return
		case <-time.After(acceptPoll):
		}
		if s.waitingAdmission.Load() > 0 {
			idle = time.Now()
		}
	}
	go s.listener.Close() // which waits for such an accept as well
}

func (s *frontend) wake() {
	select {
	case s.acceptWake <- struct{}{}:
	default:
	}
}

// accept takes connections until the listener is closed. Those it does not get to in time are lost all the same: a
// request counts as taken once it is in the machine, whether or not anyone has accepted its connection.
func (s *frontend) accept() {
	defer close(s.acceptDone)
	defer s.listener.Close()
	for looked := false; ; {
		if looked = s.draining.Load() && !s.paused.Load(); looked {
			s.setAcceptDeadline(time.Now().Add(acceptPoll)) // an accept whose time is over does not even look
		}
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			switch {
			case looked || s.draining.Load() && s.paused.Load():
				return
			case !s.draining.Load():
				<-s.acceptWake
			}
			continue
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond) // no descriptor left for a moment; others are being closed
			continue
		}
		s.node.counters.add(clientsAccepted)
		s.admit(raw)
	}
}

// admit takes one connection in, if need be in place of one that stands idle. Where all are at work it waits for the
// next to end: a request may already be written to this one, so it can't be closed without an answer.
func (s *frontend) admit(raw net.Conn) {
	now := time.Now()
	c := &clientConn{frontend: s, conn: newBufferedConn(raw), responseOrder: make(chan *pendingRequest, maxPipelined), lastUsedAt: now}
	s.waitingAdmission.Add(1)
	defer s.waitingAdmission.Add(-1)
	for waited := false; !s.tryAdmit(c); waited = true {
		if !waited {
			s.node.counters.add(clientsQueued)
		}
		time.Sleep(time.Millisecond)
	}
	c.admittedAt = time.Now() // what it waited at the door is not its doing
	go c.writeLoop()
	go c.readLoop()
}

func (s *frontend) tryAdmit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.slotsLocked() || s.crowdedLocked() {
		s.evictIdleLocked(1 + s.maxOpen/16) // some ahead, as each takes a moment to go
	}
	if len(s.open) >= s.slotsLocked()+s.spareSlots {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// crowdedLocked guards against clients that ask once and keep their connections: those in front of a node hold only so many to
// it, and with all of them standing idle nobody can ask.
func (s *frontend) crowdedLocked() bool { return int(s.usedConns.Load()) >= s.crowdedAt }

// evictIdleLocked asks up to n of the connections that stand idle to close; the lock is held. Those that never brought a request go
// first, against a flood that takes the place of clients at work, then the longest idle. While there is room left, one
// used of late stays if there are any that never brought a request, even too young to go. With none left it goes as well:
// to keep it would leave all who come a few places to pass through one after another, and their requests wait outside.
func (s *frontend) evictIdleLocked(n int) {
	now, fresh := time.Now(), false
	type standing struct {
		c    *clientConn
		used bool
		last time.Time
	}
	var idle []standing
	for c := range s.open {
		c.mu.Lock()
		if c.idle(now) {
			idle = append(idle, standing{c, c.used, c.lastUsedAt})
		}
		fresh = fresh || !c.used && !c.evicting
		c.mu.Unlock()
	}
	slices.SortFunc(idle, func(a, b standing) int {
		if a.used != b.used {
			if b.used {
				return -1
			}
			return 1
		}
		return a.last.Compare(b.last)
	})
	for _, one := range idle[:max(0, min(n, len(idle)))] {
		if !one.used || !fresh || s.crowdedLocked() || len(s.open) >= s.slotsLocked()+s.spareSlots || n >= len(s.open) ||
			now.Sub(one.last) > evictableAfter {
			one.c.evict(now)
		}
	}
}

// evictAllIdle asks what stands idle to close and tells how many connections are left.
func (s *frontend) evictAllIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictIdleLocked(len(s.open))
	return len(s.open) + int(s.waitingAdmission.Load())
}

// abortStreams ends the connections on which an answer is still flowing, so that each client can tell that its own is not whole: the end of
// the process would end them in order, and where the end of the connection is the end of an answer that would pass for one.
func (s *frontend) abortStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.streaming.Load() {
			c.abort()
		}
	}
}

const (
	drainIdleDelay    = time.Second // after a drain began, by when nobody connects any more
	drainIdleInterval = 100 * time.Millisecond
)

// closeIdleWhileDrained closes what stands idle while the node is drained: connections that are in use end with their next answer, and the
// others are not to be held.
func (s *frontend) closeIdleWhileDrained() {
	var since time.Time
	for now := range time.Tick(drainIdleInterval) {
		switch {
		case !s.node.overrides.drained():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > drainIdleDelay:
			s.evictAllIdle()
		}
	}
}

// idle tells whether the connection holds no request and none is under way; the lock is held.
func (c *clientConn) idle(now time.Time) bool {
	return c.pending == 0 && !c.closed && !c.evicting && now.Sub(c.lastUsedAt) > closeLinger &&
		(c.messageBegan.IsZero() || now.UnixNano()-max(c.conn.lastReadAt.Load(), c.messageBegan.UnixNano()) > int64(stallUnderFlood))
}

// evict wakes the reader, which alone can tell whether a request has come meanwhile.
func (c *clientConn) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle(now) {
		c.evicting = true
		c.conn.SetReadDeadline(time.Unix(1, 0))
		c.frontend.node.counters.add(clientsEvicted)
	}
}

// beginRequest marks the connection as holding one request more, unless it has been closed.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.pending++; c.pending == 1 {
		c.frontend.activeConns.Add(1)
	}
	if !c.used {
		c.used = true
		c.frontend.usedConns.Add(1)
	}
	c.messageBegan = time.Time{}
	return true
}

// closesAfter tells whether the connection is to be closed after this answer. It is not while it holds further requests, or the next
// has begun to come, as they would be lost, and from here on it takes none.
func (c *clientConn) closesAfter(x *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 1 || !x.closeAfter && !x.bodyIncomplete() && (!c.evicting && !c.frontend.node.closesConnections() || !c.messageBegan.IsZero() || c.conn.hasInput()) {
		return false
	}
	c.closed, c.lingerTimeout = true, closeLinger
	if x.bodyIncomplete() {
		c.lingerTimeout = bodyStall // against closing on a client that still sends its body slowly, which would throw its answer away
	}
	return true
}

func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending--; c.pending == 0 {
		c.frontend.activeConns.Add(-1)
	}
	c.lastUsedAt = time.Now()
}

// readLoop takes requests from the connection until it ends; then those without an answer are withdrawn.
func (c *clientConn) readLoop() {
	var mine []*pendingRequest
	n := c.frontend.node
	defer func() {
		for _, x := range mine {
			if !x.answered.Load() {
				n.loop.post(func() { n.loop.clientGone(x) })
			}
		}
		close(c.responseOrder)
	}()
	defer n.recoverPanic("client", func() {})
	for {
		x := newPendingRequest()
		x.clientGone = c.clientGone
		r, err := c.readRequest(x)
		if err != nil && !isMalformed(err) || c.clientGone() {
			// Guards against a client that sends much at once and goes: its requests came one by one to servers as the ones
			// before were answered, each to nobody.
			c.releaseBody(x)
			return
		}
		if !c.beginRequest() {
			c.releaseBody(x)
			c.discardInput()
			return
		}
		mine = append(unanswered(mine), x)
		if err != nil {
			n.counters.add(requestsMalformed)
			x.closeAfter = true // what else stands on the connection can't be told apart
			x.answer(response{status: statusFor(err)})
		} else {
			x.closeAfter = r.Close || x.http10 // the end of the connection may be the only end of an answer that HTTP/1.0 knows
			c.handle(x, r)
		}
		c.responseOrder <- x
		if x.source != nil && !c.awaitBody(x) || x.closeAfter {
			c.discardInput()
			return
		}
	}
}

// isGone tells whether the client has gone, also before the reader comes to the end of the connection. Anybody may ask, and
// who is about to write its request to a server does.
func (c *clientConn) clientGone() bool { return c.conn.closedByPeer() }

// awaitBody waits until a body that flows has been read by whoever carries the request, and tells whether the connection goes on.
func (c *clientConn) awaitBody(x *pendingRequest) bool {
	<-x.source.ended
	x.source.message.end()
	c.conn.pacer = nil
	if !x.bodyIncomplete() {
		return true
	}
	c.frontend.node.loop.post(func() { c.frontend.node.loop.bodyBroken(x) })
	return false
}

// releaseBody returns what a body took of the memory for bodies.
func (c *clientConn) releaseBody(x *pendingRequest) {
	c.frontend.node.bufferedBytes.Add(-int64(cap(x.body)))
}

// readRequest reads one message, or as much of a long one as is held. A client may take its time before it begins one, not within,
// and not before its first: a connection that says nothing holds descriptors.
func (c *clientConn) readRequest(x *pendingRequest) (*http.Request, error) {
	first := !c.used
	for len(c.conn.buffered()) == 0 {
		if first {
			c.setReadTimeout(max(time.Until(c.admittedAt.Add(headTimeout)), closeLinger)) // what is there is read, also where its time has just ended
		} else {
			c.setReadTimeout(clientIdleTimeout)
		}
		err := c.conn.fill()
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.conn.hasInput() || c.keepsOpen()) {
			continue
		}
		if err != nil {
			return nil, errClientClosed
		}
	}
	c.mu.Lock()
	c.messageBegan = time.Now()
	from := c.messageBegan
	if first {
		from = c.admittedAt
	}
	c.conn.SetReadDeadline(from.Add(headTimeout))
	c.mu.Unlock()
	r, m, err := c.conn.readRequestHead(c.hasNoPending)
	if err != nil {
		return nil, err
	}
	x.method, x.http10 = r.Method, !r.ProtoAtLeast(1, 1)
	c.conn.pacer = &readPacer{start: from, grace: bodyGrace, stall: bodyStall, minRate: minBodyRate}
	whole, err := c.readBody(x, m)
	if err != nil || whole {
		c.conn.pacer = nil
		m.end()
		return r, err
	}
	x.source = newBodySource(c.conn, m)
	return r, nil
}

// hasNoPending tells that no answer is due or being written. Guards against a word in the middle of one.
func (c *clientConn) hasNoPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// readBody reads a body, or as much of a long one as the node has memory for.
func (c *clientConn) readBody(x *pendingRequest, m *message) (whole bool, err error) {
	most := 4 << 10
	switch {
	case m.length == 0:
		return true, nil
	case m.length > minBufferedBody && m.length <= maxBufferedBody && c.reserveBody(x, int(m.length), false):
		most = int(m.length)
	case m.length > 0:
		most = int(min(m.length, minBufferedBody))
	}
	c.reserveBody(x, most, true)
	for {
		x.body, whole, err = m.readUpTo(x.body, most)
		if most *= 2; whole || err != nil || m.length > 0 || most > maxBufferedBody || !c.reserveBody(x, most, most <= minBufferedBody) {
			return whole, err
		}
	}
}

// reserveBody makes room for so much of a request's body, if there is memory for it or it must be.
func (c *clientConn) reserveBody(x *pendingRequest, most int, must bool) bool {
	n, more := c.frontend.node, int64(most-cap(x.body))
	if more <= 0 {
		return true
	}
	if n.bufferedBytes.Add(more) > n.maxBufferedBytes.Load() && !must {
		n.bufferedBytes.Add(-more)
		return false
	}
	grown := make([]byte, len(x.body), most)
	copy(grown, x.body)
	x.body = grown
	return true
}

// keepsOpen tells whether the connection outlives a read that lasted too long, as its request is still out. One that was asked
// to leave just when its request came is no exception.
func (c *clientConn) keepsOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 && !c.closed
}

// setReadTimeout sets how long reads may last: a moment after the last answer, or once the connection is to leave.
func (c *clientConn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicting && c.pending == 0 {
		d = max(c.lingerTimeout, closeLinger)
	}
	c.conn.SetReadDeadline(time.Now().Add(d))
}

// discardInput reads on to the end without taking anything, so that the client leaving is noticed and what it still sends
// does not make the machine throw away the answer on its way.
func (c *clientConn) discardInput() {
	c.setReadTimeout(clientIdleTimeout)
	for {
		c.conn.start = c.conn.end
		if c.conn.fill() != nil {
			return
		}
		if until := c.lingerUntil.Load(); until > 0 { // it has its answer, and may be sending on for a while
			c.setReadTimeout(0)
			if time.Now().UnixNano() > until {
				return
			}
		}
	}
}

var errClientClosed = errors.New("the client has gone")

func isMalformed(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadTooLong) || errors.Is(err, errBodyTooLong) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}

func statusFor(err error) int {
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func unanswered(list []*pendingRequest) []*pendingRequest {
	kept := list[:0]
	for _, x := range list {
		if !x.answered.Load() {
			kept = append(kept, x)
		}
	}
	return kept
}

// handle enters a request, or answers at once what needs no decision.
func (c *clientConn) handle(x *pendingRequest, r *http.Request) {
	n := c.frontend.node
	if r.URL.Path == pathReady {
		status := http.StatusOK
		if n.notReady() != "" {
			status = http.StatusServiceUnavailable
		}
		x.answer(response{status: status})
		return
	}
	if int(c.frontend.activeConns.Load()) > c.frontend.capacity() {
		n.counters.add(requestsOverCapacity)
		x.closeAfter = true
		x.answer(n.overCapacity())
		return
	}
	task, err := n.parseRequest(r, n.clock.now())
	if err != nil {
		n.counters.add(requestsMalformed)
		x.answer(response{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")})
		return
	}
	if len(x.body) > 0 && n.bufferedBytes.Load() > 2*n.maxBufferedBytes.Load() { // what flows holds its first part
		n.counters.add(requestsOverCapacity)
		x.answer(n.overCapacity())
		return
	}
	if task.StreamingBody = x.source != nil; task.StreamingBody {
		n.counters.add(requestsStreamed)
	}
	x.request = task
	x.bufferHead(r)
	n.loop.post(func() { n.loop.requestArrived(x) })
}

// overCapacity rejects a request that never reached the decisions, nor any server.
func (n *Node) overCapacity() response {
	a := response{status: http.StatusServiceUnavailable}
	if n.settings.Policy.MaySetRetryAfter {
		a.retryAfter = n.settings.Policy.MaxRetryAfter
	}
	return a
}

// parseRequest reads what the decisions need to know of a request.
func (n *Node) parseRequest(r *http.Request, now policy.Time) (policy.Request, error) {
	h := r.Header
	t := policy.Request{ID: policy.RequestID(h.Get(headerRequestID)), ClientRetry: h.Get(headerClientRetry) == "1"}
	if t.ID == "" || len(t.ID) > 128 {
		return t, errors.New(headerRequestID + ": expected an id of at most 128 bytes")
	}
	category := h.Get(headerClass)
	if category == "" {
		category, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	var known bool
	if t.Class, known = n.classIndex[category]; !known {
		return t, fmt.Errorf("%s: expected a category of the settings, got %q", headerClass, category)
	}
	if name := h.Get(headerTenant); name != "" {
		if t.Tenant, known = n.tenantIndex[name]; !known {
			return t, fmt.Errorf("%s: expected a customer of the settings, got %q", headerTenant, name)
		}
	}
	t.Deadline = now.Add(n.settings.Deadlines[t.Class])
	if text := h.Get(headerRemaining); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			return t, fmt.Errorf("%s: expected whole milliseconds, got %q", headerRemaining, text)
		}
		t.Deadline = min(t.Deadline, now.Add(time.Duration(wait)*time.Millisecond))
	}
	// A guess that cannot be read is no guess; the request itself is sound.
	if cost, err := strconv.ParseInt(h.Get(headerCostHint), 10, 64); err == nil && cost > 0 && cost < 1e12 {
		t.CostHint = time.Duration(cost) * time.Microsecond
	}
	if cookie, err := r.Cookie(affinityCookie); n.settings.Policy.KeyAffinity && err == nil {
		t.Key = cookie.Value
	}
	return t, nil
}

// abort ends the connection so that the client can tell that its answer is not whole, also where the end of the connection
// would be the end of the answer.
func (c *clientConn) abort() {
	if tcp, ok := c.conn.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.conn.Close()
}

// writeLoop writes the answers in the order of the requests. Once the client has gone it only waits for what is still due.
// The connection ends with it, so that a node that stops waits for the last answer.
func (c *clientConn) writeLoop() {
	defer func() {
		c.conn.Close()
		if c.used {
			c.frontend.usedConns.Add(-1)
		}
		c.frontend.mu.Lock()
		delete(c.frontend.open, c)
		c.frontend.mu.Unlock()
	}()
	gone := false
	for x := range c.responseOrder {
		a := <-x.responses
		gone = gone || a.status == 0
		if !gone {
			gone = !c.writeResponse(x, &a, c.closesAfter(x))
		}
		a.discard()
		if x.source != nil {
			x.source.abandon()
		}
		c.releaseBody(x)
		c.endRequest()
	}
}

// writeResponse writes one answer and tells whether the connection goes on. After the last it waits a moment for the client to
// close, as closing on a client that is still sending would throw the answer away.
func (c *clientConn) writeResponse(x *pendingRequest, a *response, last bool) (goesOn bool) {
	defer c.frontend.node.recoverPanic("answer", func() { c.conn.Close() })
	head, chunks := a.encodeHead(x, last)
	var whole bool
	if a.stream != nil {
		c.streaming.Store(true)
		whole = c.streamResponse(a, head, chunks)
		c.streaming.Store(false)
	} else {
		if allowsBody(x.method) {
			head = append(head, a.body...)
		}
		whole = writePaced(c.conn, nil, head) == nil
	}
	if !whole {
		c.abort()
		return false
	}
	if last {
		c.lingerUntil.Store(time.Now().Add(maxLinger).UnixNano())
		if half, ok := c.conn.Conn.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		c.setReadTimeout(closeLinger)
	}
	return !last
}
