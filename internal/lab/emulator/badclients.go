package emulator

// Clients that violate the protocol. Each must get an error or the connection's end within a time, and is never served.

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

// badClients counts how they were answered.
type badClients struct {
	connected, unanswered, served atomic.Int64
}

// run starts them as they are due.
func (b *badClients) run(d *Emulation) {
	for i := range d.plan.BadClients {
		one := &d.plan.BadClients[i]
		if !d.sleepUntil(one.Due) {
			return
		}
		d.group.Go(func() error { b.connect(d, one); return nil })
	}
}

// connect is one of them from its connection to its answer.
func (b *badClients) connect(d *Emulation, one *workload.BadClient) {
	n := d.nodes[one.Node]
	if !n.isAdmitted() {
		return
	}
	c, err := net.DialTimeout("tcp", n.address, connectTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	within := answerTimeout
	if one.Kind == "huge-body" {
		within = hugeBodyTimeout
	}
	life := n.incarnation()
	c.SetDeadline(time.Now().Add(within))
	d.group.Go(func() error { b.write(d, c, one); return nil })
	b.connected.Add(1)
	met, served := awaitAnswer(c)
	switch {
	case served:
		b.served.Add(1)
		d.recordAnomaly("a bad client was served", one.Kind)
	case !met && n.incarnation() == life && n.isAdmitted() && !d.isDone():
		b.unanswered.Add(1)
		d.recordAnomaly("a bad client got neither an error nor a close", one.Kind)
	}
}

// awaitAnswer reads until an error, an end, or the time is up.
func awaitAnswer(c net.Conn) (met, served bool) {
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

func (b *badClients) write(d *Emulation, c net.Conn, one *workload.BadClient) {
	category := d.scenario.Classes[0].Name
	id := fmt.Sprintf("bad%013x", one.Seed>>12)
	head := func(extra string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: %s\r\n%s: 500\r\n%s", category, headerRequestID, id, headerClass,
			category, headerRemaining, extra)
	}
	switch one.Kind {
	case "noise":
		noise := make([]byte, 2000)
		for i := range noise {
			noise[i] = byte(one.Seed>>(i%56)) ^ byte(i*37)
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
