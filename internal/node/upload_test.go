package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fawnglade/internal/sockstate"
)

const (
	uploadBodyBytes = 280 << 10
	smallBuffer     = 16 << 10  // holds little of the body for an upstream that does not read
	largeBuffer     = 100 << 10 // slows no upstream down
	classDeadline   = 800 * time.Millisecond
	// answerGrace is how long after its deadline a request may be answered without being lost.
	answerGrace = 550 * time.Millisecond
)

// startUploadNode starts a node that streams bodies of uploadBodyBytes to an upstream, through kernel buffers of a
// size.
func startUploadNode(t *testing.T, bufferBytes int, serve func(net.Conn, *bufio.Reader)) *Node {
	t.Helper()
	upstream := listen(t, func(c net.Conn) {
		if err := c.(*net.TCPConn).SetReadBuffer(bufferBytes); err != nil {
			t.Error(err)
		}
		serve(c, bufio.NewReaderSize(c, 4<<10))
	})
	n := newNode(t, nil, upstream)
	setReceiveBuffer(t, n.frontend.listener, uploadBodyBytes)
	n.upstreams.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
		c, err := n.upstreams.connect(ctx, address, deadline)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
	}
	n.start()
	n.memory.limit.Store(minBufferedBody/memoryHardFactor + 1) // longer bodies are streamed
	return n
}

// setReceiveBuffer sets the size of the kernel's receive buffers of the connections that a listener accepts.
func setReceiveBuffer(t *testing.T, listener net.Listener, size int) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	if err != nil || controlErr != nil {
		t.Fatal(err, controlErr)
	}
}

// uploadText returns a request with a body of uploadBodyBytes.
func uploadText(class string, chunked bool) string {
	body := randomBody(uploadBodyBytes)
	if !chunked {
		return requestText(class, "t1", string(body))
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		class, chunkedBody(body, 10<<10))
}

// awaitTaken waits until the node's machine has received all that a client has written.
func awaitTaken(t *testing.T, c net.Conn) time.Time {
	t.Helper()
	eventually(t, "the node's machine has the complete request", func() bool {
		return sockstate.UnacknowledgedBytes(c) == 0
	})
	return time.Now()
}

// Guards against a late answer to a request whose last byte waits in the kernel while its upstream does not read.
func TestStreamedRequestIsAnsweredInTime(t *testing.T) {
	for name, c := range map[string]struct {
		serve       func(net.Conn, *bufio.Reader)
		bufferBytes int
		status      int
	}{
		"upstream does not read the body": {func(c net.Conn, in *bufio.Reader) {
			skipRequestHead(in)
			time.Sleep(3 * time.Second)
		}, smallBuffer, http.StatusServiceUnavailable},
		"upstream reads a little now and then": {func(c net.Conn, in *bufio.Reader) {
			skipRequestHead(in)
			for range 60 {
				discardUpTo(in, 1<<10)
				time.Sleep(50 * time.Millisecond)
			}
		}, smallBuffer, http.StatusServiceUnavailable},
		"upstream reads the body late and does not respond": {func(c net.Conn, in *bufio.Reader) {
			skipRequestHead(in)
			time.Sleep(classDeadline + answerGrace)
			discard(in)
		}, smallBuffer, http.StatusServiceUnavailable},
		"upstream reads the body and does not respond": {func(c net.Conn, in *bufio.Reader) {
			discard(in)
		}, largeBuffer, http.StatusBadGateway},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", name, chunked), func(t *testing.T) {
				t.Parallel()
				n := startUploadNode(t, c.bufferBytes, c.serve)
				client, in := dial(t, n)
				writeText(client, uploadText("pay", chunked))
				takenAt := awaitTaken(t, client)
				status, _, _ := readResponse(in)
				if took := time.Since(takenAt); status != c.status || took > classDeadline+answerGrace {
					t.Errorf("got status %d after %v, want %d before %v", status, took, c.status, classDeadline+answerGrace)
				}
				if n.count(requestsStreamed) != 1 {
					t.Errorf("got %d streamed requests, want 1", n.count(requestsStreamed))
				}
			})
		}
	}
}

