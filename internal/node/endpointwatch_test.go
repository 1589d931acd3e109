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

// Tests of a discovery that is slow, overloaded, unreachable, or has a long list. Times are a tenth of the real ones.

const (
	tenthParallelCallDelay = listParallelCallDelay / 10
	tenthSilence           = listSilenceTimeout / 10
)

// serialDiscovery answers calls in turn, one at a time and also those that were given up, and then keeps the watch
// open.
type serialDiscovery struct {
	address                       string
	calls                         atomic.Int64
	waitingCalls, maxWaitingCalls atomic.Int64 // calls that wait for their turn, of one node at a time
	queue                         chan func()
	firstAnswered                 int64 // calls before this one are never answered, and their connections never end
}

func startSerialDiscovery(t *testing.T, cost time.Duration, from int64, text string) *serialDiscovery {
	q := &serialDiscovery{queue: make(chan func(), 10000), firstAnswered: from}
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case answer := <-q.queue:
				time.Sleep(cost)
				answer()
			case <-over:
				return
			}
		}
	}()
	q.address = listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		number := q.calls.Add(1)
		for now := q.waitingCalls.Add(1); now > q.maxWaitingCalls.Load(); {
			q.maxWaitingCalls.Store(now)
		}
		if number >= q.firstAnswered {
			q.queue <- func() { writef(c, "%s%x\r\n%s\n\r\n", watchResponseHead, len(text)+1, text) }
		}
		discard(c)
		q.waitingCalls.Add(-1)
	})
	return q
}

