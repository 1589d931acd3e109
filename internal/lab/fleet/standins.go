package fleet

// Stand-ins around a fleet of processes: endpoints that record every request, and a discovery that serves a given list.
// What a node did is read from what came over the sockets, never from what it reports.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Endpoint answers every request at once, and notes when each came.
type Endpoint struct {
	Name string

	listener net.Listener
	mu       sync.Mutex
	arrivals []time.Time
	requests map[string]int
	conns    map[net.Conn]bool
	down     bool
	observer func(Arrival)
}

// Arrival is one request as an endpoint saw it.
type Arrival struct {
	Request               string
	ArrivedAt, AnsweredAt time.Time
	ClosedAt              time.Time // when the connection was seen to end, for the last request on it
}

// Observe has every request told to a function once it is answered, by the endpoint's goroutine, and the last one of a connection again when
// that has ended.
func (s *Endpoint) Observe(one func(Arrival)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = one
}

// SetDown has the server close all connections, and every new one at once, or brings it back.
func (s *Endpoint) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for c := range s.conns {
		c.Close()
	}
}

// begin notes a connection; false: the server is down.
func (s *Endpoint) addConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return !s.down
}

func (s *Endpoint) removeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Arrivals are the moments at which requests came, in order.
func (s *Endpoint) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

func newEndpoint(name string) (*Endpoint, error) {
	s := &Endpoint{Name: name, requests: map[string]int{}, conns: map[net.Conn]bool{}}
	var err error
	s.listener, err = serveConns(s.serveConn)
	return s, err
}

func (s *Endpoint) serveConn(c net.Conn) {
	defer s.removeConn(c)
	if !s.addConn(c) {
		return
	}
	var last Arrival
	defer func() {
		if last.ClosedAt = time.Now(); last.Request != "" {
			s.notify(last)
		}
	}()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		last = Arrival{Request: r.Header.Get("X-Txn"), ArrivedAt: time.Now()}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, last.ArrivedAt)
		s.requests[last.Request]++
		s.mu.Unlock()
		last.AnsweredAt = time.Now() // before the answer is written, so that nobody can know of it earlier
		s.notify(last)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pressure: queue=0\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (s *Endpoint) notify(a Arrival) {
	s.mu.Lock()
	note := s.observer
	s.mu.Unlock()
	if note != nil {
		note(a)
	}
}

// ListEntry is one server as discovery tells it.
type ListEntry struct {
	Endpoint  *Endpoint
	State     string // up, draining or removed
	StartedMs int64  // milliseconds; 0: long ago
}

// Discovery tells every watch the same list, whole each time.
type Discovery struct {
	listener net.Listener

	mu         sync.Mutex
	changed    *sync.Cond
	version    int64
	list       []ListEntry
	down       bool
	closed     bool
	maxWatches int // watches at a time; 0: any number
	conns      map[net.Conn]bool
}

func newDiscovery() (*Discovery, error) {
	d := &Discovery{conns: map[net.Conn]bool{}}
	d.changed = sync.NewCond(&d.mu)
	var err error
	d.listener, err = serveConns(d.serveWatch)
	go d.sendKeepAlives()
	return d, err
}

// Address is where it takes calls.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// SetList has all watches told a list of a version, which may be lower than one before.
func (d *Discovery) SetList(version int64, list ...ListEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.list = version, list
	d.changed.Broadcast()
}

// SetDown ends all watches and takes no call, or brings discovery back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	for c := range d.conns {
		c.Close()
	}
	d.changed.Broadcast()
}

// LimitWatches has discovery take no call while so many follow it; 0: any number.
func (d *Discovery) LimitWatches(watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxWatches = watches
}

// remind has every watch told an empty line now and then, until discovery's socket is closed.
func (d *Discovery) sendKeepAlives() {
	for ; ; time.Sleep(time.Second) {
		d.mu.Lock()
		over := d.closed
		d.mu.Unlock()
		if over {
			return
		}
		d.changed.Broadcast()
	}
}

// Close ends it.
func (d *Discovery) Close() {
	d.SetDown(true)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.listener.Close()
}

// Watches is how many follow the list.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

func (d *Discovery) encodeList() string {
	var hosts []string
	for _, l := range d.list {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":%d}`, l.Endpoint.Name, l.Endpoint.listener.Addr(), l.State, l.StartedMs))
	}
	return fmt.Sprintf("{\"seq\":%d,\"whole\":true,\"hosts\":[%s]}\n", d.version, strings.Join(hosts, ","))
}

func (d *Discovery) serveWatch(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || d.maxWatches > 0 && len(d.conns) >= d.maxWatches {
		return
	}
	d.conns[c] = true
	defer delete(d.conns, c)
	go func() { // wakes the watch below when its caller is gone
		_, _ = io.Copy(io.Discard, c)
		c.Close()
		d.changed.Broadcast()
	}()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for told := ""; !d.down; d.changed.Wait() {
		text := d.encodeList()
		if text == told {
			text = "\n"
		} else {
			told = text
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}
