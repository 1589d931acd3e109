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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	// answerGrace is how long after its time a request may still be answered without being lost: "up to half a second
	// after its time it only earns nothing", and each limit is 50 ms longer on sockets.
	answerGrace = 550 * time.Millisecond
	// watchTime is how long a client goes on waiting, so that the record shows when a late answer came.
	watchTime = 8 * time.Second
)

// class is one category of requests.
type class struct {
	name     string
	method   string
	deadline time.Duration // its hard limit
}

// request is one request of a client and what became of it.
type request struct {
	class  class
	id     string
	key    string
	body   []byte
	sentAt time.Time // when the node's machine had its last byte; zero: it never had

	status     int // 0: no answer
	answer     string
	answeredAt time.Time
	err        error
}

func newRequest(c class, bodyBytes int) *request {
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return &request{
		class: c, id: fmt.Sprintf("%016x", rand.Uint64()), key: fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()), body: body,
	}
}

// expected is the answer that a server makes for the request.
func (r *request) expected() string {
	digest := sha256.Sum256(r.body)
	return answerBody(r.id, fmt.Sprintf("%x", digest[:8]))
}

func (r *request) head() []byte {
	head := fmt.Appendf(nil, "%s /%s/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		r.class.method, r.class.name, r.id, r.class.name, r.class.deadline.Milliseconds())
	if r.class.method == http.MethodPost {
		head = fmt.Appendf(head, "Idempotency-Key: %s\r\nContent-Length: %d\r\n", r.key, len(r.body))
	}
	return append(head, "\r\n"...)
}

// clientPool holds the idle connections of clients to one node.
type clientPool struct {
	address string
	closed  atomic.Bool // the front sends this node no new connections

	mu   sync.Mutex
	idle []*clientConn
}

// errNoConnection means that a request was not sent, as no connection to the node is open and no new one may be.
var errNoConnection = errors.New("not sent: no connection is open")

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// take returns a kept connection, or a new one.
func (p *clientPool) take() (conn *clientConn, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	conn, err = p.dial()
	return conn, false, err
}

func (p *clientPool) dial() (*clientConn, error) {
	if p.closed.Load() {
		return nil, errNoConnection
	}
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

func (p *clientPool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// crossingTime bounds how soon after a request the end of a kept connection may come and still be a crossing: the node
// closed the connection between two requests, and had not read this one.
const crossingTime = 100 * time.Millisecond

// send sends a request, and waits for its answer for watchTime after its last byte. If its kept connection ends at once,
// the request has crossed that end, and is sent once more on a new one.
func (p *clientPool) send(r *request) {
	conn, kept, err := p.take()
	if err == nil && kept {
		if p.sendOn(conn, r) || r.answeredAt.Sub(r.sentAt) > crossingTime && !r.sentAt.IsZero() {
			return
		}
		r.sentAt = time.Time{}
		conn, err = p.dial()
	}
	if err != nil {
		r.err = err
		return
	}
	p.sendOn(conn, r)
}

// sendOn sends a request on a connection and reads the answer. It keeps or closes the connection, and reports whether
// an answer came.
func (p *clientPool) sendOn(conn *clientConn, r *request) (gotAnswer bool) {
	r.sentAt = time.Time{}
	conn.SetDeadline(time.Now().Add(2 * watchTime))
	written := make(chan struct{})
	answered := make(chan struct{})
	go func() {
		defer close(written)
		if _, err := conn.Write(append(r.head(), r.body...)); err != nil {
			return
		}
		if takenAt, ok := awaitTaken(conn.Conn, answered); ok {
			r.sentAt = takenAt
			conn.SetReadDeadline(takenAt.Add(watchTime))
		}
	}()
	answer, err := http.ReadResponse(conn.in, &http.Request{Method: r.class.method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(answer.Body)
	}
	r.answeredAt, r.err = time.Now(), err
	close(answered)
	if err == nil {
		r.status, r.answer = answer.StatusCode, string(text)
	}
	conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // an answered request need not be sent whole
	<-written
	if err != nil || answer.Close || r.sentAt.IsZero() {
		conn.Close()
	} else {
		p.put(conn)
	}
	return err == nil
}

// awaitTaken waits until the other machine has taken all that was written, and returns when. It looks for the last time after the
// answer or the end of the connection, or after watchTime.
func awaitTaken(conn net.Conn, answered <-chan struct{}) (takenAt time.Time, ok bool) {
	for end := time.Now().Add(watchTime); ; time.Sleep(200 * time.Microsecond) {
		ended := time.Now().After(end)
		select {
		case <-answered:
			ended = true
		default:
		}
		if unacknowledged(conn) == 0 {
			return time.Now(), true
		}
		if ended {
			return time.Time{}, false
		}
	}
}

// unacknowledged returns how many written bytes the other machine has not taken yet.
func unacknowledged(conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	var waiting int32
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&waiting)))
	})
	if err != nil || errno != 0 {
		return 0
	}
	return int(waiting)
}

// isLost reports whether the request got no final answer in its time and the grace. A request of which the node's
// machine never had the last byte was not taken.
func (r *request) isLost() bool {
	if r.sentAt.IsZero() {
		return false
	}
	return r.status == 0 || r.answeredAt.After(r.sentAt.Add(r.class.deadline+answerGrace))
}

// isForeign reports whether the request was served with an answer that no server made for it.
func (r *request) isForeign() bool { return r.status == http.StatusOK && r.answer != r.expected() }

// line describes the request for the record.
func (r *request) line() string {
	text := "not taken by the node's machine"
	if !r.sentAt.IsZero() {
		text = "sent " + r.sentAt.Format("15:04:05.000")
	}
	switch {
	case r.status != 0:
		text += " answered " + strconv.Itoa(r.status) + " at " + r.answeredAt.Format("15:04:05.000")
		if !r.sentAt.IsZero() {
			text += fmt.Sprintf(" after %.3f s", r.answeredAt.Sub(r.sentAt).Seconds())
		}
	case r.err != nil:
		text += " no answer: " + r.err.Error() + " at " + r.answeredAt.Format("15:04:05.000")
	}
	return fmt.Sprintf("client %s %s bytes %d limit %v %s", r.class.name, r.id, len(r.body), r.class.deadline, text)
}
