package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"

	"go.uber.org/zap"
)

const smallScenario = `name = "x"
length = "3s"
[network]
zones = ["a", "b"]
cross = "2ms"
[nodes]
zones = ["a"]
[[fleet]]
count = 6
[load]
rate = 120
[clients]
retries = 0
[[category]]
name = "view"
soft_limit = "100ms"
hard_limit = "400ms"
work = "4ms"
[[category]]
name = "update"
repeat = "ticketed"
group = "zone"
soft_limit = "100ms"
hard_limit = "400ms"
work = "4ms"
[[category]]
name = "pay"
repeat = "exclusive"
soft_limit = "100ms"
hard_limit = "400ms"
work = "4ms"
`

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runScenario runs a scenario, up to three times if the run is void. The test is skipped if the machine is always too
// busy.
func runScenario(t *testing.T, s *scenario.Scenario, start StartFunc) *trace.Trace {
	t.Helper()
	for range 3 {
		r, err := Run(context.Background(), Options{Scenario: s, Seed: 3, Start: start})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Void {
			return r
		}
	}
	t.Skip("three runs were void because the machine was too busy")
	return nil
}

// The rule checker must find a proxy that violates one rule, with the rule, request, endpoint and time, and must find
// nothing in the same scenario with a proxy that keeps the rules.
func TestRuleCheckerFindsMisbehaviors(t *testing.T) {
	fault := func(kind, more string) string {
		return fmt.Sprintf("[[fault]]\nkind = %q\nat = \"500ms\"\n%s\n", kind, more)
	}
	for _, c := range []struct {
		misbehavior, faults string
		rule                int
		description         string
	}{
		{"lose", "", 1, "connection ended without an answer"},
		{"late", "", 1, "after its hard limit"},
		{"twice", "", 1, "a second answer"},
		{"foreign", "", 1, "answered with what no server made"},
		{"after", "", 1, "sent to a server after its final answer"},
		{"copy", "", 2, "a second copy while another was out"},
		{"resend-exclusive", fault("fail", "count = 6\nhand_offs = 0.3"), 2, "an exclusive task sent again"},
		{"decline-exclusive", fault("fail", "count = 6\nhand_offs = 0.3"), 2, "declined though it may have run"},
		{"outside-group", fault("fail", "count = 6\nhand_offs = 0.3"), 2, "outside its group"},
		{"undrained", fault("drain", "servers = [\"s-1\"]"), 3, "sent to a draining or gone server"},
		{"rush-cold", fault("restart-servers", "servers = [\"s-1\"]"), 4, "a cold server was pushed over"},
	} {
		t.Run(c.misbehavior, func(t *testing.T) {
			t.Parallel()
			s := parseScenario(t, smallScenario+c.faults)
			if c.misbehavior == "rush-cold" {
				s.Load.Rate = 900 // 3.6 s of work per second, on an endpoint that can do 0.5 in slow start
			}
			r := runScenario(t, s, StartReferenceProxy("random", c.misbehavior))
			if len(r.Violations) == 0 {
				t.Fatalf("got no violations, want some; got anomalies: %v", r.Anomalies)
			}
			for _, b := range r.Violations {
				if b.Rule != c.rule || !strings.Contains(b.Description, c.description) || b.Node != 0 || b.At < 0 ||
					b.At > int64(5*time.Second) {
					t.Errorf("got violation %v, want only rule %d by node 0 in the first 5 s, with text %q", b, c.rule, c.description)
				}
				if c.rule == 4 {
					if b.Endpoint != 1 {
						t.Errorf("got violation %v, want endpoint 1", b)
					}
					continue
				}
				if len(b.Request) != 16 || c.rule != 1 && (b.Attempt < 0 || b.Endpoint < 0) ||
					c.misbehavior == "undrained" && b.Endpoint != 1 {
					t.Errorf("got violation %v, want its request, attempt and endpoint", b)
				}
			}
		})
		t.Run(c.misbehavior+" not done", func(t *testing.T) {
			t.Parallel()
			if r := runScenario(t, parseScenario(t, smallScenario+c.faults), StartReferenceProxy("random", "")); len(r.Violations) != 0 {
				t.Errorf("a proxy that keeps the rules: got violations %v, want none", r.Violations)
			}
		})
	}
}

// Guards against a closed-loop load generator, which hides stalls: if the only endpoint pauses for a second, a client
// that waits for each response sees just one slow response. In an open loop, all operations that were due in that
// second are slow.
func TestStallShowsInAllDueOperations(t *testing.T) {
	s := parseScenario(t, strings.NewReplacer(
		`"400ms"`, `"3s"`, "count = 6", "count = 1\nplaces = 500\nwaiting = 500", "zones = [\"a\", \"b\"]",
		"zones = [\"a\"]",
	).Replace(smallScenario)+
		"[[fault]]\nkind = \"pause\"\nat = \"1s\"\nfor = \"1s\"\nservers = [\"s-0\"]\n")
	s.Clients.MaxConnections = 4 // so few that most operations wait for one, which counts in their latency
	r := runScenario(t, s, StartReferenceProxy("random", ""))
	slow, due := 0, 0
	for i, o := range r.Outcomes {
		if at := r.Plan.Operations[i].Due - r.StartedAt; at > int64(time.Second) && at < int64(1500*time.Millisecond) {
			due++
			if o.State == trace.Succeeded && o.Elapsed > int64(450*time.Millisecond) {
				slow++
			}
		}
	}
	if due < 20 || slow < due*9/10 {
		t.Errorf("got %d slow operations of %d due in the first half of the pause, want nine tenths of at least 20", slow, due)
	}
}

