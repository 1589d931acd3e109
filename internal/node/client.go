package node

// This file owns the client side: the listener, its connections, reading tasks and writing the one answer to each,
// in order. It must never talk to a server, nor hold back an answer that is there.

import (
	"errors"
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

	"fawnglade/policy"
)

const (
	idleClient     = 20 * time.Second        // some keep a connection for good
	longIdle       = 2 * time.Second         // after which a connection may have to make room
	slowHead       = 2500 * time.Millisecond // until a head that has begun is whole, the first from its connection's start
	longLinger     = 3 * time.Second         // for a client that is still sending what nobody wants
	pipelined      = 4                       // tasks read ahead on one connection
	lingers        = 25 * time.Millisecond
	lentWithin     = 4 * lingers            // until an attempt has the place of a client that goes
	lastLook       = 5 * time.Millisecond   // for connections that wait to be accepted
	standsAfter    = 200 * time.Millisecond // without anybody at the door: then an accept stands
	slowUnderFlood = time.Second            // of silence within a message, while others wait for a connection
)

type clients struct {
	node     *Node
	listener net.Listener
	again    chan struct{} // after a pause
	paused   atomic.Bool   // another process takes what comes
	ending   atomic.Bool   // what the machine has accepted is still taken, then the listener is closed
	ended    chan struct{} // it is
	used     atomic.Int64
	atWork   atomic.Int64
	atDoor   atomic.Int64 // accepted and waiting for room

	mu    sync.Mutex
	open  map[*client]struct{}
	most  int // connections at work; beyond these only a few, to say that there is no room
	spare int
	usual int // connections that have brought tasks; of more, those that stand idle are closed

	mayLend, lent atomic.Int64 // places of these that attempts may have, and have now
}

// client is one connection. Its reader and its writer meet in turns, where exchanges stand in the order of their
// tasks.
type client struct {
	side  *clients
	conn  *conn
	turns chan *exchange

	goodbye atomic.Int64 // once the last answer is written: until when what still comes is read
	flowing atomic.Bool  // an answer is being passed on as it comes

	mu      sync.Mutex
	busy    int
	closed  bool          // takes no more tasks
	leaving bool          // is to close once nothing has come
	used    bool          // has brought a task
	gap     time.Duration // of silence after the last answer, until the connection is closed
	opened  time.Time
	lastUse time.Time
	began   time.Time // when the message that is being read began; zero between messages
}

func newClients(n *Node, listener net.Listener) *clients {
	return &clients{node: n, listener: listener, again: make(chan struct{}, 1), ended: make(chan struct{}),
		open: map[*client]struct{}{}}
}

// allot sets how many connections there may be.
func (s *clients) allot(most, spare, usual int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.spare, s.usual = most, spare, usual
	s.dismiss(len(s.open) - most) // another process of this node may have what stands idle beyond it
}

// room is how many connections may be at work.
func (s *clients) room() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.places()
}

// places is how many may be at work beside the attempts that have some of the places; the lock is held.
func (s *clients) places() int { return s.most - int(s.lent.Load()) }

// lend gives an attempt the place of a client: a free one, or one whose client stands idle and is asked to go, which may come soon.
// Guards against idle clients who keep attempts from getting a connection.
func (s *clients) lend() (lent, soon bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lent.Load() >= s.mayLend.Load() {
		return false, false
	}
	if len(s.open) < s.places()+s.spare {
		s.lent.Add(1)
		return true, true
	}
	s.dismiss(1 + s.most/16)
	return false, int(s.atWork.Load()) < len(s.open)
}

// until sets by when the wait for a new connection ends.
func (s *clients) until(end time.Time) {
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(end)
	}
}

// pause leaves new connections to another process that accepts from the same socket, until resume.
func (s *clients) pause() {
	s.paused.Store(true)
	s.until(time.Unix(1, 0))
}

func (s *clients) resume() {
	s.paused.Store(false)
	s.until(time.Time{})
	s.wake()
}

