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
	first, atFirst := startUpstream(t, echo)
	second, atSecond := startUpstream(t, echo)
	address, asked := startDiscoveryWithLines(t,
		[]string{
			listText(5, false, listEntry("s-0", second, "up"), listEntry("s-1", "nowhere", "up"), `{"host":7}`), "",
			"no list",
		},
		[]string{listText(6, false, listEntry("s-0", second, "draining"))})
	n := startNode(t, func(c *Config) { c.Discovery = address }, first)
	eventually(t, "the move", func() bool { return n.count(listUpdates) == 1 })
	if status, _, _ := sendRequest(t, n, "batch", "t1", ""); status != 200 || atFirst.Load() != 0 || atSecond.Load() != 1 {
		t.Errorf("after the move %d, %d requests at the old address, %d at the new", status, atFirst.Load(),
			atSecond.Load())
	}
	eventually(t, "the drain", func() bool { return n.count(listUpdates) == 2 })
	if status, _, _ := sendRequest(t, n, "batch", "t2", ""); status != 503 || atSecond.Load() != 1 {
		t.Errorf("with its only server draining a request was answered %d", status)
	}
	if n.count(listEntriesSkipped) != 3 {
		t.Errorf("%d entries skipped, want 3", n.count(listEntriesSkipped))
	}
	for i, want := range []string{"after=1 ", "after=5 "} {
		if got, _ := asked.Load(i); got == nil || !strings.Contains(got.(string), want) {
			t.Errorf("call %d was %q, want %q in it", i, got, want)
		}
	}
}

// Guards against a reload that ends the node, counts as a failed watch, or leaves it with the old list.
func TestReloadChangesDiscoveryAddressAtOnce(t *testing.T) {
	server, _ := startUpstream(t, echo)
	old, _ := startDiscoveryWithLines(t, []string{listText(50, false)})
	young, asked := startDiscoveryWithLines(t, []string{listText(3, true, listEntry("s-1", server, "up"))})
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
	n := newNode(t, func(c *Config) { c.Discovery, c.path = old, path }, "127.0.0.1:1")
	signals := Signals()
	go func() { _ = n.Run(signals) }()
	eventually(t, "the old watch", func() bool { return n.count(listUpdates) == 1 })
	told := func(counted counter) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, counterNames[counted], func() bool { return n.count(counted) == 1 })
	}
	write(young, "no seed")
	told(configReloadsRejected)
	if address, _ := n.endpointWatch.current(); address != old {
		t.Errorf("a bad file moved discovery to %s", address)
	}
	write(young, "2e")
	told(configReloads)
	eventually(t, "the new list", func() bool { return n.count(listUpdates) == 2 })
	if status, _, _ := sendRequest(t, n, "batch", "t1", ""); status != 200 {
		t.Errorf("by the new list a request was answered %d", status)
	}
	if got, _ := asked.Load(0); got == nil || !strings.Contains(got.(string), "after=0 ") {
		t.Errorf("the new place was asked %q, want the whole list", got)
	}
	if n.count(listWatchesFailed) != 0 || n.count(listWatches) != 2 {
		t.Errorf("%d calls, %d of them failed", n.count(listWatches), n.count(listWatchesFailed))
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	address, _ := startDiscoveryWithLines(t, []string{listText(2, false)}, []string{listText(3, false)})
	n := newNode(t, func(c *Config) { c.Discovery = address })
	n.endpointWatch.silenceTimeout = 200 * time.Millisecond
	n.start()
	eventually(t, "the second call", func() bool { return n.count(listUpdates) >= 2 })
}

