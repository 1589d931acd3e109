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

// played plays a day, again if the machine was too busy for it; a machine that always is proves nothing.
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
	t.Skip("the machine ran late three times")
	return nil
}

// The ledger must be able to fail: a proxy that breaks one rule is caught at it, with task, server and moment, and an
// honest one on the same day is not.
func TestRuleCheckerFindsMisbehaviors(t *testing.T) {
	fault := func(kind, more string) string {
		return fmt.Sprintf("[[fault]]\nkind = %q\nat = \"500ms\"\n%s\n", kind, more)
	}
	for _, c := range []struct {
		wrong, faults string
		rule          int
		what          string
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
		t.Run(c.wrong, func(t *testing.T) {
			t.Parallel()
			s := parseScenario(t, smallScenario+c.faults)
			if c.wrong == "rush-cold" {
				s.Load.Rate = 900 // 3.6 s of work a second, on a server that can do 0.5 then
			}
			r := runScenario(t, s, StartReferenceProxy("random", c.wrong))
			if len(r.Violations) == 0 {
				t.Fatalf("nothing broken; seen besides: %v", r.Anomalies)
			}
			for _, b := range r.Violations {
				if b.Rule != c.rule || !strings.Contains(b.Description, c.what) || b.Node != 0 || b.At < 0 ||
					b.At > int64(5*time.Second) {
					t.Errorf("%v; want rule %d only, %s", b, c.rule, c.what)
				}
				if c.rule == 4 {
					if b.Endpoint != 1 {
						t.Errorf("%v; want server 1", b)
					}
					continue
				}
				if len(b.Request) != 16 || c.rule != 1 && (b.Attempt < 0 || b.Endpoint < 0) ||
					c.wrong == "undrained" && b.Endpoint != 1 {
					t.Errorf("%v; want its task, hand-off and server", b)
				}
			}
		})
		t.Run(c.wrong+" not done", func(t *testing.T) {
			t.Parallel()
			if r := runScenario(t, parseScenario(t, smallScenario+c.faults), StartReferenceProxy("random", "")); len(r.Violations) != 0 {
				t.Errorf("an honest proxy is blamed: %v", r.Violations)
			}
		})
	}
}

// A load tool that waits for answers hides a stall: while the only server stands still for a second, one client that
// sent the next task after each answer would see one slow answer. Here all that were due in that second are.
func TestStallShowsInAllDueOperations(t *testing.T) {
	s := parseScenario(t, strings.NewReplacer(
		`"400ms"`, `"3s"`, "count = 6", "count = 1\nplaces = 500\nwaiting = 500", "zones = [\"a\", \"b\"]",
		"zones = [\"a\"]",
	).Replace(smallScenario)+
		"[[fault]]\nkind = \"pause\"\nat = \"1s\"\nfor = \"1s\"\nservers = [\"s-0\"]\n")
	s.Clients.MaxConnections = 4 // so few that most have to wait for one, which is also a stall
	r := runScenario(t, s, StartReferenceProxy("random", ""))
	long, due := 0, 0
	for i, o := range r.Outcomes {
		if at := r.Plan.Operations[i].Due - r.StartedAt; at > int64(time.Second) && at < int64(1500*time.Millisecond) {
			due++
			if o.State == trace.Succeeded && o.Elapsed > int64(450*time.Millisecond) {
				long++
			}
		}
	}
	if due < 20 || long < due*9/10 {
		t.Errorf("%d of %d tasks that were due in the stall's first half show it", long, due)
	}
}

// A node that dies holding tasks is no liar; what it held is lost and told so.
func TestKilledNodeLosesOperationsWithoutViolations(t *testing.T) {
	s := parseScenario(
		t,
		strings.Replace(smallScenario, "rate = 120", "rate = 400", 1)+"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nnodes = [0]\n",
	)
	r := runScenario(t, s, StartReferenceProxy("random", ""))
	lost := 0
	for _, o := range r.Outcomes {
		if o.State == trace.Pending {
			t.Fatal("a task has no end")
		}
		if o.State == trace.Lost {
			lost++
		}
	}
	if len(r.Violations) != 0 || lost < 100 {
		t.Errorf("broken %v, lost %d; want none broken and all that came afterwards lost", r.Violations, lost)
	}
}

// A server that vanishes in silence: new connections to it never come up, old ones stay silent, and later it is back.
func TestCutEndpointIsSilentAndReconnects(t *testing.T) {
	d := &Emulation{
		scenario: parseScenario(t, smallScenario), done: make(chan struct{}), history: &invariant.History{}, clockStart: time.Now(),
		log: zap.NewNop(), anomalies: map[string]int{},
	}
	d.nodes = []*node{{run: d}}
	m := &endpoint{run: d, fleet: &d.scenario.Fleets[0], wakeup: make(chan struct{}, 1)}
	door := &listener{endpoint: m, address: "127.0.0.1:0", conns: map[*connection]struct{}{}}
	m.listeners = append(m.listeners, door)
	if err := m.start(false); err != nil {
		t.Fatal(err)
	}
	defer close(d.done)
	defer m.stop()
	old, err := net.Dial("tcp", door.address)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	send(old, "GET / HTTP/1.1\r\nX-Txn: nobody\r\n\r\n")
	if answer, err := bufio.NewReader(old).ReadString('\n'); err != nil || !strings.Contains(answer, "400") {
		t.Fatalf("before: %q %v", answer, err)
	}
	if err := door.cutOff(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", door.address, 150*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up to a machine that has vanished")
	} else if e := net.Error(nil); !errors.As(err, &e) || !e.Timeout() {
		t.Errorf("%v, want silence", err)
	}
	send(old, "GET / HTTP/1.1\r\nX-Txn: nobody\r\n\r\n")
	old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		// What was left of the first answer may still stand there.
		if _, err = io.Copy(io.Discard, old); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v on a connection to a machine that has vanished, want silence", err)
		}
	}
	if err := door.reconnect(); err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp", door.address, time.Second)
	if err != nil {
		t.Fatalf("not back: %v", err)
	}
	c.Close()
}