// close ends the taking of connections, and returns once what the machine had accepted is taken, or by a time. Guards against
// a listener that is closed over connections which nobody has got to: the machine resets them, with tasks already written.
//
// It waits no longer than the door is in use: whoever else holds the socket may make it a blocking one at any moment, as the start
// of another process does in passing, and an accept that then stands in the machine ends with the next connection alone.
func (s *clients) close(by time.Time) {
	s.ending.Store(true)
	s.until(time.Unix(1, 0))
	s.wake()
	for idle := time.Now(); time.Now().Before(by) && time.Since(idle) < standsAfter; {
		select {
		case <-s.ended:
			return
		case <-time.After(lastLook):
		}
		if s.atDoor.Load() > 0 {
			idle = time.Now()
		}
	}
	go s.listener.Close() // which waits for such an accept as well
}

func (s *clients) wake() {
	select {
	case s.again <- struct{}{}:
	default:
	}
}

// accept takes connections until the listener is closed. Those it does not get to in time are lost all the same: a
// task counts as taken once it is in the machine, whether or not anyone has accepted its connection.
func (s *clients) accept() {
	defer close(s.ended)
	defer s.listener.Close()
	for looked := false; ; {
		if looked = s.ending.Load() && !s.paused.Load(); looked {
			s.until(time.Now().Add(lastLook)) // an accept whose time is over does not even look
		}
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			switch {
			case looked || s.ending.Load() && s.paused.Load():
				return
			case !s.ending.Load():
				<-s.again
			}
			continue
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond) // no descriptor left for a moment; others are being closed
			continue
		}
		s.node.counters.add(clientsTaken)
		s.admit(raw)
	}
}

// admit takes one connection in, if need be in place of one that stands idle. Where all are at work it waits for the
// next to end: a task may already be written to this one, so it can't be closed without an answer.
func (s *clients) admit(raw net.Conn) {
	now := time.Now()
	c := &client{side: s, conn: newConn(raw), turns: make(chan *exchange, pipelined), lastUse: now}
	s.atDoor.Add(1)
	defer s.atDoor.Add(-1)
	for waited := false; !s.enter(c); waited = true {
		if !waited {
			s.node.counters.add(clientsWaited)
		}
		time.Sleep(time.Millisecond)
	}
	c.opened = time.Now() // what it waited at the door is not its doing
	go c.write()
	go c.read()
}

func (s *clients) enter(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.places() || s.crowded() {
		s.dismiss(1 + s.most/16) // some ahead, as each takes a moment to go
	}
	if len(s.open) >= s.places()+s.spare {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// crowded guards against clients that ask once and keep their connections: those in front of a node hold only so many to
// it, and with all of them standing idle nobody can ask.
func (s *clients) crowded() bool { return int(s.used.Load()) >= s.usual }

// dismiss asks up to n of the connections that stand idle to close; the lock is held. Those that never brought a task go
// first, against a flood that takes the place of clients at work, then the longest idle. While there is room left, one
// used of late stays if there are any that never brought a task, even too young to go. With none left it goes as well:
// to keep it would leave all who come a few places to pass through one after another, and their tasks wait outside.
func (s *clients) dismiss(n int) {
	now, fresh := time.Now(), false
	type standing struct {
		c    *client
		used bool
		last time.Time
	}
	var idle []standing
	for c := range s.open {
		c.mu.Lock()
		if c.idle(now) {
			idle = append(idle, standing{c, c.used, c.lastUse})
		}
		fresh = fresh || !c.used && !c.leaving
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
		if !one.used || !fresh || s.crowded() || len(s.open) >= s.places()+s.spare || n >= len(s.open) ||
			now.Sub(one.last) > longIdle {
			one.c.dismiss(now)
		}
	}
}

// settle asks what stands idle to close and tells how many connections are left.
func (s *clients) settle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dismiss(len(s.open))
	return len(s.open) + int(s.atDoor.Load())
}

// cut ends the connections on which an answer is still flowing, so that each client can tell that its own is not whole: the end of
// the process would end them in order, and where the end of the connection is the end of an answer that would pass for one.
func (s *clients) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.flowing.Load() {
			c.cut()
		}
	}
}

const (
	emptyAfter = time.Second // after a drain began, by when nobody connects any more
	emptyEach  = 100 * time.Millisecond
)

