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
	idleClient  = 20 * time.Second        // some keep a connection for good
	longIdle    = 2 * time.Second         // after which a connection may have to make room
	slowMessage = 2500 * time.Millisecond // until a message that has begun is whole, the first from its connection's start
	slowWrite   = 2 * time.Second         // for a client that does not read its answer
	pipelined   = 4                       // tasks read ahead on one connection
	lingers     = 25 * time.Millisecond
	// of a message, while others wait for a connection
	slowUnderFlood = time.Second
)

type clients struct {
	node     *Node
	listener net.Listener
	again    chan struct{} // after a pause
	used     atomic.Int64
	atWork   atomic.Int64
	atDoor   atomic.Int64 // accepted and waiting for room

	mu    sync.Mutex
	open  map[*client]struct{}
	most  int // connections at work; beyond these only a few, to say that there is no room
	spare int
	usual int // connections that have brought tasks; of more, those that stand idle are closed
}

// client is one connection. Its reader and its writer meet in turns, where exchanges stand in the order of their
// tasks.
type client struct {
	side  *clients
	conn  *conn
	turns chan *exchange

	mu      sync.Mutex
	busy    int
	closed  bool // takes no more tasks
	leaving bool // is to close once nothing has come
	used    bool // has brought a task
	opened  time.Time
	lastUse time.Time
	began   time.Time // when the message that is being read began; zero between messages
}

func newClients(n *Node, listener net.Listener) *clients {
	return &clients{node: n, listener: listener, again: make(chan struct{}, 1), open: map[*client]struct{}{}}
}

// allot sets how many connections there may be.
func (s *clients) allot(most, spare, usual int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.spare, s.usual = most, spare, usual
}

// room is how many connections may be at work.
func (s *clients) room() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// pause leaves new connections to another process that accepts from the same socket, until resume.
func (s *clients) pause() {
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(time.Unix(1, 0))
	}
}

func (s *clients) resume() {
	if l, ok := s.listener.(*net.TCPListener); ok {
		l.SetDeadline(time.Time{})
	}
	s.wake()
}

// close ends the taking of connections.
func (s *clients) close() {
	s.listener.Close()
	s.wake()
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
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			<-s.again
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
	c := &client{side: s, conn: newConn(raw), turns: make(chan *exchange, pipelined), opened: now, lastUse: now}
	s.atDoor.Add(1)
	defer s.atDoor.Add(-1)
	for waited := false; !s.enter(c); waited = true {
		if !waited {
			s.node.counters.add(clientsWaited)
		}
		time.Sleep(time.Millisecond)
	}
	go c.write()
	go c.read()
}

func (s *clients) enter(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.most || s.crowded() {
		s.dismiss(1 + s.most/16) // some ahead, as each takes a moment to go
	}
	if len(s.open) >= s.most+s.spare {
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
	for _, one := range idle[:min(n, len(idle))] {
		if !one.used || !fresh || s.crowded() || len(s.open) >= s.most+s.spare || n >= len(s.open) ||
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
		(c.began.IsZero() || now.Sub(c.began) > slowUnderFlood)
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

// isLast tells whether the connection is to be closed after this answer. It is not while it holds further tasks, as
// they would be lost, and from here on it takes none.
func (c *client) isLast(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 1 || !x.last && !c.leaving && !c.side.node.leaving() {
		return false
	}
	c.closed = true
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
		r, body, err := c.next()
		if err != nil && !bad(err) {
			return
		}
		if !c.begin() {
			c.drain()
			return
		}
		x := newExchange()
		mine = append(unsettled(mine), x)
		if err != nil {
			n.counters.add(tasksBad)
			x.last = true // what else stands on the connection can't be told apart
			x.settle(answer{status: statusOf(err)})
		} else {
			x.last = r.Close
			c.take(x, r, body)
		}
		c.turns <- x
		if x.last {
			c.drain()
			return
		}
	}
}

// next reads one message. A client may take its time before it begins one, not within, and not before its first: a
// connection that says nothing holds descriptors.
func (c *client) next() (*http.Request, []byte, error) {
	first := !c.used
	for len(c.conn.pending()) == 0 {
		if first {
			c.readFor(time.Until(c.opened.Add(slowMessage)))
		} else {
			c.readFor(idleClient)
		}
		err := c.conn.fill()
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.conn.has() || c.stays()) {
			continue
		}
		if err != nil {
			return nil, nil, errGone
		}
	}
	c.mu.Lock()
	c.began = time.Now()
	from := c.began
	if first {
		from = c.opened
	}
	c.conn.SetReadDeadline(from.Add(slowMessage))
	c.mu.Unlock()
	return c.conn.fromClient()
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
		d = lingers
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
func (c *client) take(x *exchange, r *http.Request, body []byte) {
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
	if n.held.Add(int64(len(body))) > n.mostHeld.Load() {
		n.held.Add(-int64(len(body)))
		n.counters.add(tasksNoRoom)
		x.settle(n.noRoom())
		return
	}
	x.task = task
	x.keep(r, body)
	n.loop.enter(func() { n.loop.arrived(x) })
}

// noRoom declines a task that never reached the decisions, nor any server.
func (n *Node) noRoom() answer {
	a := answer{status: http.StatusServiceUnavailable}
	if n.settings.Policy.MayAdvise {
		a.advice = n.settings.Policy.MaxAdvice
	}
	return a
}

// taskOf reads what the decisions need to know of a task.
func (n *Node) taskOf(r *http.Request, now int64) (policy.Task, error) {
	h := r.Header
	t := policy.Task{ID: policy.TaskID(h.Get(headerTask)), Repeated: h.Get(headerRepeated) == "1"}
	if t.ID == "" || len(t.ID) > 128 {
		return t, errors.New(headerTask + ": expected an id of at most 128 bytes")
	}
	category := h.Get(headerCategory)
	if category == "" {
		category, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	var known bool
	if t.Category, known = n.categories[category]; !known {
		return t, fmt.Errorf("%s: expected a category of the settings, got %q", headerCategory, category)
	}
	if name := h.Get(headerCustomer); name != "" {
		if t.Customer, known = n.customers[name]; !known {
			return t, fmt.Errorf("%s: expected a customer of the settings, got %q", headerCustomer, name)
		}
	}
	t.HardLimit = now + n.settings.HardLimits[t.Category]
	if text := h.Get(headerRemaining); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			return t, fmt.Errorf("%s: expected whole milliseconds, got %q", headerRemaining, text)
		}
		t.HardLimit = min(t.HardLimit, now+wait*milli)
	}
	// A guess that cannot be read is no guess; the task itself is sound.
	if cost, err := strconv.ParseInt(h.Get(headerCost), 10, 64); err == nil && cost > 0 && cost < 1e12 {
		t.Cost = cost * 1000
	}
	return t, nil
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
			gone = !c.say(&a, c.isLast(x))
		}
		c.side.node.held.Add(-int64(len(x.body)))
		c.end()
	}
}

// say writes one answer and tells whether the connection goes on. After the last it waits a moment for the client to
// close, as closing on a client that is still sending would throw the answer away.
func (c *client) say(a *answer, last bool) (goesOn bool) {
	defer c.side.node.caught("answer", func() { c.conn.Close() })
	c.conn.SetWriteDeadline(time.Now().Add(slowWrite))
	if _, err := c.conn.Write(a.text(last)); err != nil {
		c.conn.Close()
		return false
	}
	if last {
		if half, ok := c.conn.Conn.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		c.readFor(lingers)
	}
	return !last
}