// Whatever ends a day, nothing of it is left.
func TestRunLeavesNoProcessOrGoroutine(t *testing.T) {
	before := runtime.NumGoroutine()
	s := parseScenario(t, smallScenario)
	var last Process
	sleeper := func(words ...string) StartFunc {
		return func(config string, env []string, log io.Writer) (Process, error) {
			p, err := processLauncher.start(words, env, log)
			last = p
			return p, err
		}
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Start: sleeper("/bin/sh", "-c", "echo no good; exit 3")}); err == nil || !strings.Contains(err.Error(), "no good") {
		t.Errorf("a node that ends at once: %v, want its last words", err)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Start: sleeper("/nowhere/node")}); err == nil {
		t.Error("a node that is not there started")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, Options{Scenario: s, Start: sleeper("/bin/sleep", "60")}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("ended by its caller: %v", err)
	}
	select {
	case <-last.Done():
	default:
		t.Error("a process is left")
	}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("a panic of the rig went unseen")
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
			t.Fatalf("%d goroutines, before %d:\n%s", runtime.NumGoroutine(), before, buf[:runtime.Stack(buf, true)])
		}
	}
}

func TestRunIsVoidIfLabRanLate(t *testing.T) {
	g := &lagMonitor{now: func() int64 { return 0 }}
	for i := range int64(100) {
		g.record(i*lagSlot, i*lagSlot, 1e6)
	}
	if void, _ := g.isVoid(); void {
		t.Error("a day late by 1 ms is void")
	}
	for i := range int64(10) {
		g.record(i*7*lagSlot, i*7*lagSlot, int64(50*time.Millisecond))
	}
	if void, late := g.isVoid(); !void || late != int64(50*time.Millisecond) {
		t.Errorf("late by 50 ms in a tenth of the time: void %v, late %d", void, late)
	}
	if g.allowanceAt(7*lagSlot) != int64(100*time.Millisecond) || g.allowanceAt(99*lagSlot) != 2e6 {
		t.Error("lateness is not that of its moment")
	}
}

// Messages as a node may send them, in pieces.
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
			t.Errorf("%d: %q %q %q %v %v", i, m.firstLine, m.body, m.get(headerRequestID), m.closesConnection, err)
		}
	}
	if err := in.next(&m, false); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
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
			t.Errorf("%.40q was read: %v", bad, err)
		}
		b.Close()
	}
}

// What comes behind an answer is a second one only while the client has asked for nothing since: the answer to a try that its client
// has just given up comes on the same connection, and was owed.
func TestExtraResponseCountsOnlyWithoutRequest(t *testing.T) {
	for name, c := range map[string]struct {
		asked  bool // a second try, which its client gives up before it is answered
		second bool
	}{
		"nothing was asked":             {second: true},
		"the try behind it is given up": {asked: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			speak := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				in := bufio.NewReader(conn)
				const answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
				if _, err := http.ReadRequest(in); err == nil {
					send(conn, answer)
				}
				<-speak
				send(conn, answer)
			}()
			d := &Emulation{
				scenario: parseScenario(t, smallScenario), clockStart: time.Now(), history: &invariant.History{},
				done: make(chan struct{}),
			}
			n := &node{run: d, address: l.Addr().String()}
			side := &clients{run: d, outcomes: make([]trace.Outcome, 2), wake: make(chan struct{}, 1)}
			r := &clientConn{pool: &pool{clients: side, node: n, connections: map[*clientConn]struct{}{}}}
			try := func(id int, leaves time.Duration) *clientRequest {
				now := d.now()
				return &clientRequest{
					operation: &workload.Operation{
						Index: id, Due: now, CancelsAfter: int64(leaves), Tenant: -1, Key: -1,
					}, deadline: now + int64(5*time.Second),
					id: fmt.Sprint("t", id),
				}
			}
			if goesOn, again := r.roundTrip(try(0, 0)); !goesOn || again != nil {
				t.Fatal("the first try ended its connection")
			}
			first := r.lastAnswered
			if c.asked {
				r.roundTrip(try(1, 20*time.Millisecond))
				if r.conn == nil || side.outcomes[1].State != trace.Canceled {
					t.Fatalf("the second try ended as %v", side.outcomes[1].State)
				}
			}
			close(speak)
			r.conn.SetReadDeadline(time.Time{})
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				if more, _ := connState(r.conn); more {
					break
				}
				if time.Now().After(end) {
					t.Fatal("nothing came")
				}
			}
			r.close()
			if got := first.ExtraAt != invariant.Never; got != c.second {
				t.Errorf("a second answer: %t", got)
			}
		})
	}
}
