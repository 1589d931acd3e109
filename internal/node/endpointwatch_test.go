package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnglade/internal/endpointlist"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Tests with a discovery service that is slow, overloaded, unreachable, or has a long list. Delays are a tenth of the
// real ones.

const (
	tenthParallelCallDelay = listParallelCallDelay / 10
	tenthSilence           = listSilenceTimeout / 10
)

// serialDiscovery answers calls one after another, including those whose connection is closed, and then keeps the watch
// open.
type serialDiscovery struct {
	address                       string
	calls                         atomic.Int64
	waitingCalls, maxWaitingCalls atomic.Int64 // calls whose connection is open, and their maximum; for one node
	queue                         chan func()
	firstAnswered                 int64 // earlier calls are never answered and their connections stay open
}

// startSerialDiscovery starts a discovery service that needs turn for each call and answers with text. Calls before
// number answerFromCall, counted from 1, are never answered.
func startSerialDiscovery(t *testing.T, turn time.Duration, answerFromCall int64, text string) *serialDiscovery {
	d := &serialDiscovery{queue: make(chan func(), 10000), firstAnswered: answerFromCall}
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	go func() {
		for {
			select {
			case answer := <-d.queue:
				time.Sleep(turn)
				answer()
			case <-testEnded:
				return
			}
		}
	}()
	d.address = listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		number := d.calls.Add(1)
		for now := d.waitingCalls.Add(1); now > d.maxWaitingCalls.Load(); {
			d.maxWaitingCalls.Store(now)
		}
		if number >= d.firstAnswered {
			d.queue <- func() { writef(c, "%s%x\r\n%s\n\r\n", watchResponseHead, len(text)+1, text) }
		}
		discard(c)
		d.waitingCalls.Add(-1)
	})
	return d
}

