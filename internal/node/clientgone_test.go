package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestAttemptIsCanceledWhenClientCloses(t *testing.T) {
	closed := make(chan struct{})
	upstream, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		discard(c)
		close(closed)
		return false
	})
	n := startNode(t, nil, upstream)
	c, _ := dial(t, n)
	writeText(c, "GET /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\n\r\n")
	eventually(t, "the upstream has received the attempt", func() bool { return requests.Load() == 1 })
	c.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second): // well below the latency objective of 20 s
		t.Error("the attempt was not canceled within 5 s after its client closed")
	}
	eventually(t, "the request and the attempt are counted as canceled", func() bool { return n.count(requestsCanceled) == 1 && n.count(attemptsCanceled) == 1 })
}

// A request is not sent to an upstream if its client closes while the request waits, at whatever stage it waits.
func TestWaitingRequestOfClosedClientIsNotSent(t *testing.T) {
	requestTexts := func(n int) (text string) {
		for i := range n {
			text += requestText("batch", fmt.Sprint("t", i), "")
		}
		return text
	}
	longBody := requestText("batch", "t", strings.Repeat("x", 900<<10))
	resetConn := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	closeConn := func(c net.Conn) { c.Close() }
	halfClose := func(c net.Conn) { c.(*net.TCPConn).CloseWrite() } // the protocol treats it as a disconnect
	for name, c := range map[string]struct {
		text      string
		closeConn func(net.Conn)
	}{
		"one request not yet read":  {requestTexts(1), closeConn},
		"one, reset":                {requestTexts(1), resetConn},
		"one, half-closed":          {requestTexts(1), halfClose},
		"many at once":              {requestTexts(20), closeConn},
		"many, reset":               {requestTexts(20), resetConn},
		"more than is read at once": {requestTexts(200), closeConn},
		"an incomplete long body":   {strings.Replace(longBody, "X-Lane: batch\r\n", "", 1)[:300<<10], closeConn},
	} {
		t.Run("before the node reads: "+name, func(t *testing.T) {
			t.Parallel()
			upstream, requests := startUpstream(t, echo)
			n := newNode(t, nil, upstream)
			client, _ := dial(t, n) // accepted by the kernel, not yet by the node
			client.SetDeadline(time.Now().Add(time.Second))
			writeText(client, c.text)
			c.closeConn(client)
			n.start()
			eventually(t, "the client connection is closed", n.allClientsClosed)
			n.flushLoop()
			if requests.Load() != 0 || n.count(requestsAccepted) != 0 {
				t.Errorf("got %d requests accepted and %d sent to the upstream, want 0, as the client closed",
					n.count(requestsAccepted), requests.Load())
			}
		})
	}
	t.Run("behind requests in flight", func(t *testing.T) {
		t.Parallel()
		responseGate := newGate(t)
		upstream, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			responseGate.wait()
			return echo(c, r, body)
		})
		n := startNode(t, nil, upstream)
		client, _ := dial(t, n)
		writeText(client, requestTexts(20))
		eventually(t, "all requests read ahead are sent", func() bool {
			return requests.Load() == n.count(attemptsSent) && requests.Load() > maxPipelined
		})
		conn := n.onlyClientConn(t)
		client.Close()
		eventually(t, "the node detects that the client closed", conn.clientGone)
		before := requests.Load()
		responseGate.release()
		eventually(t, "the client connection is closed", n.allClientsClosed)
		if n.flushLoop(); requests.Load() != before {
			t.Errorf("got %[2]d requests at the upstream, want %[1]d, the number when the client closed", before,
				requests.Load())
		}
	})
	t.Run("all dialing, and the read loop does not see the end", func(t *testing.T) {
		t.Parallel()
		upstream, requests := startUpstream(t, echo)
		n := newNode(t, silentDiscovery(t), upstream, upstream, upstream)
		dialGate := n.blockDials(t)
		n.start()
		client, _ := dial(t, n)
		writeText(client, requestTexts(20))
		dialGate.awaitArrivals(t, maxPipelined+2) // queued requests, plus one in each of the two loops
		conn := n.onlyClientConn(t)
		client.Close()
		eventually(t, "the node detects that the client closed", conn.clientGone)
		dialGate.release()
		eventually(t, "the request is canceled", func() bool {
			n.flushLoop()
			return n.count(attemptsNotSent) == n.count(attemptsSent)
		})
		attempts, accepted, canceled := n.count(attemptsSent), n.count(requestsAccepted), n.count(requestsCanceled)
		if requests.Load() != 0 || attempts != accepted || canceled != accepted {
			t.Errorf("%d requests accepted: got %d attempts, %d canceled, %d received by upstreams, want all canceled, 0 received",
				accepted, attempts, canceled, requests.Load())
		}
	})
	t.Run("in the event queue, after the result that triggers a retry", func(t *testing.T) {
		t.Parallel()
		errorGate := newGate(t)
		upstream, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			errorGate.wait()
			return writeResponse(c, "500 Bad", "")
		})
		n := startNode(t, silentDiscovery(t), upstream, upstream)
		client, _ := dial(t, n)
		writeText(client, requestText("batch", "t", ""))
		errorGate.awaitArrivals(t, 1)
		loopGate := n.blockLoop(t)
		errorGate.release()
		eventually(t, "the result is queued", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the cancellation is queued too", func() bool { return len(n.loop.events) == 2 })
		loopGate.release()
		eventually(t, "the request is canceled", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "all attempts have ended", func() bool {
			n.flushLoop()
			return n.count(attemptsSent) == n.count(attemptsErrored)+n.count(attemptsNotSent)+n.count(attemptsCanceled)
		})
		if requests.Load() != 1 {
			t.Errorf("got %d attempts at upstreams, want 1, the one before the client closed", requests.Load())
		}
	})
	t.Run("in the event queue, before its arrival is handled", func(t *testing.T) {
		t.Parallel()
		upstream, requests := startUpstream(t, echo)
		n := startNode(t, silentDiscovery(t), upstream)
		loopGate := n.blockLoop(t)
		client, _ := dial(t, n)
		writeText(client, requestText("batch", "t", ""))
		eventually(t, "the arrival is queued", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the cancellation is queued too", func() bool { return len(n.loop.events) == 2 })
		loopGate.release()
		eventually(t, "the request is canceled", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "all attempts have ended", func() bool {
			n.flushLoop()
			return n.count(attemptsSent) == n.count(attemptsNotSent)
		})
		if requests.Load() != 0 {
			t.Error("the upstream received the request, want none, as the client closed")
		}
	})
}

