package fleet

// Fakes around a fleet of processes: endpoints that record every request, and a discovery that serves a given list.
// What a node did is taken from its traffic on the sockets, not from its reports.

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

// Endpoint answers every request immediately, and records when each arrived.
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

// Arrival is one request as received by an endpoint.
type Arrival struct {
	Request               string
	ArrivedAt, AnsweredAt time.Time
	ClosedAt              time.Time // when the connection ended, for the last request on it
}

// Observe sets a function that is called on the connection's goroutine before each response is written, and once more
// for the last request of a connection when that has ended.
func (e *Endpoint) Observe(observer func(Arrival)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observer = observer
}

// SetDown takes the endpoint down, so that it closes all connections including new ones, or brings it back up.
func (e *Endpoint) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	for c := range e.conns {
		c.Close()
	}
}

// addConn registers a connection, and reports whether the endpoint is up.
func (e *Endpoint) addConn(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[c] = true
	return !e.down
}

func (e *Endpoint) removeConn(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// Arrivals returns the times at which requests arrived, in order.
func (e *Endpoint) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

func newEndpoint(name string) (*Endpoint, error) {
	e := &Endpoint{Name: name, requests: map[string]int{}, conns: map[net.Conn]bool{}}
	var err error
	e.listener, err = serveConns(e.serveConn)
	return e, err
}

func (e *Endpoint) serveConn(c net.Conn) {
	defer e.removeConn(c)
	if !e.addConn(c) {
		return
	}
	var last Arrival
	defer func() {
		if last.ClosedAt = time.Now(); last.Request != "" {
			e.notify(last)
		}
	}()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		last = Arrival{Request: r.Header.Get("X-Txn"), ArrivedAt: time.Now()}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, last.ArrivedAt)
		e.requests[last.Request]++
		e.mu.Unlock()
		last.AnsweredAt = time.Now() // before the response is written, so that no node can have it earlier
		e.notify(last)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pressure: queue=0\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (e *Endpoint) notify(a Arrival) {
	e.mu.Lock()
	observer := e.observer
	e.mu.Unlock()
	if observer != nil {
		observer(a)
	}
}

// ListEntry is one endpoint in discovery's list.
type ListEntry struct {
	Endpoint  *Endpoint
	State     string // up, draining or removed
	StartedMs int64  // start of the endpoint, milliseconds; 0: long ago
}

// Discovery sends the complete list to every watch on each change.
type Discovery struct {
	listener net.Listener

	mu         sync.Mutex
	changed    *sync.Cond
	version    int64
	list       []ListEntry
	down       bool
	closed     bool
	maxWatches int // most watches at a time; 0: no limit
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

// Address returns the address at which discovery accepts calls.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// SetList sends a list to all watches. Its version may be lower than an earlier one.
func (d *Discovery) SetList(version int64, list ...ListEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.list = version, list
	d.changed.Broadcast()
}

// SetDown takes discovery down, which ends all watches and refuses calls, or brings it back up.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	for c := range d.conns {
		c.Close()
	}
	d.changed.Broadcast()
}

// LimitWatches limits the number of concurrent watches; 0: no limit. Discovery refuses further calls.
func (d *Discovery) LimitWatches(watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxWatches = watches
}

// sendKeepAlives makes every watch send an empty line each second, until Close.
func (d *Discovery) sendKeepAlives() {
	for ; ; time.Sleep(time.Second) {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		d.changed.Broadcast()
	}
}

// Close ends all watches and closes the listener.
func (d *Discovery) Close() {
	d.SetDown(true)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.listener.Close()
}

// Watches returns the number of open watches.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

func (d *Discovery) encodeList() string {
	var hosts []string
	for _, entry := range d.list {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":%d}`, entry.Endpoint.Name, entry.Endpoint.listener.Addr(), entry.State, entry.StartedMs))
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
	go func() { // wakes the loop below when the caller has closed the connection
		_, _ = io.Copy(io.Discard, c)
		c.Close()
		d.changed.Broadcast()
	}()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for lastSent := ""; !d.down; d.changed.Wait() {
		text := d.encodeList()
		if text == lastSent {
			text = "\n"
		} else {
			lastSent = text
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}