// startScriptedDiscovery starts a discovery service whose calls each go by their own script.
func startScriptedDiscovery(t *testing.T, calls ...func(c net.Conn, chunk func(string))) (address string, asked *atomic.Int64) {
	asked = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.URL.Path != pathList {
			return
		}
		if i := int(asked.Add(1)) - 1; i < len(calls) {
			calls[i](c, func(text string) { writef(c, "%x\r\n%s\r\n", len(text), text) })
		} else {
			discard(c)
		}
	}), asked
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// A watch that falls silent, or gets no head, is repeated at once, however long the backoff and whatever the settings
// say of polling; half a line counts for nothing, and a list may be broken into lines anywhere.
func TestBrokenWatchIsReopenedAtOnce(t *testing.T) {
	stays := func(c net.Conn) { discard(c) }
	line := func(version int, health, server string) string {
		return listText(version, false, listEntry("s-0", server, health)) + "\n"
	}
	for _, mode := range []string{"push", "ask"} {
		for name, script := range map[string]func(server string) []func(net.Conn, func(string)){
			"silent, with nothing changed": func(server string) (calls []func(net.Conn, func(string))) {
				for range 4 {
					calls = append(calls, func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(listText(1, false) + "\n")
						stays(c)
					})
				}
				return append(calls, func(c net.Conn, chunk func(string)) {
					writeText(c, watchResponseHead)
					chunk(line(2, "draining", server))
					stays(c)
				})
			},
			"silent behind its head, then in the midst of a line": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){
					func(c net.Conn, chunk func(string)) { writeText(c, watchResponseHead); stays(c) },
					func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(line(7, "up", server)[:40])
						stays(c)
					},
					func(c net.Conn, chunk func(string)) {
						writeText(c, watchResponseHead)
						chunk(line(2, "draining", server))
						stays(c)
					},
				}
			},
			"indented, in pieces": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){func(c net.Conn, chunk func(string)) {
					writeText(c, watchResponseHead)
					var tree any
					if err := json.Unmarshal([]byte(line(2, "draining", server)), &tree); err != nil {
						t.Error(err)
					}
					text, err := json.MarshalIndent(tree, "", "  ")
					if err != nil {
						t.Error(err)
					}
					chunk("\n")
					chunk(string(text[:50]))
					chunk(string(text[50:]) + "\n\n")
					stays(c)
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
				eventually(t, "the drain", func() bool {
					n.flushLoop()
					n.upstreams.mu.Lock()
					defer n.upstreams.mu.Unlock()
					return len(n.upstreams.eligible) == 0
				})
				if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 503 || requests.Load() != 0 {
					t.Errorf("after the drain a request was answered %d, %d came to the server", status,
						requests.Load())
				}
				if n.endpointWatch.version != 2 {
					t.Errorf("the next call would ask for what came after %d", n.endpointWatch.version)
				}
			})
		}
	}
	for name, c := range map[string]struct {
		wait  time.Duration // between calls
		first func(c net.Conn, chunk func(string), server string)
	}{
		"a call without a head": {time.Hour, func(c net.Conn, _ func(string), _ string) { stays(c) }},
		"reset in the midst of a line": {time.Millisecond, func(c net.Conn, chunk func(string), server string) {
			writeText(c, watchResponseHead)
			chunk(line(2, "draining", server)[:90])
			c.(*net.TCPConn).SetLinger(0)
		}},
	} {
		t.Run("push: "+name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			address, asked := startScriptedDiscovery(t, func(conn net.Conn, chunk func(string)) { c.first(conn, chunk, server) })
			n := newNode(t, func(c *Config) {
				withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c)
				c.Discovery = address
			}, server)
			n.endpointWatch.parallelCallDelay, n.endpointWatch.retryInterval = 60*time.Millisecond, c.wait
			n.start()
			eventually(t, "the next call", func() bool { return asked.Load() >= 2 })
			if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 {
				t.Errorf("by half a line a server was given up: %d", status)
			}
		})
	}
}

// There is always an interval between watches, whatever the settings say of sends to draining endpoints.
func TestWatchRetryIntervalIsBounded(t *testing.T) {
	for within, want := range map[int]time.Duration{
		0: maxRetryInterval, 1: minRetryInterval,
		400000: 100 * time.Millisecond, 60000000: maxRetryInterval,
	} {
		n := newNode(t, withSettings(`"rules":{`, fmt.Sprintf(`"rules":{"stop_sending_within_us":%d,`, within)))
		if n.endpointWatch.retryInterval != want {
			t.Errorf("sends stop within %d us: a wait of %v, want %v", within, n.endpointWatch.retryInterval, want)
		}
	}
}

// What is pushed counts from the first moment of a new process: no request goes by the list from before while the
// first message is due.
func TestPushedListIsAppliedBeforeFirstRequest(t *testing.T) {
	server, requests := startUpstream(t, echo)
	word := newGate(t)
	address, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		word.wait()
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
	word.awaitArrivals(t, 1)
	if n.notReadyReason() == "" {
		t.Error("ready before the first word")
	}
	word.release()
	if status, _, _ := readResponse(in); status != 503 || requests.Load() != 0 {
		t.Errorf("answered %d, %d requests at a server that is draining", status, requests.Load())
	}
}

// The last line from an old discovery address does not come after the first from the new one: once the new list is
// there, it counts.
func TestUpdateFromOldAddressDoesNotReplaceNewList(t *testing.T) {
	server, _ := startUpstream(t, echo)
	late := newGate(t)
	old, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		writeText(c, watchResponseHead)
		chunk(listText(50, false) + "\n")
		late.wait()
		chunk(listText(51, false, listEntry("s-0", server, "draining")) + "\n")
	})
	young, _ := startScriptedDiscovery(t, func(c net.Conn, chunk func(string)) {
		writeText(c, watchResponseHead)
		chunk(listText(3, true, listEntry("s-0", server, "up"), listEntry("s-1", server, "draining")) + "\n")
		discard(c)
	})
	n := startNode(t, func(c *Config) { c.Discovery = old }, server)
	late.awaitArrivals(t, 1)
	eventually(t, "the old list", func() bool { return n.count(listUpdates) == 1 })
	n.endpointWatch.setAddress(young)
	late.release()
	eventually(t, "the new list", func() bool {
		known := make(chan bool)
		n.loop.post(func() {
			_, ok := n.loop.endpoints[endpointID("s-1")]
			known <- ok
		})
		return <-known
	})
	if status, _, _ := sendRequest(t, n, "batch", "t", ""); status != 200 {
		t.Errorf("answered %d by a list that was left", status)
	}
}

// startDiscoveryWithLines starts a discovery service that sends one list of lines to each call in turn, then stays open.
func startDiscoveryWithLines(t *testing.T, calls ...[]string) (address string, asked *sync.Map) {
	asked = new(sync.Map)
	var number atomic.Int64
	return listen(t, func(c net.Conn) {
		in := make([]byte, 4096)
		size, _ := c.Read(in)
		i := int(number.Add(1)) - 1
		asked.Store(i, string(in[:size]))
		if i >= len(calls) {
			return
		}
		writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, line := range calls[i] {
			writef(c, "%x\r\n%s\n\r\n", len(line)+1, line)
			time.Sleep(10 * time.Millisecond)
		}
		waitForClose(c)
	}), asked
}