// clientCloseMethods are the ways in which a client can close its connection. The protocol treats a half-close as a
// disconnect.
var clientCloseMethods = map[string]func(c net.Conn){
	"close":      func(c net.Conn) { c.Close() },
	"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	"half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// startCountingUpstream starts an upstream that counts attempts by their first byte, whether or not they are complete.
func startCountingUpstream(t *testing.T, respond func(c net.Conn, r *http.Request)) (address string, attempts *atomic.Int64) {
	attempts = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, err := in.Peek(1); err != nil {
				return
			}
			attempts.Add(1)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			respond(c, r)
		}
	}), attempts
}

// Guards against sending an attempt after its client has closed, for each reason to start an attempt and each way to
// close: an attempt that has not written its first byte by then writes none.
func TestNoAttemptStartsAfterClientClosed(t *testing.T) {
	type scenario struct {
		text string
		// prepare starts attempts that then wait only for their connection; it may release the first upstream's
		// responses
		prepare        func(t *testing.T, n *Node, other string, responseGate *gate)
		readerBlocked  bool // the read loop is busy and does not see the client close
		attemptsBefore int  // attempts started before the client closes
	}
	addUpstream := func(t *testing.T, n *Node, other string, responseGate *gate) {
		responseGate.awaitArrivals(t, 1)
		n.updateList(t, listText(2, false, listEntry("s-1", other, "up")))
	}
	for name, s := range map[string]scenario{
		"a first attempt": {text: requestText("batch", "t0", "")},
		"a hedged request": {
			text: requestText("batch", "t0", ""), attemptsBefore: 1,
			prepare: func(t *testing.T, n *Node, other string, responseGate *gate) {
				addUpstream(t, n, other, responseGate)
				n.loop.post(func() { n.loop.Send("t0", endpointID("s-1"), 20*time.Second) })
			},
		},
		"a retry after an error": {
			text: requestText("batch", "t0", ""), attemptsBefore: 1,
			prepare: func(t *testing.T, n *Node, other string, responseGate *gate) {
				addUpstream(t, n, other, responseGate)
				responseGate.release()
			},
		},
		"a retry after a cancel": {
			text: requestText("batch", "t0", ""), attemptsBefore: 1,
			prepare: func(t *testing.T, n *Node, other string, responseGate *gate) {
				addUpstream(t, n, other, responseGate)
				n.loop.post(func() { n.loop.Cancel("t0", 0) })
				eventually(t, "the attempt is canceled", func() bool { return n.count(attemptsCanceled) == 1 })
				n.loop.post(func() { // unless the policy has already retried
					if n.count(attemptsSent) == 1 {
						n.loop.Send("t0", endpointID("s-1"), 20*time.Second)
					}
				})
			},
		},
		"a streamed upload": {text: partialStreamedRequest("batch", "t0"), readerBlocked: true},
		"many on one connection": {text: func() (text string) {
			for i := range 20 {
				text += requestText("batch", fmt.Sprint("t", i), "")
			}
			return text
		}(), readerBlocked: true},
	} {
		for method, closeConn := range clientCloseMethods {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				responseGate := newGate(t)
				first, firstAttempts := startCountingUpstream(t, func(c net.Conn, r *http.Request) {
					responseGate.wait()
					writeResponse(c, "500 Bad", "")
				})
				other, otherAttempts := startCountingUpstream(t, func(c net.Conn, r *http.Request) { echo(c, r, "") })
				n := newNode(t, func(c *Config) {
					withSettings(`"may_duplicate":false`, `"may_duplicate":true`,
						`800000`, `8000000`, `75000`, `5000000`,
						// without canceling, which would also prevent the attempts
						`"cancelling":true`, `"cancelling":false`)(c)
					c.Discovery, _ = startScriptedDiscovery(t)
				}, first)
				dialGate := newGate(t)
				n.upstreams.dial = func(_ context.Context, address string, deadline time.Time) (net.Conn, error) {
					if s.attemptsBefore == 0 || address == other {
						dialGate.wait()
					}
					return n.upstreams.connect(context.Background(), address, deadline)
				}
				n.start()
				client, _ := dial(t, n)
				writeText(client, s.text)
				if s.prepare != nil {
					s.prepare(t, n, other, responseGate)
				}
				dialGate.awaitArrivals(t, 1)
				conn := n.onlyClientConn(t)
				closeConn(client)
				eventually(t, "the node detects that the client closed", conn.clientGone)
				if !s.readerBlocked {
					eventually(t, "the request is canceled", func() bool { return n.count(requestsCanceled) == 1 })
				}
				dialGate.release()
				responseGate.release()
				eventually(t, "all attempts have ended", func() bool { n.flushLoop(); return n.allAttemptsEnded() })
				if firstAttempts.Load() != int64(s.attemptsBefore) || otherAttempts.Load() != 0 || n.count(attemptsNotSent) == 0 {
					t.Errorf("attempts started: got %d at the first upstream, want %d; got %d at the other, want 0; got %d not sent, want some",
						firstAttempts.Load(), s.attemptsBefore,
						otherAttempts.Load(), n.count(attemptsNotSent))
				}
			})
		}
	}
}

