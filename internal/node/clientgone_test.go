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
	eventually(t, "the attempt", func() bool { return requests.Load() == 1 })
	c.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second): // its latency objective is 20 s
		t.Error("the attempt was not canceled")
	}
	eventually(t, "the cancel", func() bool { return n.count(requestsCanceled) == 1 && n.count(attemptsCanceled) == 1 })
}

// A request whose client has left while it waited, wherever that was, is written to no upstream.
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
	halfClose := func(c net.Conn) { c.(*net.TCPConn).CloseWrite() } // the pages know no client that does so and waits
	for name, c := range map[string]struct {
		text      string
		closeConn func(net.Conn)
	}{
		"one request not yet read":       {requestTexts(1), closeConn},
		"one, reset":                     {requestTexts(1), resetConn},
		"one, half-closed":               {requestTexts(1), halfClose},
		"many at once":                   {requestTexts(20), closeConn},
		"many, reset":                    {requestTexts(20), resetConn},
		"more than is read at once":      {requestTexts(200), closeConn},
		"a long body that is half there": {strings.Replace(longBody, "X-Lane: batch\r\n", "", 1)[:300<<10], closeConn},
	} {
		t.Run("before the node looks: "+name, func(t *testing.T) {
			t.Parallel()
			upstream, requests := startUpstream(t, echo)
			n := newNode(t, nil, upstream)
			client, _ := dial(t, n) // the machine takes it, nobody has yet
			client.SetDeadline(time.Now().Add(time.Second))
			writeText(client, c.text)
			c.closeConn(client)
			n.start()
			eventually(t, "the connection's end", n.allClientsClosed)
			n.flushLoop()
			if requests.Load() != 0 || n.count(requestsAccepted) != 0 {
				t.Errorf("%d requests were taken and %d went to the server, for no client", n.count(requestsAccepted),
					requests.Load())
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
		eventually(t, "as many as are read ahead", func() bool {
			return requests.Load() == n.count(attemptsSent) && requests.Load() > maxPipelined
		})
		conn := n.onlyClientConn(t)
		client.Close()
		eventually(t, "its end", conn.clientGone)
		before := requests.Load()
		responseGate.release()
		eventually(t, "the connection's end", n.allClientsClosed)
		if n.flushLoop(); requests.Load() != before {
			t.Errorf("%d requests at the server when the client left, %d in the end", before, requests.Load())
		}
	})
	t.Run("all being dialed, and the reader sees no end", func(t *testing.T) {
		t.Parallel()
		upstream, requests := startUpstream(t, echo)
		n := newNode(t, silentDiscovery(t), upstream, upstream, upstream)
		dialGate := n.blockDials(t)
		n.start()
		client, _ := dial(t, n)
		writeText(client, requestTexts(20))
		dialGate.awaitArrivals(t, maxPipelined+2) // as many as stand in turn, with the writer's and the reader's
		conn := n.onlyClientConn(t)
		client.Close()
		eventually(t, "its end", conn.clientGone)
		dialGate.release()
		eventually(t, "the cancellation", func() bool {
			n.flushLoop()
			return n.count(attemptsNotSent) == n.count(attemptsSent)
		})
		attempts, accepted, canceled := n.count(attemptsSent), n.count(requestsAccepted), n.count(requestsCanceled)
		if requests.Load() != 0 || attempts != accepted || canceled != accepted {
			t.Errorf("of %d requests %d were sent, %d canceled, %d came to servers", accepted, attempts, canceled,
				requests.Load())
		}
	})
	t.Run("in the loop's queue, behind the result that retries it", func(t *testing.T) {
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
		eventually(t, "the answer in the queue", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the cancellation behind it", func() bool { return len(n.loop.events) == 2 })
		loopGate.release()
		eventually(t, "the cancellation", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "the end", func() bool {
			n.flushLoop()
			return n.count(attemptsSent) == n.count(attemptsErrored)+n.count(attemptsNotSent)+n.count(attemptsCanceled)
		})
		if requests.Load() != 1 {
			t.Errorf("%d attempts came to servers, want the one before", requests.Load())
		}
	})
	t.Run("in the loop's queue, before its arrival", func(t *testing.T) {
		t.Parallel()
		upstream, requests := startUpstream(t, echo)
		n := startNode(t, silentDiscovery(t), upstream)
		loopGate := n.blockLoop(t)
		client, _ := dial(t, n)
		writeText(client, requestText("batch", "t", ""))
		eventually(t, "the arrival in the queue", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the cancellation behind it", func() bool { return len(n.loop.events) == 2 })
		loopGate.release()
		eventually(t, "the cancellation", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "the end", func() bool {
			n.flushLoop()
			return n.count(attemptsSent) == n.count(attemptsNotSent)
		})
		if requests.Load() != 0 {
			t.Error("it went to the server")
		}
	})
}

// clientCloseMethods are the ways in which a client leaves; the protocol knows no client that half-closes and waits.
var clientCloseMethods = map[string]func(c net.Conn){
	"close":      func(c net.Conn) { c.Close() },
	"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	"half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// startCountingUpstream starts an upstream that counts attempts as they begin, whether or not they come completely.
func startCountingUpstream(t *testing.T, answer func(c net.Conn, r *http.Request)) (address string, attempts *atomic.Int64) {
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
			answer(c, r)
		}
	}), attempts
}

// An attempt that has not written its first byte when the client leaves does not begin, however it came to be and
// however the client left.
func TestNoAttemptStartsAfterClientClosed(t *testing.T) {
	type scenario struct {
		text string
		// reach brings attempts so far that only their connection is missing; in lets answers of the first server go
		prepare        func(t *testing.T, n *Node, other string, responseGate *gate)
		readerBlocked  bool // the reader does not come to the end
		attemptsBefore int  // attempts that have begun before the client leaves
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
		"a retry behind an error": {
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
				eventually(t, "the cancel's end", func() bool { return n.count(attemptsCanceled) == 1 })
				n.loop.post(func() { // where the decisions have not by themselves
					if n.count(attemptsSent) == 1 {
						n.loop.Send("t0", endpointID("s-1"), 20*time.Second)
					}
				})
			},
		},
		"an upload that flows": {text: partialStreamedRequest("batch", "t0"), readerBlocked: true},
		"many on one connection": {text: func() (text string) {
			for i := range 20 {
				text += requestText("batch", fmt.Sprint("t", i), "")
			}
			return text
		}(), readerBlocked: true},
	} {
		for how, leave := range clientCloseMethods {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				responseGate := newGate(t)
				first, atFirst := startCountingUpstream(t, func(c net.Conn, r *http.Request) {
					responseGate.wait()
					writeResponse(c, "500 Bad", "")
				})
				other, atOther := startCountingUpstream(t, func(c net.Conn, r *http.Request) { echo(c, r, "") })
				n := newNode(t, func(c *Config) {
					withSettings(`"may_duplicate":false`, `"may_duplicate":true`,
						`800000`, `8000000`, `75000`, `5000000`,
						// nothing is canceled on its way, which would do as well
						`"cancelling":true`, `"cancelling":false`)(c)
					c.Discovery, _ = watchOf(t)
				}, first)
				dialGate := newGate(t)
				n.upstreams.dial = func(_ context.Context, address string, limit time.Time) (net.Conn, error) {
					if s.attemptsBefore == 0 || address == other {
						dialGate.wait()
					}
					return n.upstreams.connect(context.Background(), address, limit)
				}
				n.start()
				client, _ := dial(t, n)
				writeText(client, s.text)
				if s.prepare != nil {
					s.prepare(t, n, other, responseGate)
				}
				dialGate.awaitArrivals(t, 1)
				at := n.onlyClientConn(t)
				leave(client)
				eventually(t, "its end", at.clientGone)
				if !s.readerBlocked {
					eventually(t, "the cancellation", func() bool { return n.count(requestsCanceled) == 1 })
				}
				dialGate.release()
				responseGate.release()
				eventually(t, "the end of all attempts", func() bool { n.flushLoop(); return n.allAttemptsEnded() })
				if atFirst.Load() != int64(s.attemptsBefore) || atOther.Load() != 0 || n.count(attemptsNotSent) == 0 {
					t.Errorf("%d attempts began at the first server, want %d; %d at the other; %d did not begin",
						atFirst.Load(), s.attemptsBefore,
						atOther.Load(), n.count(attemptsNotSent))
				}
			})
		}
	}
}