// A killed node violates no rule. The operations that it held, and those that come later, are lost.
func TestKilledNodeLosesOperationsWithoutViolations(t *testing.T) {
	s := parseScenario(
		t,
		strings.Replace(smallScenario, "rate = 120", "rate = 400", 1)+"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nnodes = [0]\n",
	)
	r := runScenario(t, s, StartReferenceProxy("random", ""))
	lost := 0
	for _, o := range r.Outcomes {
		if o.State == trace.Pending {
			t.Fatal("an operation has no outcome")
		}
		if o.State == trace.Lost {
			lost++
		}
	}
	if len(r.Violations) != 0 || lost < 100 {
		t.Errorf("got violations %v and %d operations lost, want none and at least 100", r.Violations, lost)
	}
}

// While an endpoint is cut off, connection attempts time out and open connections stay silent. Afterwards it accepts
// connections again.
func TestCutEndpointIsSilentAndReconnects(t *testing.T) {
	run := &Emulation{
		scenario: parseScenario(t, smallScenario), done: make(chan struct{}), history: &invariant.History{}, clockStart: time.Now(),
		log: zap.NewNop(), anomalies: map[string]int{},
	}
	run.nodes = []*node{{run: run}}
	cutEndpoint := &endpoint{run: run, fleet: &run.scenario.Fleets[0], wakeup: make(chan struct{}, 1)}
	l := &listener{endpoint: cutEndpoint, address: "127.0.0.1:0", conns: map[*connection]struct{}{}}
	cutEndpoint.listeners = append(cutEndpoint.listeners, l)
	if err := cutEndpoint.start(false); err != nil {
		t.Fatal(err)
	}
	defer close(run.done)
	defer cutEndpoint.stop()
	old, err := net.Dial("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	send(old, "GET / HTTP/1.1\r\nX-Txn: nobody\r\n\r\n")
	if response, err := bufio.NewReader(old).ReadString('\n'); err != nil || !strings.Contains(response, "400") {
		t.Fatalf("before the cut: got %q, error %v; want a response with status 400", response, err)
	}
	if err := l.cutOff(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", l.address, 150*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection to a cut off endpoint was established, want a timeout")
	} else if e := net.Error(nil); !errors.As(err, &e) || !e.Timeout() {
		t.Errorf("connecting to a cut off endpoint: got error %v, want a timeout", err)
	}
	send(old, "GET / HTTP/1.1\r\nX-Txn: nobody\r\n\r\n")
	old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of the first response may still be unread.
		if _, err = io.Copy(io.Discard, old); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reading from a cut off endpoint: got error %v, want a timeout", err)
		}
	}
	if err := l.reconnect(); err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp", l.address, time.Second)
	if err != nil {
		t.Fatalf("connecting after the cut: %v", err)
	}
	c.Close()
}

// No process, goroutine or socket may be left after a run, whether it ends by a failed node, by its caller or by a
// panic.
func TestRunLeavesNoProcessOrGoroutine(t *testing.T) {
	before := runtime.NumGoroutine()
	s := parseScenario(t, smallScenario)
	var last Process
	startCommand := func(command ...string) StartFunc {
		return func(config string, env []string, log io.Writer) (Process, error) {
			process, err := processLauncher.start(command, env, log)
			last = process
			return process, err
		}
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Start: startCommand("/bin/sh", "-c", "echo no good; exit 3")}); err == nil || !strings.Contains(err.Error(), "no good") {
		t.Errorf("a node that ends at once: got error %v, want one with the last line of its log", err)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Start: startCommand("/nowhere/node")}); err == nil {
		t.Error("a node without an executable was started, want an error")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, Options{Scenario: s, Start: startCommand("/bin/sleep", "60")}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a run that its caller ends: got error %v, want context.DeadlineExceeded", err)
	}
	select {
	case <-last.Done():
	default:
		t.Error("the node's process is still running")
	}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("a panic in the run did not reach the caller")
			}
		}()
		_, _ = Run(context.Background(), Options{
			Scenario: s, Start: StartReferenceProxy("random", ""),
			Progress: func(_, _ time.Duration, _, _ int) { panic("rig") },
		})
	}()
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before+4; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			buf := make([]byte, 1<<16)
			t.Fatalf("got %d goroutines after the runs, %d before:\n%s", runtime.NumGoroutine(), before, buf[:runtime.Stack(buf, true)])
		}
	}
}