// timestampedReader reads from a socket and records when the kernel received the bytes read last, independently of when
// they are read.
type timestampedReader struct {
	raw            syscall.RawConn
	lastReceivedAt time.Time
}

func newTimestampedReader(c net.Conn) (*timestampedReader, error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	return &timestampedReader{raw: raw}, errors.Join(err, optionErr)
}

func (s *timestampedReader) Read(p []byte) (n int, err error) {
	var control [128]byte
	var controlBytes int
	rawErr := s.raw.Read(func(fd uintptr) bool {
		n, controlBytes, _, _, err = syscall.Recvmsg(int(fd), p, control[:], 0)
		return err != syscall.EAGAIN
	})
	if rawErr != nil || err != nil || n == 0 {
		return 0, io.EOF
	}
	s.lastReceivedAt = time.Now()
	messages, _ := syscall.ParseSocketControlMessage(control[:controlBytes])
	for _, message := range messages {
		if message.Header.Type == syscall.SO_TIMESTAMPNS && len(message.Data) >= 16 {
			var sec, ns int64
			for i := range 8 {
				sec |= int64(message.Data[i]) << (8 * i)
				ns |= int64(message.Data[8+i]) << (8 * i)
			}
			s.lastReceivedAt = time.Unix(sec, ns)
		}
	}
	return n, nil
}

// sessionLog records, by request ID, when each client closed and when the first byte of each attempt reached an
// upstream.
type sessionLog struct {
	mu            sync.Mutex
	clientLeftAt  map[string]time.Time
	attemptStarts map[string][]time.Time
}

func (a *sessionLog) recordClientLeft(at time.Time, ids ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		a.clientLeftAt[id] = at
	}
}

func (a *sessionLog) recordAttempt(id string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptStarts[id] = append(a.attemptStarts[id], at)
}

// startFaultyUpstream starts an upstream whose seeded random faults are delays, responses with status 500 or 503, and
// closed connections.
func (a *sessionLog) startFaultyUpstream(t *testing.T, seed uint64) string {
	var mu sync.Mutex
	draws := rand.New(rand.NewPCG(seed, 1))
	return listen(t, func(c net.Conn) {
		timestamped, err := newTimestampedReader(c)
		if err != nil {
			return
		}
		in := bufio.NewReader(timestamped)
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			receivedAt := timestamped.lastReceivedAt
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			a.recordAttempt(r.Header.Get(headerRequestID), receivedAt)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			mu.Lock()
			delay, behavior := time.Duration(draws.IntN(250))*time.Millisecond, draws.IntN(10)
			mu.Unlock()
			if behavior < 4 {
				delay /= 20
			}
			time.Sleep(delay)
			switch {
			case behavior < 3:
				writeResponse(c, "500 Bad", "")
			case behavior == 3:
				writeResponse(c, "503 Full", "")
			case behavior == 4:
				return
			default:
				echo(c, r, "")
			}
		}
	})
}

