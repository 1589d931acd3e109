package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	windowClients = 6
	windowCalls   = 4 // of each client whose first attempts have no answer
	// windowSlack is by how much servers recall a request longer than the settings say: 50 ms for each time limit on
	// sockets, and 0.15 s for which a node may be held up.
	windowSlack = 200 * time.Millisecond
	windowPause = 20 * time.Millisecond // between two reads of a slow upstream
)

// windowCase is a play of requests that are idempotent by key: the first attempt at each runs and has no answer, and a
// later one is read slowly.
type windowCase struct {
	window        time.Duration
	bodyBytes     int
	chunked       bool
	rate          int // of the second attempt, bytes a second; 0: at once
	stopAfter     int // bytes of the second attempt's body, after which it is not read for stopFor
	stopFor       time.Duration
	receiveBuffer int  // of upstreams; 0: as the system has it
	firstHangs    bool // the first attempt is never answered; otherwise its connection is reset
	firstIsSlow   bool // the first attempt is read slowly, and the second one at once
	heldUp        bool // the node is stopped for 0.15 s as the window ends
	untroubled    int  // calls of each client before each of the troubled ones
	allServed     bool
}

// windowPlay is a windowCase while it is played.
type windowPlay struct {
	windowCase
	node *exec.Cmd

	mu       sync.Mutex
	attempts map[string]int         // by key, begun
	runs     map[string][]time.Time // by key
}

// serve reads requests and runs each that has come whole.
func (p *windowPlay) serve(conn net.Conn) {
	if p.receiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(p.receiveBuffer)
	}
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		key := r.Header.Get("Idempotency-Key")
		number := p.begin(key)
		if !p.read(r.Body, key, number) {
			return
		}
		p.mu.Lock()
		p.runs[key] = append(p.runs[key], time.Now())
		first := len(p.runs[key]) == 1 && isTroubled(key)
		p.mu.Unlock()
		switch {
		case first && p.firstHangs:
			_, _ = io.Copy(io.Discard, conn)
			return
		case first:
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		writeText(conn, responseWith("200 OK", key))
	}
}

// isTroubled reports whether the first attempt of a request has no answer.
func isTroubled(key string) bool { return strings.HasPrefix(key, "troubled") }

// begin counts an attempt and returns its number, from 1.
func (p *windowPlay) begin(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[key]++
	if p.heldUp && isTroubled(key) && p.attempts[key] == 2 {
		go p.holdUp()
	}
	return p.attempts[key]
}

// holdUp stops the node's process for 0.15 s around the end of a window that has just begun.
func (p *windowPlay) holdUp() {
	time.Sleep(p.window - 75*time.Millisecond)
	_ = p.node.Process.Signal(syscall.SIGSTOP)
	time.Sleep(150 * time.Millisecond)
	_ = p.node.Process.Signal(syscall.SIGCONT)
}

// read reads a body, and reports whether it has come whole.
func (p *windowPlay) read(body io.Reader, key string, number int) bool {
	slow := 2
	if p.firstIsSlow {
		slow = 1
	}
	if number != slow || !isTroubled(key) || p.rate == 0 && p.stopFor == 0 {
		_, err := io.Copy(io.Discard, body)
		return err == nil
	}
	if p.stopFor > 0 {
		if _, err := io.CopyN(io.Discard, body, int64(p.stopAfter)); err != nil {
			return false
		}
		time.Sleep(p.stopFor)
	}
	part := int64(p.rate) * int64(windowPause) / int64(time.Second)
	if p.rate == 0 {
		part = int64(p.bodyBytes)
	}
	for {
		n, err := io.CopyN(io.Discard, body, part)
		if err != nil {
			return errors.Is(err, io.EOF) && n < part
		}
		time.Sleep(windowPause)
	}
}

// request returns the text of a request.
func (p *windowPlay) request(key string) string {
	head := fmt.Sprintf("POST /order HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nIdempotency-Key: %s\r\nX-Remaining-Ms: 2500\r\n", key, key)
	body := strings.Repeat("x", p.bodyBytes)
	if p.chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, p.bodyBytes, body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, p.bodyBytes, body)
}

// call sends a request and returns the status of its answer, 0 if there is none.
func (p *windowPlay) call(listen, key string) int {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	writeText(conn, p.request(key))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode == http.StatusOK && string(body) != key {
		return 0
	}
	return r.StatusCode
}

// play plays the case against a new process, and returns the statuses of the answers by key.
func (p *windowPlay) play(t *testing.T) map[string]int {
	t.Helper()
	var upstreams []string
	for range 6 {
		upstreams = append(upstreams, startTCPServer(t, p.serve))
	}
	profile := fmt.Sprintf(`{"deadline_us":2500000,"group":"all","memory_span_us":%d,"name":"order",
"objective_us":600000,"late_worth":0.5,"repeat":"keyed"}`, p.window.Microseconds())
	listener, listenerFile := inheritedListener(t)
	listen := listener.Addr().String()
	config := playConfig(listen, profile, upstreams...)
	if p.firstHangs || p.firstIsSlow {
		config = strings.Replace(config, `"try_limit":3`, `"cancelling":true,"may_duplicate":true,"try_limit":3`, 1)
	}
	p.node = nodeCommand(t, config, "serve")
	p.node.Env = append(p.node.Env, "NODE_INHERITED_FD=3")
	p.node.ExtraFiles = []*os.File{listenerFile}
	if err := p.node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndWait(p.node) })
	eventually(t, "ready", func() bool { return requestStatus(listen, "GET /ready") == http.StatusOK })
	statuses := map[string]int{}
	var clients sync.WaitGroup
	for i := range windowClients {
		clients.Go(func() {
			for j := range windowCalls * (1 + p.untroubled) {
				key := fmt.Sprintf("c%d-%d", i, j)
				if j%(1+p.untroubled) == p.untroubled {
					key = "troubled-" + key
				}
				status := p.call(listen, key)
				p.mu.Lock()
				statuses[key] = status
				p.mu.Unlock()
			}
		})
	}
	clients.Wait()
	return statuses
}

