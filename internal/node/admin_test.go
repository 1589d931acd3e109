package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnglade/policy"
)

func withAdmin(c *Config) { c.AdminListen = unusedAddress() }

// sendAdminCall writes text on a new admin connection and returns the response.
func sendAdminCall(t *testing.T, n *Node, text string) (status int, body string, header http.Header) {
	t.Helper()
	c, err := net.Dial("tcp", n.admin.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	writeText(c, text)
	return readResponse(bufio.NewReader(c))
}

func callText(call string) string { return call + " HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n" }

func (n *Node) adminCall(t *testing.T, adminCall string) int {
	t.Helper()
	status, _, _ := sendAdminCall(t, n, callText(adminCall))
	return status
}

func TestAdminRejectsInvalidCalls(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, withAdmin, upstream)
	eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		"GET /ready HTTP/1.1\r\nHost: c\r\nX: " + strings.Repeat("x", maxAdminHeadBytes) + "\r\n\r\n": 431,
		strings.Repeat("x", 3*maxAdminHeadBytes):                                                      431,
		callText("GET /"):                                                                             404,
		callText("PUT /ready"):                                                                        405,
		callText("GET /drain"):                                                                        405,
		callText("POST /servers/disable?target=s-0"):                                                  405,
		callText("PUT /servers/disable"):                                                              400,
		callText("PUT /servers/disable?target="):                                                      400,
		callText("PUT /servers/disable?target=s-0&target=s-0"):                                        400,
		callText("PUT /servers/disable?target=%zz"):                                                   400,
		callText("PUT /servers/disable?target=s-9"):                                                   404,
		callText("PUT /servers/enable?target=s-9"):                                                    404,
		"PUT /servers/disable?target=s-0 HTTP/1.1\r\nHost: c\r\nno end":                               408,
	} {
		status, body, header := sendAdminCall(t, n, text)
		if status != want || strings.Count(body, "\n") != 1 {
			t.Errorf("%.60q: got status %d, body %q, want status %d and a one-line body", text, status, body, want)
		}
		if (header.Get("Allow") != "") != (want == 405) {
			t.Errorf("%.60q: got status %d with Allow %q, want Allow with status 405 only", text, status, header.Get("Allow"))
		}
	}
	if n.overrides.isDisabled(endpointID("s-0")) || n.count(adminCallsBad) != 14 {
		t.Errorf("an invalid call disabled s-0, or the calls were miscounted: got %d bad calls, want 14", n.count(adminCallsBad))
	}
}

// Guards against connections without a call, or with an incomplete one, occupying all admin connections.
func TestSilentAdminConnectionsAreEvicted(t *testing.T) {
	n := startNode(t, withAdmin)
	for i := range 6 * maxAdminConns {
		c, err := net.Dial("tcp", n.admin.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			writeText(c, "PUT /drain HTTP/1.1\r\nHo")
		}
	}
	for _, call := range []string{"GET /ready", "PUT /drain", "PUT /undrain"} {
		if status := n.adminCall(t, call); status != 200 {
			t.Errorf("%s among silent connections: got status %d, want 200", call, status)
		}
	}
	n.admin.mu.Lock()
	defer n.admin.mu.Unlock()
	if n.admin.open > n.admin.maxOpen {
		t.Errorf("got %d open admin connections, want at most %d", n.admin.open, n.admin.maxOpen)
	}
}

// Guards against admin calls that wait for the event loop: the loop is blocked and its queue is full.
func TestAdminDoesNotWaitForEventLoop(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, withAdmin, upstream)
	eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
	unblock := make(chan struct{})
	n.loop.post(func() { <-unblock })
	for len(n.loop.events) < cap(n.loop.events) {
		select {
		case n.loop.events <- func() {}:
		default: // the endpoint watch posts events too, and has filled the queue
		}
	}
	for _, call := range []string{"PUT /servers/disable?target=s-0", "PUT /drain", "PUT /undrain", "PUT /servers/enable?target=s-0", "GET /ready"} {
		if status := n.adminCall(t, call); status != 200 {
			t.Errorf("%s while the event loop is blocked: got status %d, want 200", call, status)
		}
	}
	close(unblock)
}

