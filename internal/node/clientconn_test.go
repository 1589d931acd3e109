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
			t.Errorf("answer %d is %d %q", i, status, body)
		}
	}
	if status, _, _ := readResponse(in); status != 400 {
		t.Errorf("what is no message was answered %d", status)
	}
}

// Guards against canceling a request that came just as its connection was asked to close.
func TestRequestOnEvictedConnectionIsAnswered(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(3 * closeLinger)
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	c, in := dial(t, n)
	writeText(c, requestText("batch", "t1", ""))
	eventually(t, "the attempt", func() bool { return n.count(attemptsSent) == 1 })
	n.frontend.mu.Lock()
	for client := range n.frontend.open {
		client.mu.Lock()
		client.evicting = true
		client.conn.SetReadDeadline(time.Unix(1, 0))
		client.mu.Unlock()
	}
	n.frontend.mu.Unlock()
	if status, _, header := readResponse(in); status != 200 || header == nil {
		t.Errorf("answered %d", status)
	}
	if status, _, _ := readResponse(in); status != 0 {
		t.Error("the connection did not leave after its answer")
	}
}

// A connection is not closed after a response while the next request has begun to come.
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
	eventually(t, "half of the second request", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return !conn.messageStartedAt.IsZero() && conn.pendingCount == 1
	})
	n.shuttingDown.Store(true)
	responseGate.release()
	if status, _, header := readResponse(in); status != 200 || header.Get("Connection") == "close" {
		t.Errorf("the first was answered %d, %v", status, header)
	}
	writeText(client, next[60:])
	if status, _, _ := readResponse(in); status != 200 {
		t.Errorf("the second was answered %d", status)
	}
	if status, _, _ := readResponse(in); status != 0 {
		t.Error("the connection stays after the last")
	}
}

// Guards against a reset that discards an early response while its client still sends its body, slowly.
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
			t.Fatalf("closed on while sending: %v", err)
		}
	}
	if status, _, _ := readResponse(in); status != 503 {
		t.Errorf("got %d", status)
	}
}
