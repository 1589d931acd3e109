package fleet

// This file owns what stands outside the nodes in a fleet of processes: servers that note every task that comes, and a discovery that
// tells what it is told to. What a node did is read here, from what came over sockets, never from what the node says.

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

// Server answers every task at once, and notes when each came.
type Server struct {
	Name string

	l     net.Listener
	mu    sync.Mutex
	came  []time.Time
	tasks map[string]int
	open  map[net.Conn]bool
	down  bool
	note  func(Arrival)
}

// Arrival is one task as a server saw it.
type Arrival struct {
	Task           string
	Came, Answered time.Time
	Closed         time.Time // when the connection was seen to end, for the last task on it
}

// Note has every task told to a function once it is answered, by the server's goroutine, and the last one of a connection again when
// that has ended.
func (s *Server) Note(one func(Arrival)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note = one
}

// Down has the server close all connections, and every new one at once, or brings it back.
func (s *Server) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for c := range s.open {
		c.Close()
	}
}

// begin notes a connection; false: the server is down.
func (s *Server) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	return !s.down
}

func (s *Server) end(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Came are the moments at which tasks came, in order.
func (s *Server) Came() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.came...)
}

func newServer(name string) (*Server, error) {
	s := &Server{Name: name, tasks: map[string]int{}, open: map[net.Conn]bool{}}
	var err error
	s.l, err = serve(s.answer)
	return s, err
}

func (s *Server) answer(c net.Conn) {
	defer s.end(c)
	if !s.begin(c) {
		return
	}
	var last Arrival
	defer func() {
		if last.Closed = time.Now(); last.Task != "" {
			s.tell(last)
		}
	}()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		last = Arrival{Task: r.Header.Get("X-Txn"), Came: time.Now()}
		s.mu.Lock()
		s.came = append(s.came, last.Came)
		s.tasks[last.Task]++
		s.mu.Unlock()
		last.Answered = time.Now() // before the answer is written, so that nobody can know of it earlier
		s.tell(last)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pressure: queue=0\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (s *Server) tell(a Arrival) {
	s.mu.Lock()
	note := s.note
	s.mu.Unlock()
	if note != nil {
		note(a)
	}
}

// Listing is one server as discovery tells it.
type Listing struct {
	Server  *Server
	Health  string // up, draining or removed
	Started int64  // milliseconds; 0: long ago
}

// Discovery tells every watch the same list, whole each time.
type Discovery struct {
	l net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	version int64
	list    []Listing
	down    bool
	over    bool
	most    int // watches at a time; 0: any number
	conns   map[net.Conn]bool
}

func newDiscovery() (*Discovery, error) {
	d := &Discovery{conns: map[net.Conn]bool{}}
	d.changed = sync.NewCond(&d.mu)
	var err error
	d.l, err = serve(d.follow)
	go d.remind()
	return d, err
}

// Address is where it takes calls.
func (d *Discovery) Address() string { return d.l.Addr().String() }

// Tell has all watches told a list of a version, which may be lower than one before.
func (d *Discovery) Tell(version int64, list ...Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.list = version, list
	d.changed.Broadcast()
}

// Down ends all watches and takes no call, or brings discovery back.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	for c := range d.conns {
		c.Close()
	}
	d.changed.Broadcast()
}

// Most has discovery take no call while so many follow it; 0: any number.
func (d *Discovery) Most(watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = watches
}

// remind has every watch told an empty line now and then, until discovery's socket is closed.
func (d *Discovery) remind() {
	for ; ; time.Sleep(time.Second) {
		d.mu.Lock()
		over := d.over
		d.mu.Unlock()
		if over {
			return
		}
		d.changed.Broadcast()
	}
}

// Close ends it.
func (d *Discovery) Close() {
	d.Down(true)
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	d.l.Close()
}

// Watches is how many follow the list.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

func (d *Discovery) text() string {
	var hosts []string
	for _, l := range d.list {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":%d}`, l.Server.Name, l.Server.l.Addr(), l.Health, l.Started))
	}
	return fmt.Sprintf("{\"seq\":%d,\"whole\":true,\"hosts\":[%s]}\n", d.version, strings.Join(hosts, ","))
}

func (d *Discovery) follow(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || d.most > 0 && len(d.conns) >= d.most {
		return
	}
	d.conns[c] = true
	defer delete(d.conns, c)
	go func() { // wakes the watch below when its caller is gone
		io.Copy(io.Discard, c)
		c.Close()
		d.changed.Broadcast()
	}()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for told := ""; !d.down; d.changed.Wait() {
		text := d.text()
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