// newNodeWithTenthDelays makes a node without a list whose times are a tenth.
func newNodeWithTenthDelays(t *testing.T, mode, discovery string) *Node {
	n := newNode(t, func(c *Config) {
		withSettings(`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode))(c)
		c.Discovery, c.KnownList = discovery, nil
	})
	n.endpointWatch.parallelCallDelay, n.endpointWatch.silenceTimeout = tenthParallelCallDelay, time.Hour
	return n
}

// A discovery that answers calls in turn answers each in the end: a call that waits is not given up for one at the end
// of the queue.
func TestSlowDiscoveryGetsFewCalls(t *testing.T) {
	text := listText(2, true, listEntry("s-0", "127.0.0.1:1", "up"))
	for _, mode := range []string{"push", "ask"} {
		for turn, most := range map[time.Duration]int64{400 * time.Millisecond: 2, 600 * time.Millisecond: 2, 950 * time.Millisecond: 4} {
			t.Run(fmt.Sprint(mode, ": a turn of ", turn), func(t *testing.T) {
				t.Parallel()
				q := startSerialDiscovery(t, turn, 0, text)
				n := newNodeWithTenthDelays(t, mode, q.address)
				go n.start()
				eventually(t, "ready", func() bool { return n.notReadyReason() == "" && n.hasList.Load() })
				if calls := q.calls.Load(); calls > most+1 { // one more where the machine is slow
					t.Errorf("%d calls, want %d at most", calls, most)
				}
			})
		}
	}
}

// Calls that were lost with the machine that had accepted them delay nothing: another is made beside them, and never a
// third.
func TestUnansweredCallsAreReplaced(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			q := startSerialDiscovery(t, time.Millisecond, 4, listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")))
			n := newNodeWithTenthDelays(t, mode, q.address)
			go n.start()
			eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
			if calls, most := q.calls.Load(), q.maxWaitingCalls.Load(); calls > 5 || most > 3 { // the third until the node's close has come
				t.Errorf("%d calls, %d at a time", calls, most)
			}
			eventually(t, "the others closed", func() bool { return q.waitingCalls.Load() == 1 })
		})
	}
}

// Nodes that start together before a discovery with a long queue are all ready by the queue's end, with few calls
// beside.
func TestManyNodesStartWithSlowDiscovery(t *testing.T) {
	const nodes = 40
	q := startSerialDiscovery(t, 20*time.Millisecond, 0, listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")))
	var all []*Node
	for i := range nodes {
		n := newNodeWithTenthDelays(t, []string{"push", "ask"}[i%2], q.address)
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
	if calls := q.calls.Load(); calls > 4*nodes {
		t.Errorf("%d calls of %d nodes", calls, nodes)
	}
}

// However long the decisions would back off after a failed call, a list binds 6 s after discovery could be reached
// again.
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

// A watch whose head comes at once and whose first event comes in its turn is not dead, and one whose first event never
// comes is.
func TestWatchWhoseHeadPrecedesItsFirstEvent(t *testing.T) {
	answer := func(c net.Conn, chunk func(string)) {
		chunk(listText(2, true, listEntry("s-0", "127.0.0.1:1", "up")) + "\n")
		discard(c)
	}
	silent := func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); discard(c) }
	for name, script := range map[string][]func(net.Conn, func(string)){
		"in its turn": {func(c net.Conn, chunk func(string)) {
			writeText(c, watchResponseHead)
			time.Sleep(2 * tenthSilence)
			answer(c, chunk)
		}, silent, silent, silent},
		"never": {silent, silent, func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); answer(c, chunk) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, asked := startScriptedDiscovery(t, script...)
			n := newNodeWithTenthDelays(t, "push", address)
			n.endpointWatch.silenceTimeout = tenthSilence
			go n.start()
			eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
			if asked.Load() > 4 {
				t.Errorf("%d calls", asked.Load())
			}
		})
	}
}

// A list that is too long is logged once and asked for seldom, leaves the old one in use, and counts once it is short
// enough.
func TestOversizedListIsIgnored(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			var short atomic.Bool
			var asked atomic.Int64
			address := listen(t, func(c net.Conn) {
				skipRequestHead(bufio.NewReader(c))
				asked.Add(1)
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
			if calls := asked.Load(); calls < 2 || calls > 4 {
				t.Errorf("%d calls in 1.5 s, want 2 to 4: the backoff grows from 0.2 s", calls)
			}
			if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 || !n.overrides.isKnown("s-0") || n.overrides.isKnown("s-1") {
				t.Errorf("%d by the old list", status)
			}
			if complaints := logged.FilterLevelExact(zap.ErrorLevel).Len(); complaints != 1 || logged.FilterMessage("endpoint watch ended").Len() != 0 {
				t.Errorf("%d errors logged: %v", complaints, logged.All())
			}
			short.Store(true)
			eventually(t, "the list", func() bool { return n.overrides.isKnown("s-1") })
			if n.endpointWatch.oversizedBackoff != 0 && n.count(listUpdates) == 0 {
				t.Error("not accepted yet")
			}
		})
	}
}

// A node of default settings takes in a list of 120,000 endpoints in one line.
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
	var asked atomic.Int64
	address := listen(t, func(c net.Conn) {
		skipRequestHead(bufio.NewReader(c))
		asked.Add(1)
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
			t.Fatalf("not ready, after %d calls: %s", asked.Load(), n.notReadyReason())
		}
	}
	known := make(chan int)
	n.loop.post(func() { known <- len(n.loop.endpoints) })
	if fleet := <-known; fleet != servers || asked.Load() != 1 {
		t.Errorf("%d endpoints known after %d calls", fleet, asked.Load())
	}
	if !n.overrides.isKnown("s-00000000") || !n.overrides.isKnown(fmt.Sprintf("s-%08x", servers-1)) {
		t.Error("operators can't disable an endpoint that is on the list")
	}
	n.endpointWatch.setAddress("127.0.0.1:1")
	n.updateList(t, listText(3, true)) // so that the tests after it do not pay for it
}

// A new address is called at once while a call to the old one waits, which is closed.
func TestAddressChangeWhileCallIsPending(t *testing.T) {
	text := listText(2, true, listEntry("s-0", "127.0.0.1:1", "up"))
	old, young := startSerialDiscovery(t, 0, 1000, text), startSerialDiscovery(t, 0, 0, text)
	n := newNodeWithTenthDelays(t, "push", old.address)
	n.endpointWatch.parallelCallDelay, n.endpointWatch.retryInterval = time.Hour, time.Hour
	go n.start()
	eventually(t, "the call that waits", func() bool { return old.waitingCalls.Load() == 1 })
	n.endpointWatch.setAddress(young.address)
	eventually(t, "the list of the new address", func() bool { return n.count(listUpdates) == 1 })
	eventually(t, "the old call closed", func() bool { return old.waitingCalls.Load() == 0 })
	if n.count(listWatchesFailed) != 0 || old.calls.Load() != 1 || young.calls.Load() != 1 {
		t.Errorf("%d calls at the old address, %d at the new, %d failed", old.calls.Load(), young.calls.Load(), n.count(listWatchesFailed))
	}
}
