package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestWatchAppliesUpdatesAndSkipsInvalidEntries(t *testing.T) {
	firstAddress, firstRequests := startUpstream(t, echo)
	secondAddress, secondRequests := startUpstream(t, echo)
	address, watchRequests := startDiscoveryWithLines(t,
		[]string{
			listText(5, false, listEntry("s-0", secondAddress, "up"), listEntry("s-1", "nowhere", "up"), `{"host":7}`), "",
			"no list",
		},
		[]string{listText(6, false, listEntry("s-0", secondAddress, "draining"))})
	n := startNode(t, func(c *Config) { c.Discovery = address }, firstAddress)
	eventually(t, "the update with the new address", func() bool { return n.count(listUpdates) == 1 })
	if status, _, _ := sendRequest(t, n, "batch", "t1", ""); status != 200 || firstRequests.Load() != 0 || secondRequests.Load() != 1 {
		t.Errorf("after the address change: got status %d, %d requests at the old address and %d at the new, want 200, 0 and 1", status, firstRequests.Load(),
			secondRequests.Load())
	}
	eventually(t, "the update with the draining endpoint", func() bool { return n.count(listUpdates) == 2 })
	if status, _, _ := sendRequest(t, n, "batch", "t2", ""); status != 503 || secondRequests.Load() != 1 {
		t.Errorf("got status %d with only a draining endpoint, want 503 and no attempt", status)
	}
	if n.count(listEntriesSkipped) != 3 {
		t.Errorf("got %d skipped entries, want 3", n.count(listEntriesSkipped))
	}
	for i, want := range []string{"after=1 ", "after=5 "} {
		if got, _ := watchRequests.Load(i); got == nil || !strings.Contains(got.(string), want) {
			t.Errorf("call %d: got request %q, want %q in it", i, got, want)
		}
	}
}

