package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

func withSettings(settings ...string) func(*Config) {
	return func(c *Config) {
		c.Settings = json.RawMessage(strings.NewReplacer(settings...).Replace(settingsText))
	}
}

// silentDiscovery configures a discovery service that never responds, so that only the test posts events.
func silentDiscovery(t *testing.T) func(*Config) {
	address, _ := startScriptedDiscovery(t)
	return func(c *Config) { c.Discovery = address }
}

func randomBody(size int) []byte {
	body := make([]byte, size)
	draws := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range body {
		body[i] = byte(draws.Uint32())
	}
	return body
}

// lenientSettings changes the settings so that the policy doesn't eject an upstream for its delay in generating a
// random body.
func lenientSettings(c *Config) {
	c.Settings = json.RawMessage(strings.Replace(settingsText, `"quantum_us":2000`, `"quantum_us":1000000`, 1))
}

// chunkedBody encodes a body in chunks of the given size, with chunk extensions and a trailer.
func chunkedBody(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;name=\"value\"\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\nX-Trailer: t\r\n\r\n")
	return b.String()
}

func (n *Node) awaitBodyMemoryReleased(t *testing.T) {
	t.Helper()
	eventually(t, "the memory for bodies is released", func() bool { return n.memory.reserved.Load() == 0 })
}

// partialStreamedRequest returns a request with a streamed body of which only the first 80 KiB are included. The kernel
// buffers that much; with more, the client's close would not reach the node while it isn't reading.
func partialStreamedRequest(class, id string) string {
	return strings.TrimSuffix(requestText(class, id, strings.Repeat("x", 2<<20)), strings.Repeat("x", 2<<20-(80<<10)))
}

// settingsText has an idempotent class, one that is idempotent by key, a non-idempotent one, and one with a long
// deadline.
const settingsText = `{"discovery":"ask","family_info":{"warm_keys":true},"goal":{"whole":0.5},"group_size":1,
"limits":{"cancelling":true,"connect_timeout_us":75000,"idle_close_us":60000000,"max_retry_after_us":1500000,
"may_duplicate":false,"retry_after":true,"try_limit":3},"parties":[{"name":"acme","portion":1.0}],"profiles":[
{"deadline_us":800000,"name":"view","objective_us":300000,"repeat":"safe"},
{"deadline_us":800000,"group":"zone","memory_span_us":2000000,"name":"update","objective_us":300000,"repeat":"keyed"},
{"deadline_us":800000,"name":"pay","objective_us":300000,"repeat":"unsafe"},
{"deadline_us":20000000,"name":"batch","objective_us":20000000,"repeat":"safe"}],
"quantum_us":2000,"report":{"fields":["queue"],"how":"inline"},"rules":{"ask_within_us":10000000,"cold_from":0.2,
"warm_within_us":20000000},"weights":"off","zone":0,"zones":["a","b"]}`

func listEntry(name, address, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":1,"health":%q,"share":1.0,"born_ms":0}`,
		name, address, health)
}

func listText(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, version, complete, strings.Join(entries, ","))
}

var lastAddress atomic.Int64

// unusedAddress returns an address that nothing else has used, because nodes of earlier tests, also in other test
// processes, still call the addresses of their upstreams.
func unusedAddress() string {
	n := lastAddress.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250)
}

// listen serves raw connections on an unused address until the test ends.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return listenAt(t, "tcp", unusedAddress(), serve)
}

func listenAt(t *testing.T, network, at string, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// startUpstream starts an upstream that calls respond for each request. respond writes the response and reports whether
// the connection stays open.
func startUpstream(
	t *testing.T, respond func(c net.Conn, r *http.Request, body string) bool,
) (address string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			requests.Add(1)
			if !respond(c, r, string(body)) {
				return
			}
		}
	}), requests
}