// check checks that each request was answered and that none ran again after its upstreams had forgotten it.
func (p *windowPlay) check(t *testing.T, statuses map[string]int) {
	t.Helper()
	time.Sleep(100 * time.Millisecond) // what has been given up must not run later
	p.mu.Lock()
	defer p.mu.Unlock()
	served, retried, third := 0, 0, 0
	for key, status := range statuses {
		runs := p.runs[key]
		for _, run := range runs {
			if since := run.Sub(runs[0]); since > p.window+windowSlack {
				t.Errorf("%s ran again after %v, want none after %v", key, since, p.window+windowSlack)
			}
		}
		if status == 0 {
			t.Errorf("%s has no answer", key)
		}
		if status == http.StatusOK {
			served++
		}
		if p.attempts[key] > 1 {
			retried++
		}
		if p.attempts[key] > 2 {
			third++
		}
	}
	t.Logf("%d of %d served, %d with a second attempt, %d with a third", served, len(statuses), retried, third)
	if p.allServed && served < len(statuses) || retried == 0 {
		t.Errorf("%d of %d requests were served, %d retried", served, len(statuses), retried)
	}
}

// Guards against a retry that its upstream reads so slowly that it runs after the deduplication window has ended.
func TestRetryDoesNotRunAfterDedupWindow(t *testing.T) {
	const milli = time.Millisecond
	for name, c := range map[string]windowCase{
		"at once":              {window: 800 * milli, bodyBytes: 900 << 10, allServed: true},
		"at once, long window": {window: 5000 * milli, bodyBytes: 200 << 10, allServed: true},
		"slow":                 {window: 800 * milli, bodyBytes: 900 << 10, rate: 600_000, receiveBuffer: 128 << 10},
		"slow, read to the end in the buffer": {
			window: 800 * milli, bodyBytes: 700 << 10, rate: 600_000,
			receiveBuffer: 128 << 10,
		},
		"slow, whole in the buffer": {window: 500 * milli, bodyBytes: 180 << 10, rate: 150_000, receiveBuffer: 128 << 10},
		"slow, default buffer":      {window: 600 * milli, bodyBytes: 400 << 10, rate: 300_000},
		"slow, chunked":             {window: 800 * milli, bodyBytes: 900 << 10, rate: 600_000, chunked: true},
		"slow, short window":        {window: 300 * milli, bodyBytes: 500 << 10, rate: 500_000, receiveBuffer: 64 << 10},
		"slow, in time": {
			window: 2000 * milli, bodyBytes: 400 << 10, rate: 600_000, receiveBuffer: 128 << 10,
			allServed: true,
		},
		"stops": {window: 800 * milli, bodyBytes: 900 << 10, stopAfter: 300 << 10, stopFor: 1500 * milli},
		"stops near the end": {
			window: 800 * milli, bodyBytes: 200 << 10, stopAfter: 80 << 10, stopFor: 1500 * milli,
			receiveBuffer: 128 << 10,
		},
		"stops and goes on in time": {
			window: 1500 * milli, bodyBytes: 300 << 10, stopAfter: 100 << 10,
			stopFor: 150 * milli, allServed: true,
		},
		"first answer never comes": {
			window: 800 * milli, bodyBytes: 900 << 10, rate: 600_000, firstHangs: true,
			receiveBuffer: 128 << 10, untroubled: 5,
		},
		"first attempt is slow": {
			window: 400 * milli, bodyBytes: 600 << 10, rate: 300_000, firstIsSlow: true,
			firstHangs: true, receiveBuffer: 128 << 10, untroubled: 5,
		},
		"held up": {window: 800 * milli, bodyBytes: 700 << 10, rate: 600_000, heldUp: true, receiveBuffer: 128 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := &windowPlay{windowCase: c, attempts: map[string]int{}, runs: map[string][]time.Time{}}
			play.check(t, play.play(t))
		})
	}
}

// drawWindowCase draws a case from a seed.
func drawWindowCase(seed uint64) windowCase {
	r := rand.New(rand.NewPCG(seed, 7))
	c := windowCase{
		window:        time.Duration(200+r.IntN(1800)) * time.Millisecond,
		bodyBytes:     8<<10 + r.IntN(1000<<10),
		chunked:       r.IntN(2) == 0,
		receiveBuffer: []int{0, 16 << 10, 64 << 10, 128 << 10, 1 << 20}[r.IntN(5)],
		heldUp:        r.IntN(5) == 0,
		untroubled:    r.IntN(2),
	}
	if r.IntN(2) == 0 {
		c.rate = 30_000 + r.IntN(2_000_000)
		return c
	}
	c.stopAfter = r.IntN(c.bodyBytes)
	c.stopFor = time.Duration(100+r.IntN(2500)) * time.Millisecond
	return c
}

// Guards against the same with drawn windows, bodies, rates, buffers and stops: 13, 69 and 83 ran late.
func TestRetryDoesNotRunAfterDrawnDedupWindow(t *testing.T) {
	seeds := []uint64{13, 69, 83}
	for seed := range uint64(24) {
		seeds = append(seeds, 100+seed)
	}
	for _, seed := range seeds {
		c := drawWindowCase(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			play := &windowPlay{windowCase: c, attempts: map[string]int{}, runs: map[string][]time.Time{}}
			play.check(t, play.play(t))
		})
	}
}
