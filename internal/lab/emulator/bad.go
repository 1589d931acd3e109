package emulator

// This file owns clients that do not keep to the protocol. Each is owed an error or the connection's end within a
// time; it must never be served.

import (
	"bytes"
	"fawnglade/internal/lab/workload"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	owedWithin    = 3 * time.Second
	owedWithinBig = 6 * time.Second
	hugeBody      = 60 << 20
	floodSize     = 40
)

// badClients counts how they were met.
type badClients struct {
	came, unanswered, served atomic.Int64
}

// run sends them out as they are due.
func (b *badClients) run(d *Day) {
	for i := range d.plan.BadClients {
		one := &d.plan.BadClients[i]
		if !d.sleepUntil(one.Due) {
			return
		}
		d.group.Go(func() error { b.play(d, one); return nil })
	}
}

// play is one of them from its connection to what it is met with.
func (b *badClients) play(d *Day, one *workload.BadClient) {
	n := d.nodes[one.Node]
	if !n.takes() {
		return
	}
	c, err := net.DialTimeout("tcp", n.address, connect)
	if err != nil {
		return
	}
	defer c.Close()
	within := owedWithin
	if one.Kind == "huge-body" {
		within = owedWithinBig
	}
	life := n.lifeNow()
	c.SetDeadline(time.Now().Add(within))
	d.group.Go(func() error { b.write(d, c, one); return nil })
	b.came.Add(1)
	met, served := meeting(c)
	switch {
	case served:
		b.served.Add(1)
		d.odd("a bad client was served", one.Kind)
	case !met && n.lifeNow() == life && n.takes() && !d.isOver():
		b.unanswered.Add(1)
		d.odd("a bad client got neither an error nor a close", one.Kind)
	}
}

// meeting reads until an error, an end, or the time is up.
func meeting(c net.Conn) (met, served bool) {
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	switch {
	case n > 12:
		return true, bytes.HasPrefix(buf, []byte("HTTP/1.1 2"))
	case err != nil:
		if t, ok := err.(net.Error); ok && t.Timeout() {
			return false, false
		}
	}
	return true, false
}

func (b *badClients) write(d *Day, c net.Conn, one *workload.BadClient) {
	category := d.scenario.Classes[0].Name
	id := fmt.Sprintf("bad%013x", one.Seed>>12)
	head := func(extra string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: %s\r\n%s: 500\r\n%s", category, nameTask, id, nameCategory,
			category, nameRemaining, extra)
	}
	switch one.Kind {
	case "noise":
		noise := make([]byte, 2000)
		for i := range noise {
			noise[i] = byte(one.Seed>>(i%56)) ^ byte(i*37)
		}
		c.Write(append(noise, "\r\n\r\n"...))
	case "endless-head":
		io.WriteString(c, head(""))
		for i := 0; i < 200; i++ {
			if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("z", 1000)); err != nil {
				return
			}
		}
	case "negative-length":
		io.WriteString(c, head("Content-Length: -5\r\n\r\n"))
	case "two-lengths":
		io.WriteString(c, head("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"))
	case "huge-body":
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(""), hugeBody)
		block := make([]byte, 64<<10)
		for sent := 0; sent < hugeBody; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	case "no-category":
		fmt.Fprintf(c, "POST /nothing HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: nothing\r\n%s: 500\r\nContent-Length: 0\r\n\r\n", nameTask, id,
			nameCategory, nameRemaining)
	case "no-limit":
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s: soon\r\nContent-Length: 0\r\n\r\n", category, nameTask, id, nameRemaining)
	case "no-id":
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\n%s: 500\r\nContent-Length: 0\r\n\r\n", category, nameRemaining)
	case "half":
		io.WriteString(c, head("Content-Length: 100\r\n\r\nhalf"))
		if t, ok := c.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	case "both-framings":
		inner := "POST /x HTTP/1.1\r\nHost: lab\r\n\r\n"
		fmt.Fprintf(c, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", head(""), 5+len(inner), inner)
	case "flood":
		for i := 0; i < floodSize; i++ {
			if _, err := io.WriteString(c, strings.Replace(head("Content-Length: -1\r\n\r\n"), id, fmt.Sprintf("%s%d", id, i), 1)); err != nil {
				return
			}
		}
	case "silent":
	}
}