func writeResponse(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// echo responds with the request's path, ID and body, so that mixed-up responses are detected.
func echo(c net.Conn, r *http.Request, body string) bool {
	return writeResponse(c, "200 OK\r\nX-Pressure: queue=1", r.RequestURI+" "+r.Header.Get(headerRequestID)+" "+body)
}

// newNode creates a node whose known list contains the upstreams. By default nothing listens at its discovery address.
func newNode(t *testing.T, change func(*Config), upstreamAddrs ...string) *Node {
	t.Helper()
	var entries []string
	for i, address := range upstreamAddrs {
		entries = append(entries, listEntry(fmt.Sprintf("s-%d", i), address, "up"))
	}
	c := &Config{
		Name: "n0", Listen: unusedAddress(), Discovery: "127.0.0.1:1", Seed: "1f",
		KnownList: json.RawMessage(listText(1, true, entries...)),
		Settings:  json.RawMessage(settingsText),
		filesDir:  t.TempDir(),
	}
	c.Limits.MemoryMB, c.Limits.Sockets = 192, 1024
	if change != nil {
		change(c)
	}
	if err := c.check(); err != nil {
		t.Fatal(err)
	}
	n, err := New(c, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	// This process runs the nodes of all tests. With the memory limit of a single node the garbage collector would run
	// all the time.
	debug.SetMemoryLimit(math.MaxInt64)
	t.Cleanup(func() { n.frontend.listener.Close() })
	return n
}

func startNode(t *testing.T, change func(*Config), upstreamAddrs ...string) *Node {
	t.Helper()
	n := newNode(t, change, upstreamAddrs...)
	n.start()
	return n
}

// startNodeWithoutCooldown starts a node that reuses its upstream connections at once.
func startNodeWithoutCooldown(t *testing.T, change func(*Config), upstreamAddrs ...string) *Node {
	t.Helper()
	n := newNode(t, change, upstreamAddrs...)
	n.upstreams.reuseCooldown = 0
	n.start()
	return n
}

// address returns the address where the node listens for clients.
func (n *Node) address() string { return n.frontend.listener.Addr().String() }

func dial(t *testing.T, n *Node) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", n.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

func requestText(class, id, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: %s\r\n"+
		"X-Org: acme\r\nX-Remaining-Ms: 9000\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, class, len(body), body)
}

// readResponse reads one response. Status 0 means that the connection ended without a complete one; body is then the
// error.
func readResponse(in *bufio.Reader) (status int, body string, header http.Header) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return r.StatusCode, string(text), r.Header
}

// sendRequest sends one request on a new connection and returns the response.
func sendRequest(t *testing.T, n *Node, class, id, body string) (status int, answer string, header http.Header) {
	t.Helper()
	c, in := dial(t, n)
	defer c.Close()
	writeText(c, requestText(class, id, body))
	return readResponse(in)
}

// eventually waits until a condition holds, for up to 5 s.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 5 s: %s", description)
		}
	}
}

func (n *Node) count(id counter) int64 { return n.counters[id].Load() }

// parseEntry parses one entry of a list.
func (n *Node) parseEntry(text string) (endpointEntry, error) {
	update, err := n.parseList([]byte(listText(1, false, text)))
	if err != nil {
		return endpointEntry{}, err
	}
	if len(update.entries) != 1 {
		return endpointEntry{}, fmt.Errorf("got %d entries, want 1", len(update.entries))
	}
	return update.entries[0], nil
}

// writeText writes to a peer that may have closed the connection. It ignores errors; tests check the response instead.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// writef is writeText with a format.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// discard reads until the end or an error.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// skipRequestHead reads the head of a request, ignoring errors.
func skipRequestHead(in *bufio.Reader) { _, _ = http.ReadRequest(in) }

// writeBytes is writeText for bytes.
func writeBytes(w io.Writer, b []byte) { _, _ = w.Write(b) }

// waitForClose blocks until the connection is closed. It also returns if a byte arrives.
func waitForClose(r io.Reader) { _, _ = r.Read(make([]byte, 1)) }

// discardUpTo reads n bytes, or fewer if the input ends early.
func discardUpTo(r io.Reader, n int64) { _, _ = io.CopyN(io.Discard, r, n) }
