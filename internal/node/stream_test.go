package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startDigestUpstream starts an upstream that responds with the digest of the request's body and counts complete
// requests.
func startDigestUpstream(t *testing.T) (string, *atomic.Int64) {
	return startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		return writeResponse(c, "200 OK", fmt.Sprintf("%d %x", len(body), sha256.Sum256([]byte(body))))
	})
}

func digestOf(body []byte) string { return fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)) }

// Request bodies of all sizes and encodings reach the upstream unchanged, and the client connection stays usable.
func TestRequestBodiesOfAllSizes(t *testing.T) {
	upstream, _ := startDigestUpstream(t)
	n := startNode(t, lenientSettings, upstream)
	c, in := dial(t, n)
	for i, size := range []int{
		0, 1, 300, minBufferedBody, minBufferedBody + 1, maxBufferedBody, maxBufferedBody + 1,
		5 << 20,
	} {
		for _, chunk := range []int{0, 1 << 10, 1 << 20} {
			body := randomBody(size)
			head := fmt.Sprintf("POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t%d-%d\r\n", i, chunk)
			if chunk > 0 {
				writeText(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunkedBody(body, chunk))
			} else {
				writeText(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body))
			}
			if status, answer, _ := readResponse(in); status != 200 || answer != digestOf(body) {
				t.Fatalf("%d bytes, chunks of %d: got status %d, body %.80q, want body %q", size, chunk, status, answer,
					digestOf(body))
			}
		}
	}
	if n.count(requestsStreamed) == 0 || n.count(clientsAccepted) != 1 {
		t.Errorf("got %d streamed requests on %d connections, want some on 1", n.count(requestsStreamed), n.count(clientsAccepted))
	}
	n.awaitBodyMemoryReleased(t)
}

// Response bodies of all sizes and encodings reach the client unchanged.
func TestResponseBodiesOfAllSizes(t *testing.T) {
	for _, form := range []string{"length", "chunks", "end"} {
		upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
			var size int
			if _, err := fmt.Sscanf(r.URL.RawQuery, "%d", &size); err != nil {
				t.Error(err)
			}
			body := randomBody(size)
			writeText(c, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			switch form {
			case "length":
				return writeResponse(c, "200 OK", string(body))
			case "chunks":
				writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunkedBody(body, 3000))
				return true
			}
			writeText(c, "HTTP/1.1 200 OK\r\n\r\n")
			writeBytes(c, body)
			return false
		})
		n := startNode(t, lenientSettings, upstream)
		for _, version := range []string{"1.1", "1.0"} {
			for i, size := range []int{0, 1, maxBufferedResponse - 1, 2 * maxBufferedResponse, 5 << 20} {
				c, in := dial(t, n)
				writef(c, "GET /batch?%d HTTP/%s\r\nHost: h\r\nX-Txn: t%d\r\n\r\n", size, version, i)
				if status, body, _ := readResponse(in); status != 200 || body != string(randomBody(size)) {
					t.Errorf("%s, HTTP/%s, %d bytes: got status %d and %d bytes, want 200 and the upstream's body", form,
						version, size, status, len(body))
				}
				c.Close()
			}
		}
		if n.count(responsesStreamed) != 4 || n.count(responsesTruncated) != 0 {
			t.Errorf("%s: got %d responses streamed and %d truncated, want 4 and 0", form, n.count(responsesStreamed),
				n.count(responsesTruncated))
		}
		eventually(t, "all upstream connections are idle", func() bool {
			n.upstreams.mu.Lock()
			defer n.upstreams.mu.Unlock()
			return n.upstreams.open == n.upstreams.idleOrder.Len()
		})
	}
}

// Guards against a truncated response that looks complete to the client, for each way to delimit the body.
func TestTruncatedResponseIsVisible(t *testing.T) {
	part := strings.Repeat("x", 3*maxBufferedResponse)
	for _, head := range []string{
		"Content-Length: 9999999\r\n\r\n" + part,
		"Transfer-Encoding: chunked\r\n\r\n30000\r\n" + part + "\r\n", // without the last chunk
		"Transfer-Encoding: chunked\r\n\r\n30000\r\n" + part + "\r\nnonsense\r\n",
	} {
		upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
			writeText(c, "HTTP/1.1 200 OK\r\n"+head)
			return false
		})
		n := startNode(t, lenientSettings, upstream)
		c, in := dial(t, n)
		writeText(c, "GET /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\n\r\n")
		r, err := http.ReadResponse(in, nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("%.30q: got response %v, error %v, want status 200", head, r, err)
		}
		if body, err := io.ReadAll(r.Body); err == nil {
			t.Errorf("%.30q: truncated response of %d bytes read without an error", head, len(body))
		}
		if n.count(responsesTruncated) != 1 {
			t.Errorf("%.30q: got %d responses counted as truncated, want 1", head, n.count(responsesTruncated))
		}
	}
}