// empty closes what stands idle while the node is drained: connections that are in use end with their next answer, and the
// others are not to be held.
func (s *clients) empty() {
	var since time.Time
	for now := range time.Tick(emptyEach) {
		switch {
		case !s.node.orders.drained():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > emptyAfter:
			s.settle()
		}
	}
}

// idle tells whether the connection holds no task and none is under way; the lock is held.
func (c *client) idle(now time.Time) bool {
	return c.busy == 0 && !c.closed && !c.leaving && now.Sub(c.lastUse) > lingers &&
		(c.began.IsZero() || now.UnixNano()-max(c.conn.heard.Load(), c.began.UnixNano()) > int64(slowUnderFlood))
}

// dismiss wakes the reader, which alone can tell whether a task has come meanwhile.
func (c *client) dismiss(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle(now) {
		c.leaving = true
		c.conn.SetReadDeadline(time.Unix(1, 0))
		c.side.node.counters.add(clientsDismissed)
	}
}

// begin marks the connection as holding one task more, unless it has been closed.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.busy++; c.busy == 1 {
		c.side.atWork.Add(1)
	}
	if !c.used {
		c.used = true
		c.side.used.Add(1)
	}
	c.began = time.Time{}
	return true
}

// isLast tells whether the connection is to be closed after this answer. It is not while it holds further tasks, or the next
// has begun to come, as they would be lost, and from here on it takes none.
func (c *client) isLast(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 1 || !x.last && !x.half() && (!c.leaving && !c.side.node.leaving() || !c.began.IsZero() || c.conn.has()) {
		return false
	}
	c.closed, c.gap = true, lingers
	if x.half() {
		c.gap = stall // against closing on a client that still sends its body slowly, which would throw its answer away
	}
	return true
}

func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy--; c.busy == 0 {
		c.side.atWork.Add(-1)
	}
	c.lastUse = time.Now()
}

// read takes tasks from the connection until it ends; then those without an answer are withdrawn.
func (c *client) read() {
	var mine []*exchange
	n := c.side.node
	defer func() {
		for _, x := range mine {
			if !x.settled.Load() {
				n.loop.enter(func() { n.loop.withdrawn(x) })
			}
		}
		close(c.turns)
	}()
	defer n.caught("client", func() {})
	for {
		x := newExchange()
		x.left = c.hasLeft
		r, err := c.next(x)
		if err != nil && !bad(err) || c.hasLeft() {
			// Guards against a client that sends much at once and goes: its tasks came one by one to servers as the ones
			// before were answered, each to nobody.
			c.giveBack(x)
			return
		}
		if !c.begin() {
			c.giveBack(x)
			c.drain()
			return
		}
		mine = append(unsettled(mine), x)
		if err != nil {
			n.counters.add(tasksBad)
			x.last = true // what else stands on the connection can't be told apart
			x.settle(answer{status: statusOf(err)})
		} else {
			x.last = r.Close || x.old // the end of the connection may be the only end of an answer that HTTP/1.0 knows
			c.take(x, r)
		}
		c.turns <- x
		if x.source != nil && !c.follow(x) || x.last {
			c.drain()
			return
		}
	}
}

// hasLeft tells whether the client has gone, also before the reader comes to the end of the connection. Anybody may ask, and
// who is about to write its task to a server does.
func (c *client) hasLeft() bool { return c.conn.ended() }

// follow waits until a body that flows has been read by whoever carries the task, and tells whether the connection goes on.
func (c *client) follow(x *exchange) bool {
	<-x.source.ended
	x.source.rest.end()
	c.conn.pace = nil
	if !x.half() {
		return true
	}
	c.side.node.loop.enter(func() { c.side.node.loop.broken(x) })
	return false
}

// giveBack returns what a body took of the memory for bodies.
func (c *client) giveBack(x *exchange) { c.side.node.held.Add(-int64(cap(x.body))) }

