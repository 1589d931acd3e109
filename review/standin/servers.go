package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// maxWaiting is how many requests a server holds before it turns others away.
const maxWaiting = 64

// serverOptions say how all servers of a process behave.
type serverOptions struct {
	work       time.Duration // mean time of a request
	report     string        // load report in each answer
	copyShare  float64       // share of the answers that are followed by a second copy
	copyAfter  [2]time.Duration
	linkDelays func(from, to int) time.Duration
}

// serversCommand runs the servers of the plan whose names are given, and the links to them, until it is ended. Each
// answer holds what its request asked for, so that a client can tell an answer that belongs to another request.
func serversCommand(args []string) error {
	flags, planPath := newFlags("servers")
	names := flags.String("names", "", "names of the servers, separated by commas")
	work := flags.Duration("work", 5*time.Millisecond, "mean time of a request")
	report := flags.String("report", "queue=0,eps=0", "load report in each answer")
	copyShare := flags.Float64("copies", 0, "share of the answers that are followed by a second copy")
	copyFrom := flags.Duration("copy-from", time.Millisecond, "the earliest second copy, after the answer")
	copyTo := flags.Duration("copy-to", 5*time.Millisecond, "the latest second copy, after the answer")
	same := flags.Duration("same", 0, "one-way delay within a zone")
	cross := flags.Duration("cross", 0, "one-way delay between zones")
	recordPath := flags.String("record", "", "file to which a line is added for each request that ran")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p, err := readPlan(*planPath)
	if err != nil {
		return err
	}
	record, err := os.OpenFile(*recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	options := serverOptions{work: *work, report: *report, copyShare: *copyShare, copyAfter: [2]time.Duration{*copyFrom, *copyTo}}
	options.linkDelays = func(from, to int) time.Duration {
		if from == to {
			return *same
		}
		return *cross
	}
	wanted := strings.Split(*names, ",")
	for _, described := range p.Servers {
		for _, name := range wanted {
			if described.Name == name {
				if err := startServer(described, options, record); err != nil {
					return err
				}
			}
		}
	}
	select {}
}

// server is one server. It answers as the protocol page says.
type server struct {
	name    string
	options serverOptions
	record  io.Writer // one short line per write, so that lines do not mix

	mu     sync.Mutex
	inWork int
}

func startServer(described planServer, options serverOptions, record io.Writer) error {
	s := &server{name: described.Name, options: options, record: record}
	listener, err := net.Listen("tcp", described.Listen)
	if err != nil {
		return err
	}
	go acceptAll(listener, s.serve)
	for zone, address := range described.Dial {
		near, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		delay := options.linkDelays(zone, described.Zone)
		go acceptAll(near, func(conn net.Conn) { link(conn, described.Listen, delay) })
	}
	return nil
}

func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// serverConn is a connection of a server. waiting is set from the first byte of a request to the end of its answer. A
// second copy is sent only while it is not set, and no request has begun since the first copy.
type serverConn struct {
	net.Conn
	in *bufio.Reader

	mu       sync.Mutex
	waiting  bool
	requests int // begun so far
}

// begin records that a request has begun to come.
func (c *serverConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	c.requests++
}

// end records that an answer was written, and returns the number of its request.
func (c *serverConn) end() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.requests
}

// serve reads requests from a connection and answers them, one after another.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{Conn: conn, in: bufio.NewReader(conn)}
	for {
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		c.begin()
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		digest := sha256.New()
		length, err := io.Copy(digest, r.Body)
		if err != nil {
			return
		}
		answer := s.answer(r, fmt.Sprintf("%x", digest.Sum(nil)[:8]), length)
		if _, err := c.Write(answer); err != nil {
			return
		}
		number := c.end()
		if id := r.Header.Get("X-Txn"); id != "" && rand.Float64() < s.options.copyShare {
			go s.sendCopy(c, number, id, answer)
		}
	}
}

// sendCopy sends an answer a second time, right behind the first but a little later. It sends none if another request
// has come on the connection by then, or if this machine woke it too late.
func (s *server) sendCopy(c *serverConn, number int, id string, answer []byte) {
	began := time.Now()
	from, to := s.options.copyAfter[0], s.options.copyAfter[1]
	time.Sleep(from + rand.N(to-from))
	c.mu.Lock()
	defer c.mu.Unlock()
	late := time.Since(began)
	if c.waiting || c.requests != number || late > to {
		return
	}
	if _, err := c.Write(answer); err == nil {
		s.note("copied after "+late.Round(10*time.Microsecond).String(), id, 0)
	}
}

// answer runs a request, or turns it away, and returns the answer.
func (s *server) answer(r *http.Request, digest string, length int64) []byte {
	id := r.Header.Get("X-Txn")
	switch {
	case r.URL.Path == "/health" || r.URL.Path == "/status/load":
		return encode("200 OK", "", s.options.report)
	case id == "":
		return encode("404 Not Found", "", "")
	}
	if !s.begin() {
		return encode("503 Service Unavailable", "X-Turned-Away: 1\r\n", "")
	}
	s.note("ran", id, length)
	time.Sleep(time.Duration(float64(s.options.work) * (0.5 + rand.Float64())))
	s.end()
	return encode("200 OK", "X-Pressure: "+s.options.report+"\r\n", answerBody(id, digest))
}

// answerBody is the answer made for one request.
func answerBody(id, digest string) string { return "answer to " + id + " with body " + digest + "\n" }

func encode(status, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func (s *server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inWork >= maxWaiting {
		return false
	}
	s.inWork++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inWork--
}

// note adds a line to the record.
func (s *server) note(event, id string, length int64) {
	line := fmt.Sprintf("%s server %s %s %s bytes %d\n", clock(), s.name, event, id, length)
	if _, err := io.WriteString(s.record, line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// clock returns the time of day for records.
func clock() string { return time.Now().Format("15:04:05.000") }

// link carries the bytes of one connection to a server and back, each delayed by the same time.
func link(near net.Conn, address string, delay time.Duration) {
	far, err := net.Dial("tcp", address)
	if err != nil {
		near.Close()
		return
	}
	go carry(near, far, delay)
	carry(far, near, delay)
}

// piece is what was read at one time, and when it is to be written. An error stands for the end of the connection.
type piece struct {
	bytes []byte
	due   time.Time
	err   error
}

// carry passes on one direction of a connection. At most 64 pieces are on their way, so that a receiver that does not
// read holds up the sender. The end of one direction ends both, as a process that dies does.
func carry(from, to net.Conn, delay time.Duration) {
	pieces := make(chan piece, 64)
	go func() {
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			pieces <- piece{buffer[:n], time.Now().Add(delay), err}
			if err != nil {
				return
			}
		}
	}()
	defer from.Close()
	defer to.Close()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		if len(next.bytes) > 0 {
			if _, err := to.Write(next.bytes); err != nil {
				break
			}
		}
		if errors.Is(next.err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
		}
		if next.err != nil {
			return
		}
	}
	go func() { // the reader above must not stay blocked
		for next := range pieces {
			if next.err != nil {
				return
			}
		}
	}()
}
