package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestExpectContinue(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, nil, upstream)
	c, in := dial(t, n)
	writeText(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if status, _, _ := readResponse(in); status != 100 {
		t.Fatalf("Expect: 100-continue: got status %d, want 100", status)
	}
	writeText(c, "body")
	if status, body, _ := readResponse(in); status != 200 || body != "/batch t body" {
		t.Errorf("after the body: got status %d, body %q, want status 200 and the echoed body", status, body)
	}
}

func TestMalformedRequestsAreAnsweredAndCounted(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, nil, upstream)
	head := "POST /batch HTTP/1.1\r\nHost: h\r\n"
	for text, want := range map[string]int{
		"\x00\x01\x02\r\n\r\n":                                    400,
		"GET /batch HTTP/9.9\r\n\r\n":                             400,
		head + "\r\n":                                             400, // no request ID
		head + "X-Txn: a\r\nX-Lane: b\r\n\r\n":                    400,
		head + "X-Txn: a\r\nX-Org: b\r\n\r\n":                     400,
		head + "X-Txn: a\r\nX-Remaining-Ms: soon\r\n\r\n":         400,
		head + "X-Txn: " + strings.Repeat("a", 129) + "\r\n\r\n":  400,
		head + "Content-Length: 42000000\r\n\r\n":                 413,
		head + "X-Pad: " + strings.Repeat("a", 17<<10):            431,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":         400,
		head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
		// Each of these could be used for request smuggling.
		head + "X-Txn: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na":                      400,
		head + "X-Txn: a\r\nContent-Length: 70\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":    400,
		head + "X-Txn: a\r\ntransfer-encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n": 400,
		"POST /batch HTTP/1.0\r\nX-Txn: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":         400,
		head + "X-Txn: a\r\nX-Estimate: some\r\nX-Labels: =,\r\n\r\n":                             200,
	} {
		c, in := dial(t, n)
		writeText(c, text)
		if status, _, _ := readResponse(in); status != want {
			t.Errorf("%.60q: got status %d, want %d", text, status, want)
		}
	}
	if status, _, _ := sendRequest(t, n, "batch", "still", ""); status != 200 || n.count(requestsMalformed) != 15 {
		t.Errorf("valid request after malformed ones: got status %d, want 200; got %d counted as malformed, want 15",
			status, n.count(requestsMalformed))
	}
}

// Guards against silent connections and incomplete messages that occupy descriptors: the protocol requires a response
// or a close within 3 s.
func TestStalledClientsAreClosed(t *testing.T) {
	n := startNode(t, nil)
	var clients sync.WaitGroup
	for text, want := range map[string]int{
		"": 0, "GET /batch HT": 408, requestText("batch", "a", "body")[:100]: 408,
		"POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nContent-Length: 9\r\n\r\nhalf": 408,
	} {
		clients.Go(func() {
			startedAt := time.Now()
			c, in := dial(t, n)
			writeText(c, text)
			status, _, _ := readResponse(in)
			if elapsed := time.Since(startedAt); status != want || elapsed > 2900*time.Millisecond {
				t.Errorf("%q: got status %d after %v, want the status of the test case within 2.9 s", text, status, elapsed)
			}
		})
	}
	clients.Wait()
}