// next reads one message, or as much of a long one as is held. A client may take its time before it begins one, not within,
// and not before its first: a connection that says nothing holds descriptors.
func (c *client) next(x *exchange) (*http.Request, error) {
	first := !c.used
	for len(c.conn.pending()) == 0 {
		if first {
			c.readFor(max(time.Until(c.opened.Add(slowHead)), lingers)) // what is there is read, also where its time has just ended
		} else {
			c.readFor(idleClient)
		}
		err := c.conn.fill()
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.conn.has() || c.stays()) {
			continue
		}
		if err != nil {
			return nil, errGone
		}
	}
	c.mu.Lock()
	c.began = time.Now()
	from := c.began
	if first {
		from = c.opened
	}
	c.conn.SetReadDeadline(from.Add(slowHead))
	c.mu.Unlock()
	r, m, err := c.conn.fromClient(c.unanswered)
	if err != nil {
		return nil, err
	}
	x.method, x.old = r.Method, !r.ProtoAtLeast(1, 1)
	c.conn.pace = &pace{start: from, grace: grace, stall: stall, least: slowest}
	whole, err := c.collect(x, m)
	if err != nil || whole {
		c.conn.pace = nil
		m.end()
		return r, err
	}
	x.source = newSource(c.conn, m)
	return r, nil
}

// unanswered tells that no answer is due or being written. Guards against a word in the middle of one.
func (c *client) unanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy == 0
}

// collect reads a body, or as much of a long one as the node has memory for.
func (c *client) collect(x *exchange, m *message) (whole bool, err error) {
	most := 4 << 10
	switch {
	case m.length == 0:
		return true, nil
	case m.length > alwaysHeld && m.length <= heldBody && c.hold(x, int(m.length), false):
		most = int(m.length)
	case m.length > 0:
		most = int(min(m.length, alwaysHeld))
	}
	c.hold(x, most, true)
	for {
		x.body, whole, err = m.collect(x.body, most)
		if most *= 2; whole || err != nil || m.length > 0 || most > heldBody || !c.hold(x, most, most <= alwaysHeld) {
			return whole, err
		}
	}
}

// hold makes room for so much of a task's body, if there is memory for it or it must be.
func (c *client) hold(x *exchange, most int, must bool) bool {
	n, more := c.side.node, int64(most-cap(x.body))
	if more <= 0 {
		return true
	}
	if n.held.Add(more) > n.mostHeld.Load() && !must {
		n.held.Add(-more)
		return false
	}
	grown := make([]byte, len(x.body), most)
	copy(grown, x.body)
	x.body = grown
	return true
}

// stays tells whether the connection outlives a read that lasted too long, as its task is still out. One that was asked
// to leave just when its task came is no exception.
func (c *client) stays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy > 0 && !c.closed
}

// readFor sets how long reads may last: a moment after the last answer, or once the connection is to leave.
func (c *client) readFor(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.leaving && c.busy == 0 {
		d = max(c.gap, lingers)
	}
	c.conn.SetReadDeadline(time.Now().Add(d))
}

// drain reads on to the end without taking anything, so that the client leaving is noticed and what it still sends
// does not make the machine throw away the answer on its way.
func (c *client) drain() {
	c.readFor(idleClient)
	for {
		c.conn.from = c.conn.to
		if c.conn.fill() != nil {
			return
		}
		if until := c.goodbye.Load(); until > 0 { // it has its answer, and may be sending on for a while
			c.readFor(0)
			if time.Now().UnixNano() > until {
				return
			}
		}
	}
}

var errGone = errors.New("the client has gone")

func bad(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadTooLong) || errors.Is(err, errBodyTooLong) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}

