package node

// This file owns the client side: the listener, its connections, reading tasks and writing the one answer to each,
// in order. It must never talk to a server, nor hold back an answer that is there.

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"fawnglade/policy"
)

const (
	idleClient  = 2 * time.Minute
	slowMessage = 10 * time.Second // for a message that has begun
	slowWrite   = 2 * time.Second  // for a client that does not read its answer
	pipelined   = 4                // tasks read ahead on one connection
)

type clients struct {
	node     *Node
	listener net.Listener
	most     int // connections; beyond these only a few, to say that there is no room
	spare    int

	mu   sync.Mutex
	open map[*client]struct{}
}

// client is one connection. Its reader and its writer meet in turns, where exchanges stand in the order of their
// tasks.
type client struct {
	side  *clients
	conn  *conn
	turns chan *exchange

	mu      sync.Mutex
	busy    int
	closed  bool
	lastUse time.Time
	crowded bool // taken beyond the bound
}

func newClients(n *Node, listener net.Listener, most, spare int) *clients {
	return &clients{node: n, listener: listener, most: most, spare: spare, open: map[*client]struct{}{}}
}

// accept takes connections until the listener is closed. It never pauses for want of room: a task counts as taken
// once it is in the machine, whether or not anyone has accepted its connection.
func (s *clients) accept() {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond) // no descriptor left for a moment; others are being closed
			continue
		}
		s.node.counters.add(clientsTaken)
		s.admit(raw)
	}
}

func (s *clients) admit(raw net.Conn) {
	c := &client{side: s, conn: newConn(raw), turns: make(chan *exchange, pipelined), lastUse: time.Now()}
	s.mu.Lock()
	count := len(s.open)
	if count >= s.most && s.closeIdle(1, time.Time{}) > 0 {
		count--
	}
	c.crowded = count >= s.most
	full := count >= s.most+s.spare
	if !full {
		s.open[c] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		s.node.counters.add(clientsTurnedAway)
		raw.Close()
		return
	}
	go c.write()
	go c.read()
}

// closeIdle closes up to n of the connections that have stood idle, longest first, and not used since the given
// time; the lock is held.
func (s *clients) closeIdle(n int, since time.Time) int {
	closed := 0
	for closed < n {
		var oldest *client
		for c := range s.open {
			if c.idleSince(since) && (oldest == nil || c.lastUse.Before(oldest.lastUse)) {
				oldest = c
			}
		}
		if oldest == nil {
			break
		}
		if oldest.closeIfIdle() {
			s.node.counters.add(clientsClosedIdle)
			closed++
		}
		delete(s.open, oldest)
	}
	return closed
}

// settle closes what stands idle and tells how many connections are left. A client that has just been answered may
// already be writing its next task, so a connection is left a moment.
func (s *clients) settle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle(len(s.open), time.Now().Add(-50*time.Millisecond))
	return len(s.open)
}

func (c *client) idleSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy == 0 && (since.IsZero() || c.lastUse.Before(since))
}

// closeIfIdle closes the connection between tasks. The reader looks at closed under the same lock before it takes a
// task, so none is taken and then cut off.
func (c *client) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 0 || c.closed {
		return false
	}
	c.closed = true
	c.conn.Close()
	return true
}

// begin marks the connection as holding one task more, unless it has been closed.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy++
	return true
}

func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy--
	c.lastUse = time.Now()
}

// read takes tasks from the connection until it ends; then those without an answer are withdrawn.
func (c *client) read() {
	var mine []*exchange
	n := c.side.node
	defer func() {
		c.side.mu.Lock()
		delete(c.side.open, c)
		c.side.mu.Unlock()
		for _, x := range mine {
			if !x.settled.Load() {
				n.loop.enter(func() { n.loop.withdrawn(x) })
			}
		}
		close(c.turns)
	}()
	defer n.caught("client", func() {})
	for {
		if c.conn.from == c.conn.to {
			c.conn.SetReadDeadline(time.Now().Add(idleClient))
		}
		r, body, err := c.next()
		if err != nil && !bad(err) {
			return
		}
		if !c.begin() {
			return
		}
		x := newExchange()
		mine = append(unsettled(mine), x)
		if err != nil {
			n.counters.add(tasksBad)
			x.last = true
			x.settle(answer{status: statusOf(err)})
			c.turns <- x
			<-x.written // what else stands on the connection can't be told apart
			return
		}
		x.last = r.Close
		c.take(x, r, body)
		c.turns <- x
	}
}

// next reads one message. A client may take its time before it begins one, not within.
func (c *client) next() (*http.Request, []byte, error) {
	if len(c.conn.pending()) == 0 {
		if err := c.conn.fill(); err != nil {
			return nil, nil, err
		}
	}
	c.conn.SetReadDeadline(time.Now().Add(slowMessage))
	r, body, err := c.conn.request()
	c.conn.SetReadDeadline(time.Time{})
	return r, body, err
}

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
		if n.stopping.Load() {
			status = http.StatusServiceUnavailable
		}
		x.settle(answer{status: status})
		return
	}
	if c.crowded {
		n.counters.add(tasksNoRoom)
		x.last = true
		x.settle(answer{status: http.StatusServiceUnavailable})
		return
	}
	task, err := n.taskOf(r, n.clock.now())
	if err != nil {
		n.counters.add(tasksBad)
		x.settle(answer{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")})
		return
	}
	x.task = task
	x.keep(r, body)
	n.loop.enter(func() { n.loop.arrived(x) })
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
		t.HardLimit = now + wait*milli
	}
	// A guess that cannot be read is no guess; the task itself is sound.
	if cost, err := strconv.ParseInt(h.Get(headerCost), 10, 64); err == nil && cost > 0 && cost < 1e12 {
		t.Cost = cost * 1000
	}
	if cookie, err := r.Cookie(cookieKey); err == nil {
		t.Key = cookie.Value
	}
	return t, nil
}

// write writes the answers in the order of the tasks. Once the client has gone it only waits for what is still due.
func (c *client) write() {
	defer c.conn.Close()
	gone := false
	for x := range c.turns {
		a := <-x.answered
		last := x.last || c.side.node.stopping.Load()
		if a.status == 0 {
			gone = true
		}
		if !gone {
			c.conn.SetWriteDeadline(time.Now().Add(slowWrite))
			if _, err := c.conn.Write(a.text(last)); err != nil || last {
				gone = true
				c.conn.Close()
			}
		}
		c.end()
		close(x.written)
	}
}
