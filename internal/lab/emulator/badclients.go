package emulator

// Clients that violate the protocol. A node must answer each with an error or a closed connection within a time limit,
// and must not serve it.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/workload"
)

const (
	answerTimeout   = 3 * time.Second
	hugeBodyTimeout = 6 * time.Second
	hugeBodySize    = 60 << 20
	floodRequests   = 40
)

// badClients counts bad clients by the reaction of their node.
type badClients struct {
	connected, unanswered, served atomic.Int64
}

// run starts the bad clients when they are due.
func (b *badClients) run(run *Emulation) {
	for i := range run.plan.BadClients {
		client := &run.plan.BadClients[i]
		if !run.sleepUntil(client.Due) {
			return
		}
		run.group.Go(func() error { b.connect(run, client); return nil })
	}
}

// connect runs one bad client: it connects to a node, writes and waits for the reaction.
func (b *badClients) connect(run *Emulation, client *workload.BadClient) {
	n := run.nodes[client.Node]
	if !n.isAdmitted() {
		return
	}
	c, err := net.DialTimeout("tcp", n.address, connectTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	timeout := answerTimeout
	if client.Kind == "huge-body" {
		timeout = hugeBodyTimeout
	}
	incarnation := n.incarnation()
	c.SetDeadline(time.Now().Add(timeout))
	run.group.Go(func() error { b.write(run, c, client); return nil })
	b.connected.Add(1)
	answered, served := awaitAnswer(c)
	switch {
	case served:
		b.served.Add(1)
		run.recordAnomaly("a bad client was served", client.Kind)
	case !answered && n.incarnation() == incarnation && n.isAdmitted() && !run.isDone():
		b.unanswered.Add(1)
		run.recordAnomaly("a bad client got neither an error nor a close", client.Kind)
	}
}

// awaitAnswer reads once. It reports whether there was a reaction (bytes, a close or a reset) before the connection's
// deadline, and whether it was a success response.
func awaitAnswer(c net.Conn) (answered, served bool) {
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	switch {
	case n > 12:
		return true, bytes.HasPrefix(buf, []byte("HTTP/1.1 2"))
	case err != nil:
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return false, false
		}
	}
	return true, false
}

func (b *badClients) write(run *Emulation, c net.Conn, client *workload.BadClient) {
	category := run.scenario.Classes[0].Name
	id := fmt.Sprintf("bad%013x", client.Seed>>12)
	head := func(extra string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: %s\r\n%s: 500\r\n%s", category, headerRequestID, id, headerClass,
			category, headerRemaining, extra)
	}
	switch client.Kind {
	case "noise":
		noise := make([]byte, 2000)
		for i := range noise {
			noise[i] = byte(client.Seed>>(i%56)) ^ byte(i*37)
		}
		send(c, append(noise, "\r\n\r\n"...))
	case "endless-head":
		send(c, head(""))
		for i := 0; i < 200; i++ {
			if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("z", 1000)); err != nil {
				return
			}
		}
	case "negative-length":
		send(c, head("Content-Length: -5\r\n\r\n"))
	case "two-lengths":
		send(c, head("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"))
	case "huge-body":
		sendf(c, "%sContent-Length: %d\r\n\r\n", head(""), hugeBodySize)
		block := make([]byte, 64<<10)
		for sent := 0; sent < hugeBodySize; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	case "no-category":
		sendf(c, "POST /nothing HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: nothing\r\n%s: 500\r\nContent-Length: 0\r\n\r\n", headerRequestID, id,
			headerClass, headerRemaining)
	case "no-limit":
		sendf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: soon\r\nContent-Length: 0\r\n\r\n", category,
			headerRequestID, id, headerRemaining,
		)
	case "no-id":
		sendf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\n%s: 500\r\nContent-Length: 0\r\n\r\n", category, headerRemaining)
	case "half":
		send(c, head("Content-Length: 100\r\n\r\nhalf"))
		if t, ok := c.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	case "both-framings":
		inner := "POST /x HTTP/1.1\r\nHost: lab\r\n\r\n"
		sendf(c, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", head(""), 5+len(inner), inner)
	case "flood":
		for i := 0; i < floodRequests; i++ {
			if _, err := io.WriteString(c, strings.Replace(head("Content-Length: -1\r\n\r\n"), id, fmt.Sprintf("%s%d", id, i), 1)); err != nil {
				return
			}
		}
	case "silent":
	}
}