func statusOf(err error) int {
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

func unsettled(list []*exchange) []*exchange {
	kept := list[:0]
	for _, x := range list {
		if !x.settled.Load() {
			kept = append(kept, x)
		}
	}
	return kept
}

// take enters a task, or answers at once what needs no decision.
func (c *client) take(x *exchange, r *http.Request) {
	n := c.side.node
	if r.URL.Path == pathReady {
		status := http.StatusOK
		if n.notReady() != "" {
			status = http.StatusServiceUnavailable
		}
		x.settle(answer{status: status})
		return
	}
	if int(c.side.atWork.Load()) > c.side.room() {
		n.counters.add(tasksNoRoom)
		x.last = true
		x.settle(n.noRoom())
		return
	}
	task, err := n.taskOf(r, n.clock.now())
	if err != nil {
		n.counters.add(tasksBad)
		x.settle(answer{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")})
		return
	}
	if len(x.body) > 0 && n.held.Load() > 2*n.mostHeld.Load() { // what flows holds its first part
		n.counters.add(tasksNoRoom)
		x.settle(n.noRoom())
		return
	}
	if task.StreamingBody = x.source != nil; task.StreamingBody {
		n.counters.add(tasksFlowed)
	}
	x.task = task
	x.keep(r)
	n.loop.enter(func() { n.loop.arrived(x) })
}

// noRoom declines a task that never reached the decisions, nor any server.
func (n *Node) noRoom() answer {
	a := answer{status: http.StatusServiceUnavailable}
	if n.settings.Policy.MaySetRetryAfter {
		a.advice = n.settings.Policy.MaxRetryAfter
	}
	return a
}

// taskOf reads what the decisions need to know of a task.
func (n *Node) taskOf(r *http.Request, now int64) (policy.Request, error) {
	h := r.Header
	t := policy.Request{ID: policy.RequestID(h.Get(headerTask)), ClientRetry: h.Get(headerRepeated) == "1"}
	if t.ID == "" || len(t.ID) > 128 {
		return t, errors.New(headerTask + ": expected an id of at most 128 bytes")
	}
	category := h.Get(headerCategory)
	if category == "" {
		category, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	var known bool
	if t.Class, known = n.categories[category]; !known {
		return t, fmt.Errorf("%s: expected a category of the settings, got %q", headerCategory, category)
	}
	if name := h.Get(headerCustomer); name != "" {
		if t.Tenant, known = n.customers[name]; !known {
			return t, fmt.Errorf("%s: expected a customer of the settings, got %q", headerCustomer, name)
		}
	}
	t.Deadline = now + n.settings.Deadlines[t.Class]
	if text := h.Get(headerRemaining); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			return t, fmt.Errorf("%s: expected whole milliseconds, got %q", headerRemaining, text)
		}
		t.Deadline = min(t.Deadline, now+wait*milli)
	}
	// A guess that cannot be read is no guess; the task itself is sound.
	if cost, err := strconv.ParseInt(h.Get(headerCost), 10, 64); err == nil && cost > 0 && cost < 1e12 {
		t.CostHint = cost * 1000
	}
	if cookie, err := r.Cookie(cookieKey); n.settings.Policy.KeyAffinity && err == nil {
		t.Key = cookie.Value
	}
	return t, nil
}

// cut ends the connection so that the client can tell that its answer is not whole, also where the end of the connection
// would be the end of the answer.
func (c *client) cut() {
	if tcp, ok := c.conn.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.conn.Close()
}

// write writes the answers in the order of the tasks. Once the client has gone it only waits for what is still due.
// The connection ends with it, so that a node that stops waits for the last answer.
func (c *client) write() {
	defer func() {
		c.conn.Close()
		if c.used {
			c.side.used.Add(-1)
		}
		c.side.mu.Lock()
		delete(c.side.open, c)
		c.side.mu.Unlock()
	}()
	gone := false
	for x := range c.turns {
		a := <-x.answered
		gone = gone || a.status == 0
		if !gone {
			gone = !c.say(x, &a, c.isLast(x))
		}
		a.drop()
		if x.source != nil {
			x.source.giveUp()
		}
		c.giveBack(x)
		c.end()
	}
}

// say writes one answer and tells whether the connection goes on. After the last it waits a moment for the client to
// close, as closing on a client that is still sending would throw the answer away.
func (c *client) say(x *exchange, a *answer, last bool) (goesOn bool) {
	defer c.side.node.caught("answer", func() { c.conn.Close() })
	head, chunks := a.text(x, last)
	var whole bool
	if a.flow != nil {
		c.flowing.Store(true)
		whole = c.flowOut(a, head, chunks)
		c.flowing.Store(false)
	} else {
		if hasBody(x.method) {
			head = append(head, a.body...)
		}
		whole = writePaced(c.conn, nil, head) == nil
	}
	if !whole {
		c.cut()
		return false
	}
	if last {
		c.goodbye.Store(time.Now().Add(longLinger).UnixNano())
		if half, ok := c.conn.Conn.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		c.readFor(lingers)
	}
	return !last
}
