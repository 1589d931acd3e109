package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// desyncCase is a way in which upstreams send bytes that no request asked for.
type desyncCase struct {
	copyShare     float64          // of the responses, followed by a second copy
	copyDelay     [2]time.Duration // of the copy after its response
	rejectShare   float64          // of the requests
	greetNewConns bool             // a response is sent on each new connection, before any request
	oneWay        time.Duration    // delay of the link, each way
}

// desyncUpstreams are upstreams that share a case and a record of the requests that ran.
type desyncUpstreams struct {
	desyncCase
	mu   sync.Mutex
	runs map[string]int // by request ID
}

// delayedWrite is a response on its way to the node.
type delayedWrite struct {
	text string
	due  time.Time
}

// copyingConn is a connection to such an upstream. A copy is sent only while nothing else waits on it.
type copyingConn struct {
	net.Conn
	oneWay   time.Duration
	onTheWay chan delayedWrite
	mu       sync.Mutex
	waiting  bool
	requests int
}

func newCopyingConn(raw net.Conn, oneWay time.Duration) *copyingConn {
	c := &copyingConn{Conn: raw, oneWay: oneWay, onTheWay: make(chan delayedWrite, 64)}
	go func() {
		for next := range c.onTheWay {
			time.Sleep(time.Until(next.due))
			writeText(c.Conn, next.text)
		}
	}()
	return c
}

func (c *copyingConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	c.requests++
}

func (c *copyingConn) sendLocked(text string) {
	c.onTheWay <- delayedWrite{text, time.Now().Add(c.oneWay)}
}

func (c *copyingConn) respond(text string) (number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.sendLocked(text)
	return c.requests
}

func (c *copyingConn) sendCopy(number int, text string, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting && c.requests == number && time.Now().Before(latest) {
		c.sendLocked(text)
	}
}

func responseWith(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func (u *desyncUpstreams) serve(raw net.Conn) {
	c := newCopyingConn(raw, u.oneWay)
	if u.greetNewConns {
		writeText(raw, responseWith("200 OK", "unasked"))
	}
	for in := bufio.NewReader(raw); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		time.Sleep(u.oneWay)
		c.begin()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := u.response(r.Header.Get("X-Txn"))
		number := c.respond(text)
		if rand.Float64() < u.copyShare {
			delay := u.copyDelay[0] + rand.N(u.copyDelay[1]-u.copyDelay[0])
			latest := time.Now().Add(u.copyDelay[1])
			time.AfterFunc(delay, func() { c.sendCopy(number, text, latest) })
		}
	}
}

func (u *desyncUpstreams) response(id string) string {
	if rand.Float64() < u.rejectShare {
		return responseWith("503 Busy\r\nX-Turned-Away: 1", "")
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	time.Sleep(5*time.Millisecond + rand.N(20*time.Millisecond))
	return responseWith("200 OK", "for "+id)
}

// desyncProfiles are the classes of the plays.
const desyncProfiles = `
{"deadline_us":2000000,"name":"view","objective_us":1000000,"repeat":"safe"},
{"deadline_us":2000000,"group":"zone","memory_span_us":1000000,"name":"update","objective_us":1000000,"repeat":"keyed"},
{"deadline_us":2000000,"name":"pay","objective_us":1000000,"repeat":"unsafe"}`

// desyncResult is what the clients of one play saw.
type desyncResult struct {
	served, foreign, other atomic.Int64
	firstForeign           atomic.Value // a foreignResponse
}

// foreignResponse is a response that was not made for its request.
type foreignResponse struct {
	request, class, body string
	after                time.Duration
}

// play starts a new process, sends it requests from a crowd of clients for a while, and stops it.
func (u *desyncUpstreams) play(t *testing.T, result *desyncResult) {
	const (
		upstreamCount = 6
		clientCount   = 24
		length        = 500 * time.Millisecond
	)
	var upstreams []string
	for range upstreamCount {
		upstreams = append(upstreams, startTCPServer(t, u.serve))
	}
	listen := freeAddress(t)
	node := nodeCommand(t, playConfig(listen, desyncProfiles, upstreams...), "serve")
	var log bytes.Buffer
	node.Stderr = &log
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		killAndWait(node)
		if first, ok := result.firstForeign.Load().(foreignResponse); ok {
			t.Log(firstLineWith(&log, `"`+first.request+`"`))
		}
	}()
	eventually(t, "ready", func() bool { return requestStatus(listen, "GET /ready") == 200 })
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() { sendInTurn(listen, fmt.Sprintf("%s-%d", listen, i), time.Now().Add(length), result) })
	}
	clients.Wait()
}