// A disabled endpoint gets no requests, whatever the endpoint list says about it, until it is enabled again. It then
// counts as newly started and goes through slow start.
func TestDisabledEndpointGetsNoRequests(t *testing.T) {
	disabledAddr, disabledRequests := startUpstream(t, echo)
	otherAddr, _ := startUpstream(t, echo)
	n := startNode(t, withAdmin, disabledAddr, otherAddr)
	eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
	countAtDisabled := func(round string) int64 {
		before := disabledRequests.Load()
		for i := range 20 {
			if status, _, _ := sendRequest(t, n, "batch", fmt.Sprint(round, i), ""); status != 200 {
				t.Errorf("round %s, request %d: got status %d, want 200", round, i, status)
			}
		}
		return disabledRequests.Load() - before
	}
	if countAtDisabled("before") == 0 {
		t.Fatal("s-0 got none of 20 requests before it was disabled, want at least 1")
	}
	notSentBefore := n.count(attemptsNotSent) // on a busy machine attempts that are overdue while dialing are canceled
	for range 2 {
		if status := n.adminCall(t, "PUT /servers/disable?target=s-0"); status != 200 {
			t.Fatalf("disable: got status %d, want 200", status)
		}
	}
	listings := []string{
		listText(2, false, listEntry("s-0", disabledAddr, "up")), listText(3, false, listEntry("s-0", disabledAddr, "removed")),
		listText(4, true, listEntry("s-1", otherAddr, "up")), listText(5, false, listEntry("s-0", disabledAddr, "up")),
	}
	for i := range len(listings) + 1 {
		time.Sleep(2 * overridesPollInterval)
		if got := countAtDisabled(fmt.Sprint("out", i)); got != 0 {
			t.Errorf("disabled endpoint got %d requests after %d list updates, want 0", got, i)
		}
		if i < len(listings) {
			n.postList(t, listings[i])
		}
	}
	if got := n.count(attemptsNotSent) - notSentBefore; got != 0 {
		t.Errorf("the policy selected the disabled endpoint: got %d attempts not sent, want 0", got)
	}
	before := n.clock.now()
	if n.adminCall(t, "PUT /servers/enable?target=s-0") != 200 {
		t.Fatal("enable: got a status other than 200, want 200")
	}
	eventually(t, "the endpoint is in use again", func() bool { return countAtDisabled(fmt.Sprint("back", time.Now().UnixNano())) > 0 })
	startedAt := make(chan policy.Time, 1)
	n.loop.post(func() { startedAt <- n.overrides.applied.apply(*n.overrides.entries["s-0"]).StartedAt })
	if started := <-startedAt; started < before {
		t.Errorf("start time after enabling: got %d, want at least %d, the time of the call", started, before)
	}
}

// Guards against a policy that still selects an endpoint after the call that disabled it was confirmed: the override is
// applied at once, not at the next poll of the overrides file.
func TestOverrideIsAppliedWithoutPolling(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := newNode(t, withAdmin, upstream)
	n.loop.endpointsUpdated(n.chooseInitialList().entries, true)
	n.overrides.addKnownNames("s-0")
	go n.loop.run()
	go n.overrides.watch(nil)
	if _, err := n.overrides.change(func(o *overrideSet) string { return o.disable("s-0", 1) }); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the event loop has applied the override", func() bool {
		applied := make(chan *overrideSet, 1)
		n.loop.post(func() { applied <- n.overrides.applied })
		return (<-applied).disabledIDs[endpointID("s-0")]
	})
}