func TestRunIsVoidIfLabRanLate(t *testing.T) {
	m := &lagMonitor{now: func() int64 { return 0 }}
	for i := range int64(100) {
		m.record(i*lagSlot, i*lagSlot, 1e6)
	}
	if void, _ := m.isVoid(); void {
		t.Error("a run with a lag of 1 ms is void, want it to count")
	}
	for i := range int64(10) {
		m.record(i*7*lagSlot, i*7*lagSlot, int64(50*time.Millisecond))
	}
	if void, late := m.isVoid(); !void || late != int64(50*time.Millisecond) {
		t.Errorf("lag of 50 ms in a tenth of the slots: got void %v, lag %d ns; want true and 5e7", void, late)
	}
	if m.allowanceAt(7*lagSlot) != int64(100*time.Millisecond) || m.allowanceAt(99*lagSlot) != 2e6 {
		t.Error("want an allowance of twice the lag near a time: 100 ms at slot 7, 2 ms at slot 99")
	}
}

// The reader must parse messages that arrive one byte at a time, and reject malformed, truncated and oversized ones.
func TestReaderParsesAndRejectsMessages(t *testing.T) {
	text := "GET /a HTTP/1.1\r\nx-TXN:  1 \r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" +
		"POST /c HTTP/1.1\r\nContent-Length: 4\r\nConnection: Close\r\n\r\nwxyz"
	a, b := net.Pipe()
	go func() {
		for i := range len(text) {
			send(a, text[i:i+1])
		}
		a.Close()
	}()
	in := newReader(b, func() int64 { return 7 })
	var m message
	for i, want := range []struct{ first, body, id string }{{"GET /a HTTP/1.1", "", "1"}, {"POST /b HTTP/1.1", "abcde", ""}, {"POST /c HTTP/1.1", "wxyz", ""}} {
		if err := in.next(&m, false); err != nil || string(m.firstLine) != want.first ||
			string(m.body) != want.body || string(m.get(headerRequestID)) != want.id || m.closesConnection != (i == 2) {
			t.Errorf("message %d: got %q, body %q, ID %q, close %v, error %v; want the next message of the text, and close on the last only", i, m.firstLine, m.body, m.get(headerRequestID), m.closesConnection, err)
		}
	}
	if err := in.next(&m, false); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: got error %v, want io.EOF", err)
	}
	for _, bad := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "noise\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", maxHead),
	} {
		a, b := net.Pipe()
		go func() {
			send(a, bad)
			a.Close()
		}()
		if err := newReader(b, func() int64 { return 0 }).next(&m, true); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("message %.40q: got error %v, want an error other than io.EOF", bad, err)
		}
		b.Close()
	}
}

// A response after the expected one counts as an extra response only if the client has sent no request since. The
// response to a request that the client has just canceled arrives on the same connection and is expected.
func TestExtraResponseCountsOnlyWithoutRequest(t *testing.T) {
	for name, c := range map[string]struct {
		secondRequest bool // the client sends a second request and cancels it before the response
		extra         bool
	}{
		"nothing was asked":             {extra: true},
		"the try behind it is given up": {secondRequest: true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			respond := make(chan struct{})
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				in := bufio.NewReader(conn)
				const response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
				if _, err := http.ReadRequest(in); err == nil {
					send(conn, response)
				}
				<-respond
				send(conn, response)
			}()
			run := &Emulation{
				scenario: parseScenario(t, smallScenario), clockStart: time.Now(), history: &invariant.History{},
				done: make(chan struct{}),
			}
			n := &node{run: run, address: ln.Addr().String()}
			testClients := &clients{run: run, outcomes: make([]trace.Outcome, 2), wake: make(chan struct{}, 1)}
			cc := &clientConn{pool: &pool{clients: testClients, node: n, connections: map[*clientConn]struct{}{}}}
			newRequest := func(id int, cancelsAfter time.Duration) *clientRequest {
				now := run.now()
				return &clientRequest{
					operation: &workload.Operation{
						Index: id, Due: now, CancelsAfter: int64(cancelsAfter), Tenant: -1, Key: -1,
					}, deadline: now + int64(5*time.Second),
					id: fmt.Sprint("t", id),
				}
			}
			if reusable, resend := cc.roundTrip(newRequest(0, 0)); !reusable || resend != nil {
				t.Fatal("the first request ended its connection")
			}
			first := cc.lastAnswered
			if c.secondRequest {
				cc.roundTrip(newRequest(1, 20*time.Millisecond))
				if cc.conn == nil || testClients.outcomes[1].State != trace.Canceled {
					t.Fatalf("the second request: got state %v, want Canceled on an open connection", testClients.outcomes[1].State)
				}
			}
			close(respond)
			cc.conn.SetReadDeadline(time.Time{})
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				if more, _ := connState(cc.conn); more {
					break
				}
				if time.Now().After(end) {
					t.Fatal("no bytes arrived within 5 s")
				}
			}
			cc.close()
			if got := first.ExtraAt != invariant.Never; got != c.extra {
				t.Errorf("got an extra response recorded: %t, want the opposite", got)
			}
		})
	}
}