// firstLineWith returns the first line of a log that contains a text, or an empty string.
func firstLineWith(log *bytes.Buffer, text string) string {
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// sendInTurn sends one request after another on one connection and compares each body with the request's ID.
func sendInTurn(address, name string, until time.Time, result *desyncResult) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	classes := []string{"view", "update", "pay"}
	in := bufio.NewReader(conn)
	for i := 0; time.Now().Before(until); i++ {
		id, class := fmt.Sprintf("%s-%d", name, i), classes[i%len(classes)]
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(5 * time.Second))
		writef(conn, "POST /%s HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: %s\r\nIdempotency-Key: %s\r\n"+
			"X-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n", class, id, class, id)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		switch {
		case err != nil:
			return
		case r.StatusCode != http.StatusOK:
			result.other.Add(1)
		case string(body) == "for "+id:
			result.served.Add(1)
		default:
			result.foreign.Add(1)
			result.firstForeign.CompareAndSwap(nil, foreignResponse{id, class, string(body), time.Since(sentAt)})
		}
	}
}

// Guards against an answer, or a rejection, that is taken for that of another request.
func TestUnsolicitedResponseReachesNoOtherClient(t *testing.T) {
	const (
		plays  = 8
		milli  = time.Millisecond
		oneWay = 5 * milli
		served = 100 // a play that serves less proves nothing
	)
	for name, c := range map[string]desyncCase{
		"copies 1 to 9 ms late":  {oneWay: oneWay, copyShare: 0.3, copyDelay: [2]time.Duration{milli, 9 * milli}},
		"copies 8 to 16 ms late": {oneWay: oneWay, copyShare: 0.3, copyDelay: [2]time.Duration{8 * milli, 16 * milli}},
		"copies of rejections": {
			oneWay: oneWay, copyShare: 0.5, copyDelay: [2]time.Duration{milli, 12 * milli}, rejectShare: 0.05,
		},
		"nothing unsolicited": {oneWay: oneWay},
	} {
		t.Run(name, func(t *testing.T) {
			for play := range plays {
				if got := c.checkPlay(t, play); got < served {
					t.Errorf("play %d: got %d requests served, want %d", play, got, served)
				}
			}
		})
	}
}

// Guards against a response that an upstream sends on a new connection and that is taken for that of the first request.
func TestResponseOnNewConnectionReachesNoClient(t *testing.T) {
	const plays = 8
	for play := range plays {
		desyncCase{greetNewConns: true}.checkPlay(t, play)
	}
}

// checkPlay plays a case with a new process and checks that no client got what was not made for it. It returns how many
// requests were served.
func (c desyncCase) checkPlay(t *testing.T, play int) (served int64) {
	t.Helper()
	upstreams := &desyncUpstreams{desyncCase: c, runs: map[string]int{}}
	var result desyncResult
	upstreams.play(t, &result)
	if foreign := result.foreign.Load(); foreign > 0 {
		t.Errorf("play %d: %d of %d served requests got what was not made for them; first: %+v", play, foreign,
			foreign+result.served.Load(), result.firstForeign.Load())
	}
	upstreams.checkRuns(t, play)
	return result.served.Load()
}

// checkRuns checks that no request of the class that may not be repeated ran twice.
func (u *desyncUpstreams) checkRuns(t *testing.T, play int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, runs := range u.runs {
		number := 0
		if _, err := fmt.Sscan(id[strings.LastIndex(id, "-")+1:], &number); err == nil && number%3 == 2 && runs > 1 {
			t.Errorf("play %d: request %s of the class pay ran %d times, want once", play, id, runs)
		}
	}
}