// newNodeWithTenthDelays makes a node without an initial list. Its delay before a parallel call is a tenth of the real
// one, and it closes no watch as silent.
func newNodeWithTenthDelays(t *testing.T, mode, discovery string) *Node {
	n := newNode(t, func(c *Config) {
		withSettings(`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode))(c)
		c.Discovery, c.KnownList = discovery, nil
	})
	n.endpointWatch.parallelCallDelay, n.endpointWatch.silenceTimeout = tenthParallelCallDelay, time.Hour
	return n
}

// Guards against closing a call that waits and making another, which goes to the end of the queue: a discovery service
// that answers calls in order answers each call eventually.
func TestSlowDiscoveryGetsFewCalls(t *testing.T) {
	text := listText(2, true, listEntry("s-0", "127.0.0.1:1", "up"))
	for _, mode := range []string{"push", "ask"} {
		for turn, maxCalls := range map[time.Duration]int64{400 * time.Millisecond: 2, 600 * time.Millisecond: 2, 950 * time.Millisecond: 4} {
			t.Run(fmt.Sprint(mode, ": time per call ", turn), func(t *testing.T) {
				t.Parallel()
				d := startSerialDiscovery(t, turn, 0, text)
				n := newNodeWithTenthDelays(t, mode, d.address)
				go n.start()
				eventually(t, "ready", func() bool { return n.notReadyReason() == "" && n.hasList.Load() })
				if calls := d.calls.Load(); calls > maxCalls+1 { // one more if the machine is slow
					t.Errorf("got %d calls, want at most %d", calls, maxCalls)
				}
			})
		}
	}
}

// Guards against waiting for calls that a failed discovery instance had accepted: a parallel call is made, but never a
// third one.
func TestUnansweredCallsAreReplaced(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			d := startSerialDiscovery(t, time.Millisecond, 4, listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")))
			n := newNodeWithTenthDelays(t, mode, d.address)
			go n.start()
			eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
			// Briefly 3 calls at a time, until the service notices that the node has closed one.
			if calls, maxWaiting := d.calls.Load(), d.maxWaitingCalls.Load(); calls > 5 || maxWaiting > 3 {
				t.Errorf("got %d calls, at most %d at a time, want at most 5 calls and 3 at a time", calls, maxWaiting)
			}
			eventually(t, "the other calls to be closed", func() bool { return d.waitingCalls.Load() == 1 })
		})
	}
}

// Guards against nodes that overload a slow discovery service with repeated calls: nodes that start together must all
// be ready when its queue is empty, with few additional calls.
func TestManyNodesStartWithSlowDiscovery(t *testing.T) {
	const nodes = 40
	d := startSerialDiscovery(t, 20*time.Millisecond, 0, listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")))
	var all []*Node
	for i := range nodes {
		n := newNodeWithTenthDelays(t, []string{"push", "ask"}[i%2], d.address)
		all = append(all, n)
		go n.start()
	}
	eventually(t, "all ready", func() bool {
		for _, n := range all {
			if n.notReadyReason() != "" {
				return false
			}
		}
		return true
	})
	if calls := d.calls.Load(); calls > 4*nodes {
		t.Errorf("got %d calls of %d nodes, want at most 4 per node", calls, nodes)
	}
}

// Guards against a long backoff after a failed call: a list is binding 6 s after discovery can be reached again,
// however long a backoff the balancer requests.
func TestBackoffAfterFailedCallIsBounded(t *testing.T) {
	server, _ := startUpstream(t, echo)
	address, _ := startScriptedDiscovery(t, func(c net.Conn, _ func(string)) {
		writeText(c, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}, func(c net.Conn, chunk func(string)) {
		writeText(c, watchResponseHead)
		chunk(listText(2, true, listEntry("s-0", server, "up")) + "\n")
		discard(c)
	})
	n := startNode(t, func(c *Config) {
		withSettings(`"ask_within_us":10000000`, `"ask_within_us":3600000000`)(c)
		c.Discovery = address
	})
	eventually(t, "the list", func() bool { return n.count(listUpdates) == 1 })
}

// A watch whose head arrives at once and whose first event follows only after the silence timeout must not be closed as
// silent; one whose first event never arrives must be replaced.
func TestWatchWhoseHeadPrecedesItsFirstEvent(t *testing.T) {
	answer := func(c net.Conn, chunk func(string)) {
		chunk(listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")) + "\n")
		discard(c)
	}
	silent := func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); discard(c) }
	for name, script := range map[string][]func(net.Conn, func(string)){
		"first event follows later": {func(c net.Conn, chunk func(string)) {
			writeText(c, watchResponseHead)
			time.Sleep(2 * tenthSilence)
			answer(c, chunk)
		}, silent, silent, silent},
		"never": {silent, silent, func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); answer(c, chunk) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := startScriptedDiscovery(t, script...)
			n := newNodeWithTenthDelays(t, "push", address)
			n.endpointWatch.silenceTimeout = tenthSilence
			go n.start()
			eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
			if calls.Load() > 4 {
				t.Errorf("got %d calls, want at most 4", calls.Load())
			}
		})
	}
}

// A list that exceeds the limits is logged once, requested with a growing backoff, and does not replace the current
// list. Once it is within the limits it is applied.
func TestOversizedListIsIgnored(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			var short atomic.Bool
			var callCount atomic.Int64
			address := listen(t, func(c net.Conn) {
				skipRequestHead(bufio.NewReader(c))
				callCount.Add(1)
				text := listText(2, true, listEntry("s-1", server, "up"))
				if !short.Load() {
					text = listText(2, true, strings.Repeat(listEntry("s-1", server, "up")+",", 20)+listEntry("s-2", server, "up"))
				}
				writef(c, "%s%x\r\n%s\n\r\n", watchResponseHead, len(text)+1, text)
				discard(c)
			})
			n := newNode(t, func(c *Config) {
				withSettings(`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode))(c)
				c.Discovery = address
			}, server)
			core, logged := observer.New(zap.InfoLevel)
			n.log = zap.New(core)
			n.listLimits = endpointlist.Limits{ValueBytes: 1 << 16, LineBytes: 1 << 20, Endpoints: 20}
			n.start()
			time.Sleep(1500 * time.Millisecond)
			if calls := callCount.Load(); calls < 2 || calls > 4 {
				t.Errorf("got %d calls in 1.5 s, want 2 to 4: the backoff grows from 0.2 s", calls)
			}
			if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 || !n.overrides.isKnown("s-0") || n.overrides.isKnown("s-1") {
				t.Errorf("got status %d while the old list should be in use, want 200 and only s-0 known", status)
			}
			if errorsLogged := logged.FilterLevelExact(zap.ErrorLevel).Len(); errorsLogged != 1 || logged.FilterMessage("endpoint watch ended").Len() != 0 {
				t.Errorf("got %d logged errors, want 1 and no end of the watch: %v", errorsLogged, logged.All())
			}
			short.Store(true)
			eventually(t, "the list", func() bool { return n.overrides.isKnown("s-1") })
			if n.endpointWatch.oversizedBackoff != 0 && n.count(listUpdates) == 0 {
				t.Error("got a backoff for a list within the limits, want none")
			}
		})
	}
}