// Guards against a reload that ends the node, counts as a failed watch, or keeps the old list.
func TestReloadChangesDiscoveryAddressAtOnce(t *testing.T) {
	server, _ := startUpstream(t, echo)
	oldAddress, _ := startDiscoveryWithLines(t, []string{listText(50, false)})
	newAddress, watchRequests := startDiscoveryWithLines(t, []string{listText(3, true, listEntry("s-1", server, "up"))})
	path := t.TempDir() + "/config.json"
	write := func(discovery, seed string) {
		text, err := json.Marshal(Config{
			Listen: "127.0.0.1:1", Discovery: discovery, Seed: seed,
			Settings: json.RawMessage(settingsText),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n := newNode(t, func(c *Config) { c.Discovery, c.path = oldAddress, path }, "127.0.0.1:1")
	signals := Signals()
	go func() { _ = n.Run(signals) }()
	eventually(t, "the list of the old address", func() bool { return n.count(listUpdates) == 1 })
	reload := func(counted counter) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, counterNames[counted], func() bool { return n.count(counted) == 1 })
	}
	write(newAddress, "no seed")
	reload(configReloadsRejected)
	if address, _ := n.endpointWatch.current(); address != oldAddress {
		t.Errorf("an invalid configuration changed the discovery address to %s", address)
	}
	write(newAddress, "2e")
	reload(configReloads)
	eventually(t, "the list of the new address", func() bool { return n.count(listUpdates) == 2 })
	if status, _, _ := sendRequest(t, n, "batch", "t1", ""); status != 200 {
		t.Errorf("got status %d with the new list, want 200", status)
	}
	if got, _ := watchRequests.Load(0); got == nil || !strings.Contains(got.(string), "after=0 ") {
		t.Errorf("got request %q at the new address, want one for the complete list", got)
	}
	if n.count(listWatchesFailed) != 0 || n.count(listWatches) != 2 {
		t.Errorf("got %d calls and %d failed ones, want 2 and 0", n.count(listWatches), n.count(listWatchesFailed))
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	address, _ := startDiscoveryWithLines(t, []string{listText(2, false)}, []string{listText(3, false)})
	n := newNode(t, func(c *Config) { c.Discovery = address })
	n.endpointWatch.silenceTimeout = 200 * time.Millisecond
	n.start()
	eventually(t, "the update of the second call", func() bool { return n.count(listUpdates) >= 2 })
}

// startScriptedDiscovery starts a discovery service that handles each call with its own script.
func startScriptedDiscovery(t *testing.T, scripts ...func(c net.Conn, chunk func(string))) (address string, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.URL.Path != pathList {
			return
		}
		if i := int(calls.Add(1)) - 1; i < len(scripts) {
			scripts[i](c, func(text string) { writef(c, "%x\r\n%s\r\n", len(text), text) })
		} else {
			discard(c)
		}
	}), calls
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a delay before a silent watch, or one without a head, is reopened: that must happen at once, whatever
// the backoff and the settings for polling. Also, an incomplete line must not be applied, and a line may be received in
// any number of pieces.
func TestBrokenWatchIsReopenedAtOnce(t *testing.T) {
	keepOpen := func(c net.Conn) { discard(c) }
	line := func(version int, health, server string) string {
		return listText(version, false, listEntry("s-0", server, health)) + "\n"
	}
	for _, mode := range []string{"push", "ask"} {
		for name, script := range map[string]func(server string) []func(net.Conn, func(string)){
			"silent after an update without changes": func(server string) (calls []func(net.Conn, func(string))) {
				for range 4 {
					calls = append(calls, func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(listText(1, false) + "\n")
						keepOpen(c)
					})
				}
				return append(calls, func(c net.Conn, chunk func(string)) {
					writeText(c, watchResponseHead)
					chunk(line(2, "draining", server))
					keepOpen(c)
				})
			},
			"silent after its head, then within a line": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){
					func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); keepOpen(c) },
					func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(line(7, "up", server)[:40])
						keepOpen(c)
					},
					func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(line(2, "draining", server))
						keepOpen(c)
					},
				}
			},
			"indented JSON in pieces": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){func(c net.Conn, chunk func(string)) {
					writeText(c, watchResponseHead)
					var decoded any
					if err := json.Unmarshal([]byte(line(2, "draining", server)), &decoded); err != nil {
						t.Error(err)
					}
					text, err := json.MarshalIndent(decoded, "", "  ")
					if err != nil {
						t.Error(err)
					}
					chunk("\n")
					chunk(string(text[:50]))
					chunk(string(text[50:]) + "\n\n")
					keepOpen(c)
				}}
			},
		} {
			t.Run(mode+": "+name, func(t *testing.T) {
				t.Parallel()
				server, requests := startUpstream(t, echo)
				address, _ := startScriptedDiscovery(t, script(server)...)
				n := newNode(t, func(c *Config) {
					withSettings(`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode), `"ask_within_us":10000000`,
						`"ask_within_us":3600000000`)(c)
					c.Discovery = address
				}, server)
				n.endpointWatch.silenceTimeout, n.endpointWatch.retryInterval = 60*time.Millisecond, time.Hour
				n.start()
				eventually(t, "the endpoint to drain", func() bool {
					n.flushLoop()
					n.upstreams.mu.Lock()
					defer n.upstreams.mu.Unlock()
					return len(n.upstreams.eligible) == 0
				})
				if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 503 || requests.Load() != 0 {
					t.Errorf("after the drain: got status %d and %d requests at the upstream, want 503 and 0", status,
						requests.Load())
				}
				if n.endpointWatch.version != 2 {
					t.Errorf("got version %d for the next call, want 2", n.endpointWatch.version)
				}
			})
		}
	}
	for name, c := range map[string]struct {
		wait  time.Duration // between calls
		first func(c net.Conn, chunk func(string), server string)
	}{
		"a call without a head": {time.Hour, func(c net.Conn, _ func(string), _ string) { keepOpen(c) }},
		"reset within a line": {time.Millisecond, func(c net.Conn, chunk func(string), server string) {
			writeText(c, watchResponseHead)
			chunk(line(2, "draining", server)[:90])
			c.(*net.TCPConn).SetLinger(0)
		}},
	} {
		t.Run("push: "+name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			address, callCount := startScriptedDiscovery(t, func(conn net.Conn, chunk func(string)) { c.first(conn, chunk, server) })
			n := newNode(t, func(c *Config) {
				withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c)
				c.Discovery = address
			}, server)
			n.endpointWatch.parallelCallDelay, n.endpointWatch.retryInterval = 60*time.Millisecond, c.wait
			n.start()
			eventually(t, "the next call", func() bool { return callCount.Load() >= 2 })
			if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 {
				t.Errorf("got status %d after an incomplete line with a drain, want 200", status)
			}
		})
	}
}

// Guards against calls without a delay: the retry interval has a lower bound, whatever drain grace the settings give.
func TestWatchRetryIntervalIsBounded(t *testing.T) {
	for drainGraceUs, want := range map[int]time.Duration{
		0: maxRetryInterval, 1: minRetryInterval,
		400000: 100 * time.Millisecond, 60000000: maxRetryInterval,
	} {
		n := newNode(t, withSettings(`"rules":{`, fmt.Sprintf(`"rules":{"stop_sending_within_us":%d,`, drainGraceUs)))
		if n.endpointWatch.retryInterval != want {
			t.Errorf("drain grace of %d us: got a retry interval of %v, want %v", drainGraceUs, n.endpointWatch.retryInterval, want)
		}
	}
}

// Guards against requests that use the initial list of a new process although the first pushed update drains their
// endpoint: the node is not ready before that update.
func TestPushedListIsAppliedBeforeFirstRequest(t *testing.T) {
	server, requests := startUpstream(t, echo)
	firstEvent := newGate(t)
	address, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		firstEvent.wait()
		writeText(c, watchResponseHead)
		chunk(listText(2, false, listEntry("s-0", server, "draining")) + "\n")
		discard(c)
	})
	n := newNode(t, func(c *Config) {
		withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c)
		c.Discovery = address
	}, server)
	client, in := dial(t, n)
	writeText(client, requestText("batch", "t", ""))
	go n.start()
	firstEvent.awaitArrivals(t, 1)
	if n.notReadyReason() == "" {
		t.Error("ready before the first event of the watch")
	}
	firstEvent.release()
	if status, _, _ := readResponse(in); status != 503 || requests.Load() != 0 {
		t.Errorf("got status %d and %d requests at a draining upstream, want 503 and 0", status, requests.Load())
	}
}

// Guards against an update of the old discovery address that is applied after the first list of the new address.
func TestUpdateFromOldAddressDoesNotReplaceNewList(t *testing.T) {
	server, _ := startUpstream(t, echo)
	lastUpdate := newGate(t)
	oldAddress, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		writeText(c, watchResponseHead)
		chunk(listText(50, false) + "\n")
		lastUpdate.wait()
		chunk(listText(51, false, listEntry("s-0", server, "draining")) + "\n")
	})
	newAddress, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		writeText(c, watchResponseHead)
		chunk(listText(3, true, listEntry("s-0", server, "up"), listEntry("s-1", server, "draining")) + "\n")
		discard(c)
	})
	n := startNode(t, func(c *Config) { c.Discovery = oldAddress }, server)
	lastUpdate.awaitArrivals(t, 1)
	eventually(t, "the list of the old address", func() bool { return n.count(listUpdates) == 1 })
	n.endpointWatch.setAddress(newAddress)
	lastUpdate.release()
	eventually(t, "the list of the new address", func() bool {
		known := make(chan bool)
		n.loop.post(func() {
			_, ok := n.loop.endpoints[endpointID("s-1")]
			known <- ok
		})
		return <-known
	})
	if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 {
		t.Errorf("got status %d, want 200: an update of the old address was applied", status)
	}
}

// startDiscoveryWithLines starts a discovery service that sends one slice of lines to each call in order, then keeps
// the connection open.
func startDiscoveryWithLines(t *testing.T, calls ...[]string) (address string, requests *sync.Map) {
	requests = new(sync.Map)
	var number atomic.Int64
	return listen(t, func(c net.Conn) {
		in := make([]byte, 4096)
		size, _ := c.Read(in)
		i := int(number.Add(1)) - 1
		requests.Store(i, string(in[:size]))
		if i >= len(calls) {
			return
		}
		writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, line := range calls[i] {
			writef(c, "%x\r\n%s\n\r\n", len(line)+1, line)
			time.Sleep(10 * time.Millisecond)
		}
		waitForClose(c)
	}), requests
}
