package scale

// This file owns the discovery that a measured node is given: on loopback, telling what it is told to, and counting what goes over
// the wire. It must never tell a list that discovery's own protocol would not.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// entryText is one server as discovery tells it. Names and addresses are as long as those of a large deployment are.
func entryText(into []byte, i int, health string, bornMS int64) []byte {
	return fmt.Appendf(into, `{"host":"srv-%06d.%s","dial":"10.%d.%d.%d:8443","site":"z%02d","class":"m","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
		i, "eu1", i>>16&255, i>>8&255, i&255, i%31, i/40, health, bornMS)
}

func lineText(version int64, whole bool, entries ...[]byte) []byte {
	into := fmt.Appendf(nil, `{"seq":%d,"whole":%t,"hosts":[`, version, whole)
	for i, e := range entries {
		if i > 0 {
			into = append(into, ',')
		}
		into = append(into, e...)
	}
	return append(into, "]}\n"...)
}

// discovery tells every watch a whole list, then each line as it comes, and an empty one each second.
type discovery struct {
	l     net.Listener
	mu    sync.Mutex
	first []byte
	conns map[net.Conn]*sync.Mutex
	calls int
	sent  float64
	wg    sync.WaitGroup
}

func newDiscovery(servers int) (*discovery, error) {
	d := &discovery{conns: map[net.Conn]*sync.Mutex{}}
	entries := make([][]byte, servers)
	for i := range entries {
		entries[i] = entryText(nil, i, "up", 0)
	}
	d.first = lineText(1, true, entries...)
	return d, d.open("127.0.0.1:0")
}

func (d *discovery) address() string { return d.l.Addr().String() }

func (d *discovery) open(at string) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	d.l = l
	d.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.wg.Go(func() { defer c.Close(); d.follow(c) })
		}
	})
	return nil
}

// close ends the listener and all watches, and waits for them.
func (d *discovery) close() {
	d.l.Close()
	d.mu.Lock()
	for c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *discovery) write(c net.Conn, writing *sync.Mutex, text []byte) error {
	writing.Lock()
	defer writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	n, err := c.Write(text)
	d.mu.Lock()
	d.sent += float64(n)
	d.mu.Unlock()
	return err
}

func (d *discovery) follow(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	writing := &sync.Mutex{}
	writing.Lock()
	d.mu.Lock()
	d.conns[c] = writing
	d.calls++
	d.mu.Unlock()
	writing.Unlock()
	defer func() { d.mu.Lock(); delete(d.conns, c); d.mu.Unlock() }()
	if d.write(c, writing, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n")) != nil || d.write(c, writing, d.first) != nil {
		return
	}
	over := make(chan struct{})
	c.SetReadDeadline(time.Time{})
	go func() { _, _ = io.Copy(io.Discard, c); close(over) }()
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Second):
			if d.write(c, writing, []byte("\n")) != nil {
				return
			}
		}
	}
}

// tell writes a line to all watches.
func (d *discovery) tell(text []byte) error {
	d.mu.Lock()
	to := map[net.Conn]*sync.Mutex{}
	for c, writing := range d.conns {
		to[c] = writing
	}
	d.mu.Unlock()
	for c, writing := range to {
		if err := d.write(c, writing, text); err != nil {
			return err
		}
	}
	return nil
}

// figures are the calls so far, the watches that stand, and the bytes told.
func (d *discovery) figures() (calls, watches int, sent float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, len(d.conns), d.sent
}