// A node with default settings applies a list of 120,000 endpoints that is sent in one line.
func TestListOf120000Endpoints(t *testing.T) {
	const servers = 120000
	var b strings.Builder
	for i := range servers {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"host":"s-%08x","dial":"127.9.%d.%d:8443","site":"a","class":"m2","block":%d,"health":"up","share":1.0,"born_ms":0}`, i, i/250%250,
			i%250+1, i%31)
	}
	text := `{"seq":2,"whole":true,"hosts":[` + b.String() + `]}`
	var calls atomic.Int64
	address := listen(t, func(c net.Conn) {
		skipRequestHead(bufio.NewReader(c))
		calls.Add(1)
		writef(c, "%s%x\r\n%s\n\r\n", watchResponseHead, len(text)+1, text)
		for {
			time.Sleep(time.Second)
			if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	})
	n := newNode(t, func(c *Config) {
		withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c)
		c.Discovery, c.KnownList, c.Limits.MemoryMB = address, nil, 0
	})
	go n.start()
	for end := time.Now().Add(2 * time.Minute); n.notReadyReason() != ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not ready within 2 min, after %d calls: %s", calls.Load(), n.notReadyReason())
		}
	}
	known := make(chan int)
	n.loop.post(func() { known <- len(n.loop.endpoints) })
	if count := <-known; count != servers || calls.Load() != 1 {
		t.Errorf("got %d known endpoints after %d calls, want 120000 after 1", count, calls.Load())
	}
	if !n.overrides.isKnown("s-00000000") || !n.overrides.isKnown(fmt.Sprintf("s-%08x", servers-1)) {
		t.Error("an endpoint of the list is not a known name, so operators can't disable it")
	}
	n.endpointWatch.setAddress("127.0.0.1:1")
	n.updateList(t, listText(3, true)) // frees the memory for the following tests
}

// A new discovery address is called at once, and the pending call to the old one is closed.
func TestAddressChangeWhileCallIsPending(t *testing.T) {
	text := listText(2, true, listEntry("s-0", "127.0.0.1:1", "up"))
	oldDiscovery, newDiscovery := startSerialDiscovery(t, 0, 1000, text), startSerialDiscovery(t, 0, 0, text)
	n := newNodeWithTenthDelays(t, "push", oldDiscovery.address)
	n.endpointWatch.parallelCallDelay, n.endpointWatch.retryInterval = time.Hour, time.Hour
	go n.start()
	eventually(t, "the call to the old address", func() bool { return oldDiscovery.waitingCalls.Load() == 1 })
	n.endpointWatch.setAddress(newDiscovery.address)
	eventually(t, "the list of the new address", func() bool { return n.count(listUpdates) == 1 })
	eventually(t, "the old call to be closed", func() bool { return oldDiscovery.waitingCalls.Load() == 0 })
	if n.count(listWatchesFailed) != 0 || oldDiscovery.calls.Load() != 1 || newDiscovery.calls.Load() != 1 {
		t.Errorf("got %d calls at the old address, %d at the new and %d failed, want 1, 1 and 0", oldDiscovery.calls.Load(), newDiscovery.calls.Load(), n.count(listWatchesFailed))
	}
}
