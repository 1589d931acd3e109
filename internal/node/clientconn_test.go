package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasSuffix(r.Header.Get(headerRequestID), "0") {
			time.Sleep(50 * time.Millisecond)
		}
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	c, in := dial(t, n)
	var text string
	for i := range 9 {
		text += requestText("batch", fmt.Sprint("t", i), "b")
	}
	writeText(c, text+"no message\r\n\r\n")
	for i := range 9 {
		if status, body, _ := readResponse(in); status != 200 || body != fmt.Sprintf("/batch t%d b", i) {
			t.Errorf("response %d: got status %d, body %q, want status 200 and the echo of request %[1]d", i, status, body)
		}
	}
	if status, _, _ := readResponse(in); status != 400 {
		t.Errorf("malformed message: got status %d, want 400", status)
	}
}

// Guards against canceling a request that arrives just as its connection is evicted.
func TestRequestOnEvictedConnectionIsAnswered(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(3 * closeLinger)
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	c, in := dial(t, n)
	writeText(c, requestText("batch", "t1", ""))
	eventually(t, "the attempt is sent", func() bool { return n.count(attemptsSent) == 1 })
	n.frontend.mu.Lock()
	for client := range n.frontend.open {
		client.mu.Lock()
		client.evicting = true
		client.conn.SetReadDeadline(time.Unix(1, 0))
		client.mu.Unlock()
	}
	n.frontend.mu.Unlock()
	if status, _, header := readResponse(in); status != 200 || header == nil {
		t.Errorf("request on the evicted connection: got status %d, want 200", status)
	}
	if status, _, _ := readResponse(in); status != 0 {
		t.Error("the evicted connection is still open after its response")
	}
}

// Guards against losing a request whose first bytes arrive before its connection is to close: the connection stays open
// until that request is answered.
func TestConnectionStaysOpenForStartedRequest(t *testing.T) {
	responseGate := newGate(t)
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		responseGate.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	client, in := dial(t, n)
	next := requestText("batch", "b", "body")
	writeText(client, requestText("batch", "a", "")+next[:60])
	responseGate.awaitArrivals(t, 1)
	conn := n.onlyClientConn(t)
	eventually(t, "the node reads the first bytes of the second request", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return !conn.messageStartedAt.IsZero() && conn.pendingCount == 1
	})
	n.shuttingDown.Store(true)
	responseGate.release()
	if status, _, header := readResponse(in); status != 200 || header.Get("Connection") == "close" {
		t.Errorf("first request: got status %d, header %v, want status 200 without Connection: close", status, header)
	}
	writeText(client, next[60:])
	if status, _, _ := readResponse(in); status != 200 {
		t.Errorf("second request: got status %d, want 200", status)
	}
	if status, _, _ := readResponse(in); status != 0 {
		t.Error("the connection is still open after the last response")
	}
}

// Guards against a reset that discards an early response while the client is still slowly sending its body.
func TestEarlyResponseReachesSlowSender(t *testing.T) {
	upstream := listen(t, func(c net.Conn) {
		skipRequestHead(bufio.NewReader(c))
		writeText(c, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	n := startNode(t, lenientSettings, upstream)
	c, in := dial(t, n)
	writef(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nContent-Length: 9000000\r\n\r\n%s",
		randomBody(2*minBufferedBody))
	for range 5 {
		time.Sleep(4 * closeLinger)
		if _, err := c.Write(randomBody(6500)); err != nil {
			t.Fatalf("connection closed while the client was sending its body: %v", err)
		}
	}
	if status, _, _ := readResponse(in); status != 503 {
		t.Errorf("early response: got status %d, want 503", status)
	}
}
