package main

// Clients.

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const idBytes = 8

func newID() string {
	b := make([]byte, idBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b)
}

// call is a request of a client and what came of it.
type call struct {
	id, class, key string
	remaining      time.Duration
	post           bool
	body           string
	sentAt         time.Time
	answeredAt     time.Time
	status         int // 0: no answer
	answer         string
	err            error
}

// newCall returns a request of a class with an id of its own. A keyed one also has a key.
func newCall(class string, remaining time.Duration, keyed bool) *call {
	c := &call{id: newID(), class: class, remaining: remaining, post: keyed}
	if keyed {
		c.key = newID() + newID()
	}
	return c
}

// text returns the request as it is written.
func (c *call) text() string {
	var b strings.Builder
	method := http.MethodGet
	if c.post {
		method = http.MethodPost
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		method, c.class, c.id, c.class, c.remaining.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.key)
	}
	if c.post {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// client is one connection of a client.
type client struct {
	w    *world
	conn net.Conn
	in   *bufio.Reader
}

func (w *world) connect(n *node) (*client, error) {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, conn: conn, in: bufio.NewReader(conn)}, nil
}

// do sends a request and awaits its answer.
func (c *client) do(request *call) {
	if err := c.send(request); err != nil {
		request.err = err
		return
	}
	c.receive(request)
}

// send writes requests, all at once.
func (c *client) send(requests ...*call) error {
	var text strings.Builder
	now := time.Now()
	for _, request := range requests {
		request.sentAt = now
		text.WriteString(request.text())
		c.w.record("client: sends %s %s", request.class, request.id)
	}
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// receive reads the answer to a request. A client waits for half a second beyond its time, in which a node may still
// answer.
func (c *client) receive(request *call) {
	c.conn.SetReadDeadline(request.sentAt.Add(request.remaining + 2*time.Second))
	method := http.MethodGet
	if request.post {
		method = http.MethodPost
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		request.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	request.answer = string(body)
	if err != nil {
		request.err = fmt.Errorf("the answer is not whole, status %d: %w", response.StatusCode, err)
		return
	}
	request.status = response.StatusCode
	request.answeredAt = time.Now()
}

// describe returns a line for the record.
func (c *call) describe() string {
	if c.err != nil {
		return fmt.Sprintf("%s %s: no whole answer: %v", c.class, c.id, c.err)
	}
	return fmt.Sprintf("%s %s: %d after %d ms", c.class, c.id, c.status, c.answeredAt.Sub(c.sentAt).Milliseconds())
}