// timestampedReader reads from a socket and notes when the kernel had what was read last, however late the reader is.
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

// sessionLog is what the sockets show: when each client had left, and when each attempt's first byte was at an
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

// troubled starts an upstream that answers as a seed says: late, with errors, with rejections, or not at all.
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
			at := timestamped.lastReceivedAt
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			a.recordAttempt(r.Header.Get(headerRequestID), at)
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

// With clients that leave at any moment, three nodes and six faulty upstreams whose connections open late, no attempt
// begins more than 0.1 s after its client has left.
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
			c.Discovery, _ = watchOf(t)
			c.Limits.MemoryMB = 64
		}, upstreamAddrs...)
		n.upstreams.dial = func(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
			mu.Lock()
			delay := time.Duration(max(0, draws.IntN(900)-300)) * time.Millisecond
			mu.Unlock()
			time.Sleep(delay) // a connection that comes up late, whoever has been told to stop
			return n.upstreams.connect(ctx, address, limit)
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
			for k := range []int{1, 1, 1, 1, 3, 12, 1, 1}[kind-2] {
				ids = append(ids, fmt.Sprintf("t%d-%d", i, k))
				text += requestText(class, ids[k], "")
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
					t.Errorf("%s, who stayed, has no answer: %s", ids[0], body)
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
		eventually(t, "the end of all attempts", func() bool { n.flushLoop(); return n.allAttemptsEnded() })
	}
	sessions.mu.Lock()
	defer sessions.mu.Unlock()
	var attempts, notStarted, late int
	var maxDelay time.Duration
	for id, closedAt := range sessions.clientLeftAt {
		if len(sessions.attemptStarts[id]) == 0 {
			notStarted++
		}
		for k, startedAt := range sessions.attemptStarts[id] {
			sinceClose := startedAt.Sub(closedAt)
			if maxDelay = max(maxDelay, sinceClose); sinceClose > 100*time.Millisecond {
				late++
				t.Logf("attempt %d of %s began %v behind the end of its client", k+1, id, sinceClose)
			}
		}
	}
	var retries int
	for _, starts := range sessions.attemptStarts {
		attempts += len(starts)
		retries += len(starts) - 1
	}
	t.Logf("%d attempts, %d of them further ones, %d requests of clients that left, %d of these never begun, "+
		"the latest %v behind", attempts, retries,
		len(sessions.clientLeftAt), notStarted, maxDelay)
	if late > 0 || attempts < 200 || retries < 20 || notStarted < 50 {
		t.Errorf("%d attempts began more than 0.1 s behind, want 0", late)
	}
}