// A request whose body is no longer buffered is sent only once. Its status depends on what its class allows and on
// whether the upstream has received the complete body: without it the request has not run.
func TestStreamedRequestIsSentOnce(t *testing.T) {
	body := randomBody(36 << 20) // more than the kernel buffers for an upstream that does not read
	var upstreamBehavior atomic.Value
	requests := new(atomic.Int64)
	serve := func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		switch requests.Add(1); upstreamBehavior.Load() {
		case "dies":
			discardUpTo(r.Body, 1<<20)
			c.(*net.TCPConn).SetLinger(0)
		case "rejects":
			discardUpTo(r.Body, 1<<20)
			writeText(c, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		case "faults":
			writeText(c, "HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
			time.Sleep(50 * time.Millisecond)
		case "fails":
			discard(r.Body)
			writeResponse(c, "500 Bad", "")
		case "early":
			writeResponse(c, "200 OK", "too soon")
			time.Sleep(50 * time.Millisecond)
		}
	}
	first, second := listen(t, serve), listen(t, serve)
	for behavior, want := range map[string]map[string]int{
		"dies":    {"view": 503, "update": 503, "pay": 503},
		"rejects": {"view": 503, "update": 503, "pay": 503},
		"early":   {"pay": 503},
		"faults":  {"pay": 413},
		"fails":   {"view": 503, "update": 502, "pay": 502},
	} {
		upstreamBehavior.Store(behavior)
		for class, status := range want {
			n := startNode(t, nil, first, second)
			before := requests.Load()
			if got, _, _ := sendRequest(t, n, class, "t1", string(body)); got != status {
				t.Errorf("upstream %s, class %s: got status %d, want %d", behavior, class, got, status)
			}
			if requests.Load() != before+1 {
				t.Errorf("upstream %s, class %s: got %d attempts, want 1", behavior, class, requests.Load()-before)
			}
			n.awaitBodyMemoryReleased(t)
		}
	}
}

// Guards against disconnecting slow peers that make progress: a head takes 2 s, a body arrives at 64 kB/s, and a
// response is written as slowly as its client reads.
func TestSlowPeersAreServed(t *testing.T) {
	t.Parallel()
	long := randomBody(1 << 20)
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Method == http.MethodGet {
			return writeResponse(c, "200 OK", string(long))
		}
		return writeResponse(c, "200 OK", digestOf([]byte(body)))
	})
	n := startNode(t, lenientSettings, upstream)
	body := randomBody(260 << 10)
	uploaded := make(chan string, 1)
	go func() {
		c, in := dial(t, n)
		text := fmt.Sprintf("POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nContent-Length: %d\r\n\r\n", len(body))
		for i := range 10 {
			writeText(c, text[i*len(text)/10:(i+1)*len(text)/10])
			time.Sleep(200 * time.Millisecond)
		}
		for i := 0; i < len(body); i += 6500 {
			writeBytes(c, body[i:min(i+6500, len(body))])
			time.Sleep(100 * time.Millisecond)
		}
		_, answer, _ := readResponse(in)
		uploaded <- answer
	}()
	c, in := dial(t, n)
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	writeText(c, "GET /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t2\r\n\r\n")
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for range 8 {
		time.Sleep(400 * time.Millisecond)
		if _, err := io.CopyN(&got, r.Body, 64<<10); err != nil {
			t.Error(err)
		}
	}
	if _, err := io.Copy(&got, r.Body); err != nil {
		t.Error(err)
	}
	if !bytes.Equal(got.Bytes(), long) {
		t.Errorf("slow reader: got %d bytes, want the %d bytes of the upstream", got.Len(), len(long))
	}
	if answer := <-uploaded; answer != digestOf(body) {
		t.Errorf("slow writer: got %q, want the digest of its body", answer)
	}
}

// Guards against holding back the first bytes of a long response that arrives slowly, whether or not its head declares
// the length.
func TestSlowResponseIsNotHeldBack(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 70003\r\n\r\nyes",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n", "\r\nyes",
	} {
		firstBytesRead := make(chan struct{})
		upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
			writeText(c, "HTTP/1.1 200 OK\r\n"+head)
			time.Sleep(2 * responseBufferTimeout)
			if strings.Contains(head, "chunked") {
				writeText(c, "1\r\n,\r\n")
			} else {
				writeText(c, ",")
			}
			<-firstBytesRead // the rest is sent only after the client has read the first bytes
			if strings.Contains(head, "chunked") {
				writeText(c, "1116f\r\n"+strings.Repeat("x", 69999)+"\r\n0\r\n\r\n")
			} else {
				writeText(c, strings.Repeat("x", 69999))
			}
			return false
		})
		n := startNode(t, lenientSettings, upstream)
		c, in := dial(t, n)
		writeText(c, "GET /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\n\r\n")
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%.20q: reading the response head: %v", head, err)
		}
		first := make([]byte, 3)
		if _, err := io.ReadFull(r.Body, first); err != nil || string(first) != "yes" {
			t.Fatalf("%.20q: got first bytes %q, error %v, want yes", head, first, err)
		}
		close(firstBytesRead)
		if rest, err := io.ReadAll(r.Body); err != nil || len(rest) != 70000 {
			t.Errorf("%.20q: got %d more bytes, error %v, want 70000", head, len(rest), err)
		}
	}
}
