package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnglade/internal/sockstate"
)

const (
	uploadDeadline = 1200 * time.Millisecond
	// uploadGrace is how long after its deadline a request may be answered without being lost.
	uploadGrace = 550 * time.Millisecond
	uploadChunk = 32 << 10

	troubleFrom = time.Second // after the start of a play
	troubleTo   = 4 * time.Second
	uploadsTo   = 4500 * time.Millisecond
)

// uploadProfiles are the classes of the plays. Answers after the objective have a value, so that attempts last until the
// deadline.
const uploadProfiles = `
{"deadline_us":1200000,"name":"view","objective_us":600000,"late_worth":0.5,"repeat":"safe"},
{"deadline_us":1200000,"group":"zone","memory_span_us":1000000,"name":"update","objective_us":600000,"late_worth":0.5,
"repeat":"keyed"},
{"deadline_us":1200000,"name":"pay","objective_us":600000,"late_worth":0.5,"repeat":"unsafe"}`

// upload is one request with a long body and what became of it.
type upload struct {
	id, class  string
	bytes      int
	chunked    bool
	pause      time.Duration // between its parts
	takenAt    time.Time     // when the node's machine had its last byte; zero: it never had
	answeredAt time.Time
	status     int // 0: no answer
	answer     string
}

// uploadPlay is a play of uploads to a node whose upstreams read as delay says.
type uploadPlay struct {
	memoryMiB int // of the node
	startedAt time.Time
	delay     func(since time.Duration) time.Duration // of a read of uploadChunk bytes at an upstream in trouble

	mu      sync.Mutex
	runs    map[string]int // by request ID
	uploads []*upload
}

// slowReader delays each read.
type slowReader struct {
	io.Reader
	delay func() time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay())
	return r.Reader.Read(p[:min(len(p), uploadChunk)])
}

// serve reads requests and answers each with its ID and the number of bytes of its body.
func (p *uploadPlay) serve(conn net.Conn, delay func() time.Duration) {
	in := bufio.NewReaderSize(slowReader{conn, delay}, uploadChunk)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Txn")
		p.mu.Lock()
		p.runs[id]++
		p.mu.Unlock()
		writeText(conn, responseWith("200 OK", answerFor(id, int(n))))
	}
}

func answerFor(id string, bodyBytes int) string { return fmt.Sprintf("%s, %d bytes", id, bodyBytes) }

func (p *uploadPlay) troubledDelay() time.Duration {
	since := time.Since(p.startedAt)
	if since < troubleFrom || since > troubleTo {
		return 0
	}
	return p.delay(since)
}

// newUpload draws an upload.
func newUpload(id string) *upload {
	u := &upload{id: id, class: []string{"view", "update", "pay"}[rand.IntN(3)], bytes: 100_000 + rand.IntN(8_000_000)}
	u.chunked = rand.IntN(2) == 0
	if rand.IntN(3) == 0 {
		u.pause = rand.N(100 * time.Millisecond)
	}
	return u
}

// text returns the request as it is sent.
func (u *upload) text() string {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nIdempotency-Key: %s\r\n", u.class, u.id, u.id)
	body := strings.Repeat("x", u.bytes)
	if u.chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, u.bytes, body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, u.bytes, body)
}

// send sends the upload on a connection of its own and waits for the answer.
func (u *upload) send(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	answered, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		u.write(conn)
		u.awaitTaken(conn, answered)
	}()
	if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			u.status, u.answer = r.StatusCode, string(body)
		}
	}
	u.answeredAt = time.Now()
	close(answered)
	conn.SetWriteDeadline(time.Now()) // the rest of an answered request need not be sent
	<-written
}

func (u *upload) write(conn net.Conn) {
	const part = 500_000
	text := u.text()
	for u.pause > 0 && len(text) > part {
		writeText(conn, text[:part])
		text = text[part:]
		time.Sleep(u.pause)
	}
	writeText(conn, text)
}

// awaitTaken records when the node's machine has taken all that was written. It ends with the answer.
func (u *upload) awaitTaken(conn net.Conn, answered <-chan struct{}) {
	for sockstate.UnacknowledgedBytes(conn) > 0 {
		select {
		case <-answered:
			return
		case <-time.After(time.Millisecond):
		}
	}
	select {
	case <-answered: // before the last part was written
	default:
		u.takenAt = time.Now()
	}
}

// run plays the uploads against a new process.
func (p *uploadPlay) run(t *testing.T) {
	t.Helper()
	var upstreams []string
	for i := range 6 {
		delay := func() time.Duration { return 0 }
		if i < 2 {
			delay = p.troubledDelay
		}
		upstreams = append(upstreams, startTCPServer(t, func(c net.Conn) { p.serve(c, delay) }))
	}
	listen := freeAddress(t)
	startProcess(t, withMemory(playConfig(listen, uploadProfiles, upstreams...), p.memoryMiB), listen)
	var clients sync.WaitGroup
	p.startedAt = time.Now()
	for i := 0; time.Since(p.startedAt) < uploadsTo; i++ {
		u := newUpload(fmt.Sprint("t", i))
		p.uploads = append(p.uploads, u)
		clients.Go(func() { u.send(listen) })
		time.Sleep(rand.N(100 * time.Millisecond))
	}
	clients.Wait()
}

// check checks that each upload that the node's machine has taken was answered in time, with what was made for it, and
// that none of the class pay ran twice, or ran and was rejected. It returns how many were served.
func (p *uploadPlay) check(t *testing.T) (served int) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.uploads {
		runs := p.runs[u.id]
		took := u.answeredAt.Sub(u.takenAt)
		switch {
		case !u.takenAt.IsZero() && (u.status == 0 || took > uploadDeadline+uploadGrace):
			t.Errorf("%+v: answered after %v, want an answer before %v", *u, took, uploadDeadline+uploadGrace)
		case u.status == http.StatusOK && u.answer != answerFor(u.id, u.bytes):
			t.Errorf("%+v: want the answer %q", *u, answerFor(u.id, u.bytes))
		case u.class == "pay" && (runs > 1 || runs > 0 && u.status == http.StatusServiceUnavailable):
			t.Errorf("%+v: ran %d times", *u, runs)
		case u.status == http.StatusOK:
			served++
		}
	}
	return served
}

// Guards against answering a long request after its deadline while its upstream does not read, or reads little.
func TestLongUploadsAreAnsweredInTime(t *testing.T) {
	const milli = time.Millisecond
	for name, delay := range map[string]func(since time.Duration) time.Duration{
		"upstreams hang":       func(since time.Duration) time.Duration { return troubleTo - since },
		"upstreams pause":      func(time.Duration) time.Duration { return 200 * milli },
		"upstreams are slow":   func(time.Duration) time.Duration { return 20 * milli },
		"upstreams are steady": func(time.Duration) time.Duration { return 0 },
	} {
		for _, memoryMiB := range []int{192, leastMemoryMiB} {
			t.Run(fmt.Sprintf("%s, %d MiB", name, memoryMiB), func(t *testing.T) {
				t.Parallel()
				play := &uploadPlay{memoryMiB: memoryMiB, delay: delay, runs: map[string]int{}}
				play.run(t)
				if served := play.check(t); served < len(play.uploads)/2 {
					t.Errorf("got %d of %d uploads served, want at least half", served, len(play.uploads))
				}
			})
		}
	}
}
