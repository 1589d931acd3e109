package scale

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// An emulated discovery service on loopback. It sends the updates of a probe to the measured nodes and counts the
// bytes.

const (
	discoveryReadTimeout  = 5 * time.Second
	discoveryWriteTimeout = 20 * time.Second
	heartbeatInterval     = time.Second // interval of empty lines on a watch
)

const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"

// Names and addresses are as long as those of a large deployment.

func endpointName(i int) string { return fmt.Sprintf("srv-%06d.eu1", i) }

func endpointAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:8443", i>>16&255, i>>8&255, i&255)
}

func zoneName(i int) string { return fmt.Sprintf("z%02d", i%zones) }

// entryText returns an entry of discovery's endpoint list.
func entryText(i int, health string, startedMs int64) []byte {
	return fmt.Appendf(nil, `{"host":"%s","dial":"%s","site":"%s","class":"m","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
		endpointName(i), endpointAddress(i), zoneName(i), i/podSize, health, startedMs)
}

// updateText returns a line of discovery's watch.
func updateText(version int64, complete bool, entries ...[]byte) []byte {
	text := fmt.Appendf(nil, `{"seq":%d,"whole":%t,"hosts":[`, version, complete)
	for i, entry := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, entry...)
	}
	return append(text, "]}\n"...)
}

// discovery serves watches. Each receives a complete list, then every update, and an empty line each second.
type discovery struct {
	listener      net.Listener
	initialUpdate []byte
	running       sync.WaitGroup

	mu      sync.Mutex               // guards the fields below
	watches map[net.Conn]*sync.Mutex // with the mutex that serializes writes to them
	stats   discoveryStats
}

// discoveryStats counts since the start of discovery.
type discoveryStats struct {
	calls int
	bytes float64 // sent
}

// newDiscovery starts a discovery with a list of the given number of endpoints.
func newDiscovery(endpoints int) (*discovery, error) {
	entries := make([][]byte, endpoints)
	for i := range entries {
		entries[i] = entryText(i, "up", 0)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, initialUpdate: updateText(1, true, entries...), watches: map[net.Conn]*sync.Mutex{}}
	d.running.Go(d.accept)
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.running.Go(func() {
			defer conn.Close()
			d.serve(conn)
		})
	}
}

// close closes the listener and all watches, and waits for their goroutines.
func (d *discovery) close() {
	d.listener.Close()
	d.mu.Lock()
	for conn := range d.watches {
		conn.Close()
	}
	d.mu.Unlock()
	d.running.Wait()
}

func (d *discovery) write(conn net.Conn, writing *sync.Mutex, text []byte) error {
	writing.Lock()
	defer writing.Unlock()
	conn.SetWriteDeadline(time.Now().Add(discoveryWriteTimeout))
	n, err := conn.Write(text)
	d.mu.Lock()
	d.stats.bytes += float64(n)
	d.mu.Unlock()
	return err
}

// serve serves one watch until its client disconnects.
func (d *discovery) serve(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(discoveryReadTimeout))
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	writing := &sync.Mutex{}
	d.mu.Lock()
	d.watches[conn] = writing
	d.stats.calls++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, conn)
		d.mu.Unlock()
	}()
	if d.write(conn, writing, []byte(watchHead)) != nil || d.write(conn, writing, d.initialUpdate) != nil {
		return
	}
	conn.SetReadDeadline(time.Time{})
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // returns when the client disconnects, with or without an error
		close(closed)
	}()
	for {
		select {
		case <-closed:
			return
		case <-time.After(heartbeatInterval):
			if d.write(conn, writing, []byte("\n")) != nil {
				return
			}
		}
	}
}

// send sends an update to all watches.
func (d *discovery) send(update []byte) error {
	d.mu.Lock()
	watches := maps.Clone(d.watches)
	d.mu.Unlock()
	for conn, writing := range watches {
		if err := d.write(conn, writing, update); err != nil {
			return err
		}
	}
	return nil
}

func (d *discovery) readStats() discoveryStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}