// Guards against an endless loop if the first bytes of a connection arrive just at their deadline: they are read.
func TestFirstBytesAtDeadlineAreRead(t *testing.T) {
	n := startNode(t, nil)
	l, err := net.Listen("tcp", unusedAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	writeText(peer, "GET "+pathReady+" HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := newBufferedConn(accepted, nil)
	c := &clientConn{
		frontend: n.frontend, conn: conn, responseOrder: make(chan *pendingRequest, 1),
		slotAcquiredAt: time.Now().Add(-headTimeout), presence: clientPresence{conn: conn},
	}
	eventually(t, "the request has arrived", c.conn.hasInput)
	readErr := make(chan error, 1)
	go func() {
		r, err := c.readRequest(newPendingRequest())
		if err == nil && r.URL.Path != pathReady {
			err = fmt.Errorf("got a request for %s, want /ready", r.URL.Path)
		}
		readErr <- err
	}()
	select {
	case err := <-readErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("readRequest has not returned after 2 s")
	}
}

// A client that stalls or sends a malformed or too long body gets an error response, and the request of a client that
// closes within a long body is canceled. None of these requests is executed, and other clients are not affected.
func TestIncompleteRequestBodyIsRejected(t *testing.T) {
	upstream, requests := startDigestUpstream(t)
	n := startNode(t, lenientSettings, upstream)
	partialBody := string(randomBody(2 << 20))
	cases := 0
	for text, want := range map[string]int{
		"Content-Length: 9000000\r\n\r\n" + partialBody:                               408,
		"Transfer-Encoding: chunked\r\n\r\n200000\r\n" + partialBody + "\r\nzz\r\n":   400,
		"Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(randomBody(42<<20), 1<<20): 413,
		"Content-Length: 60000000\r\n\r\n" + partialBody:                              413,
	} {
		c, in := dial(t, n)
		cases++ // an ID for each, as that of a request with an attempt in flight is refused
		go writeText(c, fmt.Sprintf("POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: case-%d\r\n%s", cases, text))
		if status, _, _ := readResponse(in); status != want {
			t.Errorf("%.40q: got status %d, want %d", text, status, want)
		}
		c.Close()
	}
	c, _ := dial(t, n)
	writeText(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t2\r\nContent-Length: 9000000\r\n\r\n"+partialBody)
	eventually(t, "at least 4 requests are streamed", func() bool { return n.count(requestsStreamed) >= 4 })
	c.Close()
	eventually(t, "the request is canceled", func() bool { return n.count(requestsCanceled) == 1 })
	if requests.Load() != 0 {
		t.Errorf("got %d requests executed without a complete body, want 0", requests.Load())
	}
	if status, _, _ := sendRequest(t, n, "batch", "t3", "small"); status != 200 {
		t.Errorf("another client: got status %d, want 200", status)
	}
	n.awaitBodyMemoryReleased(t)
	if n.loop.post(func() {}); n.count(panics) != 0 {
		t.Errorf("got %d panics, want 0", n.count(panics))
	}
}

// Guards against exceeding the memory limit for bodies: beyond it bodies are streamed.
func TestMemoryOfLongBodiesIsBounded(t *testing.T) {
	upstream, _ := startDigestUpstream(t)
	n := startNode(t, func(c *Config) { lenientSettings(c); c.Limits.MemoryMB = 32 }, upstream)
	body := randomBody(900 << 10)
	type pendingClient struct {
		c  net.Conn
		in *bufio.Reader
	}
	var clients []pendingClient
	for i := range 16 {
		c, in := dial(t, n)
		writef(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t%d\r\nContent-Length: %d\r\n\r\n%s", i, len(body),
			body[:8*minBufferedBody])
		clients = append(clients, pendingClient{c, in})
	}
	eventually(t, "some requests are streamed, as there is no memory to buffer all bodies", func() bool {
		return n.count(requestsStreamed) > 8
	})
	if held := n.memory.reserved.Load(); held > 2*n.memory.limit.Load() {
		t.Errorf("got %d bytes reserved for bodies, want at most twice the limit of %d", held, n.memory.limit.Load())
	}
	for _, client := range clients {
		writeBytes(client.c, body[8*minBufferedBody:])
	}
	for _, client := range clients { // on a slow machine the node may reject some, but it must not mix up the bodies
		if status, answer, _ := readResponse(client.in); status != 503 && answer != digestOf(body) {
			t.Errorf("got status %d, body %.60q, want the digest of the body, or status 503", status, answer)
		}
	}
	n.awaitBodyMemoryReleased(t)
}

func TestHeadRequestAndContinue(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Method == http.MethodHead {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n")
			return err == nil
		}
		return writeResponse(c, "200 OK", digestOf([]byte(body)))
	})
	n := startNode(t, lenientSettings, upstream)
	c, in := dial(t, n)
	for i := range 2 {
		writef(c, "HEAD /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t%d\r\n\r\n", i)
		r, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
		if err != nil || r.StatusCode != 200 || r.ContentLength != 9000000 {
			t.Fatalf("HEAD: got response %+v, error %v, want status 200 with Content-Length 9000000", r, err)
		}
	}
	body := randomBody(3 << 20)
	writef(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t9\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
		len(body))
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 100 {
		t.Fatalf("got response %+v, error %v, want 100 Continue", r, err)
	}
	writeBytes(c, body)
	if _, answer, _ := readResponse(in); answer != digestOf(body) {
		t.Errorf("got %q, want the digest of the body", answer)
	}
}

// Guards against a 100 Continue in the middle of a response that is still being written.
func TestContinueWaitsForPrecedingResponse(t *testing.T) {
	long := randomBody(24 << 20) // more than the kernel buffers for a client that does not read
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Method == http.MethodGet {
			return writeResponse(c, "200 OK", string(long))
		}
		return writeResponse(c, "200 OK", body)
	})
	n := startNode(t, lenientSettings, upstream)
	c, in := dial(t, n)
	writeText(c, "GET /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\n\r\n")
	eventually(t, "the response is streamed", func() bool { return n.count(responsesStreamed) == 1 })
	writeText(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t2\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	if _, body, _ := readResponse(in); body != string(long) {
		t.Errorf("first response: got %[2]d bytes, want the %[1]d bytes of the upstream", len(long), len(body))
	}
	writeText(c, "abc")
	if _, body, _ := readResponse(in); body != "abc" {
		t.Errorf("second response: got body %.40q, want abc", body)
	}
}

// Guards against heads whose many short fields take many times their size in memory.
func TestHeadOfManyFieldsIsRejected(t *testing.T) {
	n := startNode(t, nil)
	for fields, want := range map[int]int{100: 200, maxHeadLines: 431} {
		c, in := dial(t, n)
		writef(c, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", pathReady, strings.Repeat("a:\r\n", fields))
		if status, _, _ := readResponse(in); status != want {
			t.Errorf("%d fields: got status %d, want %d", fields, status, want)
		}
	}
}