// An attempt checks overrides itself before it is written, because the policy may not have seen them yet.
func TestAttemptChecksOverridesBeforeItIsSent(t *testing.T) {
	upstream, requests := startUpstream(t, echo)
	n := newNode(t, withAdmin, upstream)
	n.overrides.addKnownNames("s-0")
	if _, err := n.overrides.change(func(o *overrideSet) string { return o.disable("s-0", 1) }); err != nil {
		t.Fatal(err)
	}
	a := &attempt{request: newPendingRequest(), target: upstreamTarget{endpointID("s-0"), upstream}, deadline: n.clock.now().Add(time.Second)}
	_, err := n.upstreams.runRoundTrip(a)
	if err == nil || err.outcome() != policy.OutcomeNotSent || requests.Load() != 0 {
		t.Errorf("got error %v and %d requests at the disabled endpoint, want outcome not sent and 0", err, requests.Load())
	}
}

// Overrides persist across restarts, and both processes of a node apply them and can change them concurrently.
func TestOverridesAreSharedAndPersisted(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	var dir, listen string
	n := startNode(t, func(c *Config) { withAdmin(c); dir, listen = c.filesDir, c.Listen }, upstream)
	other := newNode(t, func(c *Config) { withAdmin(c); c.filesDir, c.Listen = dir, listen }, upstream)
	other.start()
	eventually(t, "both processes are ready", func() bool { return n.adminCall(t, "GET /ready") == 200 && other.adminCall(t, "GET /ready") == 200 })
	n.adminCall(t, "PUT /servers/disable?target=s-0")
	n.adminCall(t, "PUT /drain")
	eventually(t, "the other process has read the overrides", func() bool {
		return other.overrides.isDisabled(endpointID("s-0")) && other.adminCall(t, "GET /ready") == 503
	})
	later := newNode(t, func(c *Config) { c.filesDir, c.Listen = dir, listen })
	if !later.overrides.isDisabled(endpointID("s-0")) || !later.overrides.drained() || !later.overrides.isKnown("s-0") {
		t.Error("a new process does not have the overrides: want s-0 disabled and known, and the node drained")
	}
	other.adminCall(t, "PUT /servers/enable?target=s-0")
	eventually(t, "the first process has read that s-0 is enabled", func() bool { return !n.overrides.isDisabled(endpointID("s-0")) })
	if !n.overrides.drained() {
		t.Error("enabling s-0 in one process undid the drain of the other")
	}
	var changes sync.WaitGroup
	for i := range 20 {
		for _, process := range []*Node{n, other} {
			name := fmt.Sprintf("s-%d-%p", i, process)
			process.overrides.addKnownNames(name)
			changes.Go(func() {
				if _, err := process.overrides.change(func(o *overrideSet) string { return o.disable(name, 1) }); err != nil {
					t.Error(err)
				}
			})
		}
	}
	changes.Wait()
	n.overrides.reload()
	if overrideCount := len(n.overrides.current.Load().disabledIDs); overrideCount != 40 {
		t.Errorf("got %d overrides after concurrent changes by both processes, want 40", overrideCount)
	}
}