// Guards against cutting off an upload that goes on for longer than its request may take after its last byte.
func TestSlowUploadIsServed(t *testing.T) {
	for name, c := range map[string]struct {
		send func(client io.Writer, text string)
		read func(in io.Reader)
	}{
		"client sends slowly": {func(client io.Writer, text string) {
			for len(text) > 0 {
				part := text[:min(len(text), 20<<10)]
				writeText(client, part)
				text = text[len(part):]
				time.Sleep(100 * time.Millisecond)
			}
		}, discard},
		"client pauses for longer than the deadline": {func(client io.Writer, text string) {
			writeText(client, text[:200<<10])
			time.Sleep(classDeadline + 100*time.Millisecond)
			writeText(client, text[200<<10:])
		}, discard},
		"upstream pauses while the client has not sent all": {func(client io.Writer, text string) {
			writeText(client, text[:200<<10])
			time.Sleep(200 * time.Millisecond)
			writeText(client, text[200<<10:])
		}, func(in io.Reader) {
			time.Sleep(200 * time.Millisecond)
			discard(in)
		}},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", name, chunked), func(t *testing.T) {
				t.Parallel()
				n := startUploadNode(t, largeBuffer, func(conn net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					c.read(r.Body)
					writeResponse(conn, "200 OK", "served")
				})
				client, in := dial(t, n)
				c.send(client, uploadText("pay", chunked))
				if status, body, _ := readResponse(in); status != http.StatusOK || body != "served" {
					t.Errorf("got status %d, body %q, want 200, served", status, body)
				}
			})
		}
	}
}

// Guards against taking an early final response for a broken one, or waiting for it without an end, if the rest of it
// comes later than its head.
func TestRestOfEarlyResponse(t *testing.T) {
	for name, c := range map[string]struct {
		rest   string
		status int
		body   string
	}{
		"comes":         {"no", http.StatusRequestEntityTooLarge, "no"},
		"comes in part": {"n", http.StatusServiceUnavailable, ""},
		"does not come": {"", http.StatusServiceUnavailable, ""},
		"is too long":   {"no, more", http.StatusRequestEntityTooLarge, "no"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startUploadNode(t, smallBuffer, func(conn net.Conn, in *bufio.Reader) {
				skipRequestHead(in)
				writeText(conn, "HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\n")
				time.Sleep(50 * time.Millisecond)
				writeText(conn, c.rest)
				time.Sleep(3 * time.Second)
			})
			client, in := dial(t, n)
			writeText(client, uploadText("pay", false))
			takenAt := awaitTaken(t, client)
			status, body, _ := readResponse(in)
			if took := time.Since(takenAt); status != c.status || body != c.body || took > classDeadline+answerGrace {
				t.Errorf("got status %d, body %q after %v, want %d, %q before %v", status, body, took, c.status, c.body,
					classDeadline+answerGrace)
			}
		})
	}
}

// bytesUntilEnd returns the number of bytes that a connection brings until it ends.
func bytesUntilEnd(in io.Reader) int64 {
	n, _ := io.Copy(io.Discard, in)
	return n
}

// Guards against sending the last byte of a request long after its client has gone, to an upstream that paused.
func TestUploadEndsWhenClientCloses(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		received := make(chan int64, 1)
		closed := make(chan struct{})
		n := startUploadNode(t, smallBuffer, func(conn net.Conn, in *bufio.Reader) {
			<-closed
			time.Sleep(100 * time.Millisecond)
			received <- bytesUntilEnd(in)
		})
		client, _ := dial(t, n)
		writeText(client, uploadText("batch", chunked))
		awaitTaken(t, client)
		eventually(t, "the upstream connection", func() bool { return n.count(upstreamConnsOpened) == 1 })
		client.Close()
		close(closed)
		eventually(t, "the cancellation of the request", func() bool { return n.count(requestsCanceled) == 1 })
		if got := <-received; got >= uploadBodyBytes {
			t.Errorf("chunked %t: got %d bytes at the upstream, want less than the body of %d", chunked, got, uploadBodyBytes)
		}
		eventually(t, "the end of the attempt", func() bool { return n.count(attemptsNotSent) == 1 })
		n.awaitBodyMemoryReleased(t)
	}
}

// Guards against an upstream that gets a request's last bytes from the kernel after the request has been given up.
func TestRequestGivenUpIsWithdrawn(t *testing.T) {
	for name, memoryLimit := range map[string]int64{
		"buffered": memoryHardFactor * uploadBodyBytes,
		"streamed": minBufferedBody/memoryHardFactor + 1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan int64, 1)
			answered := make(chan struct{})
			upstream := listen(t, func(c net.Conn) {
				if err := c.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
					t.Error(err)
				}
				<-answered
				received <- bytesUntilEnd(c)
			})
			n := startNode(t, nil, upstream)
			n.memory.limit.Store(memoryLimit)
			status, _, _ := sendRequest(t, n, "pay", "t1", string(randomBody(uploadBodyBytes)))
			close(answered)
			if status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
				t.Errorf("got status %d, want 502 or 503", status)
			}
			if got := <-received; got >= uploadBodyBytes {
				t.Errorf("got %d bytes at the upstream after the answer, want less than the body of %d", got, uploadBodyBytes)
			}
		})
	}
}