// With three nodes, six faulty upstreams whose connections open late, and clients that close at random times, no
// attempt starts more than 0.1 s after its client has closed.
func TestNoAttemptStartsAfterClientClosedUnderFaults(t *testing.T) {
	sessions := &sessionLog{clientLeftAt: map[string]time.Time{}, attemptStarts: map[string][]time.Time{}}
	var upstreamAddrs []string
	for i := range 6 {
		upstreamAddrs = append(upstreamAddrs, sessions.startFaultyUpstream(t, uint64(i)))
	}
	var nodes []*Node
	for i := range 3 {
		var mu sync.Mutex
		draws := rand.New(rand.NewPCG(50, uint64(i)))
		n := newNode(t, func(c *Config) {
			withSettings(`"may_duplicate":false`, `"may_duplicate":true`, `800000`, `3000000`, `20000000`, `3000000`,
				`75000`, `1500000`)(c)
			c.Name, c.Seed = fmt.Sprint("n", i), fmt.Sprintf("%x", 7+i)
			c.Discovery, _ = startScriptedDiscovery(t)
			c.Limits.MemoryMB = 64
		}, upstreamAddrs...)
		n.upstreams.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
			mu.Lock()
			delay := time.Duration(max(0, draws.IntN(900)-300)) * time.Millisecond
			mu.Unlock()
			time.Sleep(delay) // a connection that opens late, even if the attempt has been canceled
			return n.upstreams.connect(ctx, address, deadline)
		}
		n.start()
		nodes = append(nodes, n)
	}
	var clients sync.WaitGroup
	draws := rand.New(rand.NewPCG(50, 99))
	methods := []string{"close", "reset", "half-close"}
	for i := range 300 {
		n, class := nodes[draws.IntN(3)], []string{"view", "update", "pay", "batch"}[draws.IntN(4)]
		var text string
		var ids []string
		switch kind := draws.IntN(10); {
		case kind < 2:
			ids = []string{fmt.Sprintf("u%d", i)}
			text = partialStreamedRequest(class, ids[0])
		default:
			for index := range []int{1, 1, 1, 1, 3, 12, 1, 1}[kind-2] {
				ids = append(ids, fmt.Sprintf("t%d-%d", i, index))
				text += requestText(class, ids[index], "")
			}
		}
		closeAfter, closeConn := time.Duration(draws.IntN(600))*time.Millisecond, clientCloseMethods[methods[draws.IntN(3)]]
		waitsForResponse := draws.IntN(4) == 0 && len(ids) == 1 && !strings.HasPrefix(ids[0], "u")
		clients.Go(func() {
			c, err := net.Dial("tcp", n.address())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			writeText(c, text)
			if waitsForResponse {
				if status, body, _ := readResponse(bufio.NewReader(c)); status == 0 {
					t.Errorf("request %s got no response, although its client waits: %s", ids[0], body)
				}
				return
			}
			time.Sleep(closeAfter)
			closeConn(c)
			sessions.recordClientLeft(time.Now(), ids...)
		})
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	for _, n := range nodes {
		eventually(t, "all attempts have ended", func() bool { n.flushLoop(); return n.allAttemptsEnded() })
	}
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	var attempts, notStarted, late int
	var maxDelay time.Duration
	for id, closedAt := range sessions.clientLeftAt {
		if len(sessions.attemptStarts[id]) == 0 {
			notStarted++
		}
		for index, startedAt := range sessions.attemptStarts[id] {
			sinceClose := startedAt.Sub(closedAt)
			if maxDelay = max(maxDelay, sinceClose); sinceClose > 100*time.Millisecond {
				late++
				t.Logf("attempt %d of request %s started %v after its client closed", index+1, id, sinceClose)
			}
		}
	}
	var retries int
	for _, starts := range sessions.attemptStarts {
		attempts += len(starts)
		retries += len(starts) - 1
	}
	t.Logf("%d attempts, %d of them after the first, %d requests of closed clients, %d of these without an attempt, "+
		"latest attempt %v after its client closed", attempts, retries,
		len(sessions.clientLeftAt), notStarted, maxDelay)
	if late > 0 || attempts < 200 || retries < 20 || notStarted < 50 {
		t.Errorf("got %d late attempts, want 0; want at least 200 attempts, 20 retries and 50 requests without an attempt in the log",
			late)
	}
}