// The overrides file may be damaged: the node starts nevertheless, counts the file as unreadable, and applies the
// entries that it can read.
func TestUnreadableOverridesAreCounted(t *testing.T) {
	n := newNode(t, withAdmin)
	header := "fawnglade-orders 1 " + n.identity() + "\n"
	for text, want := range map[string]int{
		"":               0,
		"fawnglade-ord":  0,
		"\x00\xff\n\x00": 0,
		header:           0,
		"fawnglade-orders 1 \"n9\" 127.0.0.1:9\nserver \"s-0\" 1 0\nend\n":                           0,
		"fawnglade-orders 7 " + n.identity() + "\nserver \"s-0\" 1 0\nfuture things\nend\n":          1,
		header + "server \"s-0\" 1 0\nserver \"s-1\" 2":                                              1,
		header + "server \"s-0\" 1 0\nserver s-1 2 0\nserver \"s-2\" 9 x\nserver \"s-3\" 9 0\nend\n": 2,
		header + strings.Repeat("nonsense\n", 1<<18):                                                 0,
	} {
		if err := os.WriteFile(n.overrides.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		restarted := newNode(t, func(c *Config) { c.filesDir, c.Listen = n.config.filesDir, n.config.Listen })
		if got := len(restarted.overrides.current.Load().disabledIDs); got != want || restarted.count(overridesUnreadable) != 1 {
			t.Errorf("%.80q: got %d endpoints disabled, want %d; got a count of %d unreadable files, want 1",
				text, got, want, restarted.count(overridesUnreadable))
		}
	}
	running := newNode(t, func(c *Config) { c.filesDir, c.Listen = n.config.filesDir, n.config.Listen })
	running.overrides.publish(&overrideSet{drained: true, endpoints: map[string]endpointOverride{"s-7": {disabledAt: 1}}})
	if err := os.WriteFile(n.overrides.path, []byte(header+"server \"s-0\" 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	running.overrides.reload()
	if !running.overrides.drained() || !running.overrides.isDisabled(endpointID("s-7")) {
		t.Error("reloading a damaged file ended the drain or enabled s-7, want both overrides kept")
	}
	if err := errors.Join(os.Remove(n.overrides.path), os.Mkdir(n.overrides.path, 0o700)); err != nil {
		t.Fatal(err)
	}
	if restarted := newNode(t, func(c *Config) { c.filesDir, c.Listen = n.config.filesDir, n.config.Listen }); restarted.count(overridesUnreadable) != 1 {
		t.Error("a directory in place of the overrides file was not counted as unreadable")
	}
	n.overrides.addKnownNames("s-0")
	if _, err := n.overrides.change(func(o *overrideSet) string { return o.disable("s-0", 1) }); err == nil || n.overrides.isDisabled(endpointID("s-0")) {
		t.Error("an override that can't be written to the file was confirmed or applied, want an error and no effect")
	}
}

// While drained the node is not ready and closes idle connections, and active ones after their next response, but still
// serves requests.
func TestDrainedNodeClosesConnections(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, withAdmin, upstream)
	eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
	used, in := dial(t, n)
	writeText(used, requestText("batch", "t1", ""))
	readResponse(in)
	idle, idleIn := dial(t, n)
	writeText(idle, requestText("batch", "t2", ""))
	readResponse(idleIn)
	if n.adminCall(t, "PUT /drain") != 200 || n.adminCall(t, "GET /ready") != 503 {
		t.Fatal("drained node: want status 200 for /drain, then 503 for /ready")
	}
	c, cIn := dial(t, n)
	writeText(c, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _, _ := readResponse(cIn); status != 503 {
		t.Errorf("/ready on the client listener of a drained node: got status %d, want 503", status)
	}
	writeText(used, requestText("batch", "t3", ""))
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("active connection: got response %v, error %v, want status 200 with Connection: close", r, err)
	}
	if status, _, _ := sendRequest(t, n, "batch", "t4", ""); status != 200 {
		t.Errorf("client that connects during the drain: got status %d, want 200", status)
	}
	idle.SetReadDeadline(time.Now().Add(4 * time.Second))
	if _, err := idleIn.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got error %v, want EOF, as the drained node closes it", err)
	}
	for range 2 {
		if n.adminCall(t, "PUT /undrain") != 200 || n.adminCall(t, "GET /ready") != 200 {
			t.Error("after the drain: want status 200 for /undrain and for /ready")
		}
	}
	if status, _, _ := sendRequest(t, n, "batch", "t5", ""); status != 200 {
		t.Errorf("request after the drain: got status %d, want 200", status)
	}
}

func activeEndpointInfo(name string) policy.EndpointInfo {
	return policy.EndpointInfo{ID: endpointID(name), State: policy.StateActive, Weight: 1}
}

// postList posts an endpoint list to the event loop as if the discovery service had sent it.
func (n *Node) postList(t *testing.T, text string) {
	t.Helper()
	update, err := n.parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n.loop.postEndpoints(update.entries, update.complete)
}
