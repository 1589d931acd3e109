package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// This file owns the crossings of two events, each forced: whoever comes second is held until the first has happened, by what the
// machine or the node shows, never by a time. docs/design/crossings.md lists them.

// gate holds whoever comes to it until it is opened, and tells who has come.
type gate struct {
	come atomic.Int64
	open chan struct{}
	once sync.Once
}

func newGate(t *testing.T) *gate {
	g := &gate{open: make(chan struct{})}
	t.Cleanup(g.pass)
	return g
}

func (g *gate) wait() { g.come.Add(1); <-g.open }

func (g *gate) pass() { g.once.Do(func() { close(g.open) }) }

func (g *gate) held(t *testing.T, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d at the gate", n), func() bool { return g.come.Load() >= n })
}

// holdDials has each connection to a server stand until the gate is opened, and then be made all the same.
func (n *Node) holdDials(t *testing.T) *gate {
	g := newGate(t)
	n.upstreams.dial = func(_ context.Context, address string, limit time.Time) (net.Conn, error) {
		g.wait()
		return n.upstreams.connect(context.Background(), address, limit)
	}
	return g
}

// holdLoop keeps the loop between two events until the gate is opened; what is entered meanwhile stands in order.
func (n *Node) holdLoop(t *testing.T) *gate {
	g := newGate(t)
	n.loop.post(g.wait)
	g.held(t, 1)
	return g
}

// learn has the loop go by a line of discovery's, and returns once it has.
func (n *Node) updateList(t *testing.T, text string) {
	t.Helper()
	update, err := n.parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n.loop.postEndpoints(update.entries, update.complete)
	n.flushLoop()
}

// passed returns once the loop has handled all that stood before it.
func (n *Node) flushLoop() {
	done := make(chan struct{})
	n.loop.post(func() { close(done) })
	<-done
}

// atClients finds the node's side of the one connection from a client.
func (n *Node) onlyClientConn(t *testing.T) (c *clientConn) {
	t.Helper()
	eventually(t, "the connection", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		for c = range n.frontend.open {
		}
		return c != nil
	})
	return c
}

// nobodyLeft tells that clients have come, and that their connections have ended.
func (n *Node) allClientsClosed() bool {
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	return n.count(clientsAccepted) > 0 && len(n.frontend.open) == 0
}

func withSettings(settings ...string) func(*Config) {
	return func(c *Config) {
		c.Settings = json.RawMessage(strings.NewReplacer(settings...).Replace(settingsText))
	}
}

// quiet gives a node a discovery that never answers, so that nothing but the test enters events.
func silentDiscovery(t *testing.T) func(*Config) {
	address, _ := watchOf(t)
	return func(c *Config) { c.Discovery = address }
}

// What is told of a server, or of the request, while its connection comes up counts: nothing is written on it then.
func TestWhatHappensDuringADial(t *testing.T) {
	for name, c := range map[string]struct {
		settings []string
		category string
		event    func(t *testing.T, n *Node, client net.Conn, server string)
		status   int // 0: nobody is there for an answer
	}{
		"nothing": {nil, "pay", func(*testing.T, *Node, net.Conn, string) {}, 200},
		"drains": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
		}, 503},
		"is gone": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
		}, 503},
		"is gone, which does not bind": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
			}, 200,
		},
		"drains, and only that binds": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
			}, 503,
		},
		"is on no whole list": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true))
		}, 503},
		"another stands at its address": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true, listEntry("young", server, "draining")))
		}, 503},
		"stands elsewhere": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", "127.0.0.1:1", "up")))
		}, 503},
		"is taken out by hand": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, _ string) {
			if _, err := n.overrides.change(func(o *overrideSet) string { return o.disable("s-0", n.clock.now()) }); err != nil {
				t.Fatal(err)
			}
		}, 503},
		"the client leaves": {nil, "batch", func(t *testing.T, n *Node, client net.Conn, _ string) {
			client.Close()
			eventually(t, "the withdrawal", func() bool { return n.count(requestsCanceled) == 1 })
		}, 0},
		"the client leaves, and nothing may be recalled": {
			[]string{`"cancelling":true`, `"cancelling":false`},
			"batch",
			func(t *testing.T, n *Node, client net.Conn, _ string) {
				client.Close()
				eventually(t, "the withdrawal", func() bool { return n.count(requestsCanceled) == 1 })
			}, 0,
		},
		"the task has its answer, and nothing may be recalled": {
			[]string{`"cancelling":true`, `"cancelling":false`},
			"batch",
			func(t *testing.T, n *Node, _ net.Conn, _ string) {
				n.loop.post(func() { n.loop.Reject("t1", 0) })
				n.flushLoop()
			}, 503,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, tasks := startUpstream(t, echo)
			n := newNode(t, withSettings(c.settings...), server)
			dials := n.holdDials(t)
			n.start()
			client, in := dial(t, n)
			io.WriteString(client, requestText(c.category, "t1", ""))
			dials.held(t, 1)
			c.event(t, n, client, server)
			dials.pass()
			if c.status != 0 {
				if status, _, _ := readAnswer(in); status != c.status {
					t.Errorf("answered %d, want %d", status, c.status)
				}
			}
			eventually(t, "the end of the hand-off", func() bool {
				n.flushLoop()
				ended := n.count(attemptsNotSent) + n.count(attemptsSucceeded) + n.count(attemptsConnectFailed)
				return ended > 0 && ended == n.count(attemptsSent)
			})
			if want := int64(c.status / 200 % 2); tasks.Load() != want {
				t.Errorf("%d tasks came to the server, want %d", tasks.Load(), want)
			}
		})
	}
}

// A request that may have run goes to its group again only while that remembers it, also where the way there takes long.
func TestMemoryEndsDuringADial(t *testing.T) {
	first, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool { return writeAnswer(c, "500 Bad", "") })
	for name, span := range map[string]int64{"ends": 150, "lasts": 700} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, withSettings(`"memory_span_us":2000000`, fmt.Sprintf(`"memory_span_us":%d`, span*1000)), first, first)
			second := newGate(t)
			n.upstreams.dial = func(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
				if n.count(attemptsSent) > 1 {
					second.wait()
				}
				return n.upstreams.connect(ctx, address, limit)
			}
			n.start()
			began := n.clock.now()
			client, in := dial(t, n)
			io.WriteString(client, requestText("update", "t1", ""))
			second.held(t, 1)
			time.Sleep(time.Until(n.clock.at(began.Add(200 * time.Millisecond)))) // later than the shorter memory in any case
			second.pass()
			status, _, _ := readAnswer(in)
			if ran := n.count(attemptsErrored); status != 502 || name == "ends" && ran != 1 || name == "lasts" && ran < 1 {
				t.Errorf("answered %d, %d hand-offs have run", status, ran)
			}
		})
	}
}

// A request is written some time after it was judged, and comes to its server later still: close before the end of the memory it stays.
func TestMemoryIsAboutToEnd(t *testing.T) {
	const span = 800 * time.Millisecond
	failing, tasks := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(span - 20*time.Millisecond)
		return writeAnswer(c, "500 Bad", "")
	})
	n := startNode(t, withSettings(`"memory_span_us":2000000`, fmt.Sprintf(`"memory_span_us":%d`, span.Microseconds()), `800000`, `20000000`, `300000`, `20000000`),
		failing, failing)
	if status, _, _ := ask(t, n, "update", "t1", ""); status != 502 || tasks.Load() != 1 {
		t.Errorf("answered %d after %d attempts, want 502 after one", status, tasks.Load())
	}
}

// A keyed request that may have run stays in its group also where its server leaves the list while it is out: a whole list that lacks a
// server, or a line that only calls it removed, tells nothing of where it stood.
func TestServerLeavesTheListWhileARequestIsOut(t *testing.T) {
	in := func(site string, block int, entry string) string {
		return strings.NewReplacer(`"site":"a"`, fmt.Sprintf(`"site":%q`, site), `"block":1`, fmt.Sprintf(`"block":%d`, block)).Replace(entry)
	}
	for group, there := range map[string]func(entry string) string{
		"zone": func(entry string) string { return in("b", 0, entry) },
		"cell": func(entry string) string { return in("a", 3, entry) },
	} {
		other := func(entry string) string { return in("a", 0, entry) } // the first zone and cell by number
		for name, list := range map[string]func(gone, fellow, outside string) string{
			"a whole list without it": func(_, fellow, outside string) string { return listText(2, true, fellow, outside) },
			"a line of its own": func(gone, fellow, outside string) string {
				return listText(2, false, `{"host":"s-0","health":"removed"}`, fellow, outside)
			},
			"a line, and a list": func(gone, fellow, outside string) string { return listText(2, false, fellow, outside, gone) },
			"it moves, as listed": func(_, fellow, outside string) string {
				return listText(2, false, other(listEntry("s-0", "127.0.0.1:1", "draining")), fellow, outside)
			},
		} {
			for _, outside := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, somebody else there: %t", group, name, !outside), func(t *testing.T) {
					t.Parallel()
					gate := newGate(t)
					first, _ := startUpstream(t, func(net.Conn, *http.Request, string) bool { gate.wait(); return false }) // cut: it may have run
					fellow, _ := startUpstream(t, echo)
					elsewhere, strangers := startUpstream(t, echo)
					n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group)))
					n.start()
					n.updateList(t, listText(1, true, there(listEntry("s-0", first, "up"))))
					client, answers := dial(t, n)
					io.WriteString(client, requestText("update", "t1", "x"))
					gate.held(t, 1)
					inGroup, want := there(listEntry("s-1", fellow, "up")), 200
					if outside {
						inGroup, want = there(listEntry("s-1", fellow, "draining")), 502
					}
					n.updateList(t, list(listEntry("s-0", first, "removed"), inGroup, other(listEntry("s-2", elsewhere, "up"))))
					gate.pass()
					if status, _, _ := readAnswer(answers); status != want || strangers.Load() != 0 {
						t.Errorf("answered %d, want %d; sent outside its group %d times", status, want, strangers.Load())
					}
				})
			}
		}
	}
}

// Where being left out of the list binds nothing, a server that is left out still stands in its zone and cell.
func TestServerThatIsLeftOutStandsWhereItStood(t *testing.T) {
	for group, change := range map[string]*strings.Replacer{
		"zone": strings.NewReplacer(`"site":"a"`, `"site":"b"`),
		"cell": strings.NewReplacer(`"block":1`, `"block":3`),
	} {
		for name, list := range map[string]string{"a whole list without it": "", "a line of its own": `{"host":"s-0","health":"removed"}`} {
			t.Run(group+", "+name, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				ran, both := map[string]bool{}, 0
				failing, attempts := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
					mu.Lock()
					ran[r.Header.Get(headerRequestID)] = true
					mu.Unlock()
					return writeAnswer(c, "500 Bad", "")
				})
				left, served := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
					mu.Lock()
					if ran[r.Header.Get(headerRequestID)] {
						both++
					}
					mu.Unlock()
					return echo(c, r, body)
				})
				n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group), `"rules":{`, `"rules":{"removal_not_binding":true,`))
				n.start()
				stays := listEntry("s-1", failing, "up")
				if group == "cell" {
					stays = strings.Replace(stays, `"block":1`, `"block":0`, 1)
				}
				n.updateList(t, listText(1, true, change.Replace(listEntry("s-0", left, "up"))))
				if list == "" {
					n.updateList(t, listText(2, true, stays))
				} else {
					n.updateList(t, listText(2, false, list, stays))
				}
				for i := 0; i < 200 && (attempts.Load() == 0 || served.Load() == 0 || i < 20); i++ {
					ask(t, n, "update", fmt.Sprint("t", i), "")
				}
				mu.Lock()
				defer mu.Unlock()
				if attempts.Load() == 0 || served.Load() == 0 || both > 0 {
					t.Errorf("%d attempts failed, %d served where the list lacks the server, %d of them outside their group", attempts.Load(), served.Load(), both)
				}
			})
		}
	}
}

// A hedged request that is still on its way to a server when the first is answered is not written, also where none may be recalled.
func TestAnswerCrossesACopyThatDials(t *testing.T) {
	answers := newGate(t)
	first, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	other, tasks := startUpstream(t, echo)
	n := newNode(t, withSettings(`"may_duplicate":false`, `"may_duplicate":true`, `"cancelling":true`, `"cancelling":false`), first)
	dials := newGate(t)
	n.upstreams.dial = func(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
		if address == other {
			dials.wait()
		}
		return n.upstreams.connect(ctx, address, limit)
	}
	n.start()
	client, in := dial(t, n)
	io.WriteString(client, requestText("batch", "t1", ""))
	answers.held(t, 1)
	n.updateList(t, listText(2, false, listEntry("s-1", other, "up")))
	n.loop.post(func() { n.loop.Send("t1", endpointID("s-1"), 20*time.Second) })
	dials.held(t, 1)
	answers.pass()
	if status, _, _ := readAnswer(in); status != 200 {
		t.Fatalf("answered %d", status)
	}
	dials.pass()
	eventually(t, "the end of the copy", func() bool { return n.count(attemptsNotSent) == 1 })
	if tasks.Load() != 0 {
		t.Error("a copy went out for a task that has its answer")
	}
}

// A request whose client has left while it waited, wherever that was, is written to no server.
func TestClientLeavesWhileItsTaskWaits(t *testing.T) {
	many := func(n int) (text string) {
		for i := range n {
			text += requestText("batch", fmt.Sprint("t", i), "")
		}
		return text
	}
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	leave := func(c net.Conn) { c.Close() }
	halve := func(c net.Conn) { c.(*net.TCPConn).CloseWrite() } // the pages know no client that does so and waits
	for name, c := range map[string]struct {
		text  string
		leave func(net.Conn)
	}{
		"one task at the door": {many(1), leave}, "one, reset": {many(1), reset}, "one, half-closed": {many(1), halve},
		"many at once": {many(20), leave}, "many, reset": {many(20), reset}, "more than is read at once": {many(200), leave},
		"a long body that is half there": {strings.Replace(requestText("batch", "t", strings.Repeat("x", 900<<10)), "X-Lane: batch\r\n", "", 1)[:300<<10], leave},
	} {
		t.Run("before the node looks: "+name, func(t *testing.T) {
			t.Parallel()
			server, tasks := startUpstream(t, echo)
			n := newNode(t, nil, server)
			client, _ := dial(t, n) // the machine takes it, nobody has yet
			client.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(client, c.text)
			c.leave(client)
			n.start()
			eventually(t, "the connection's end", n.allClientsClosed)
			n.flushLoop()
			if tasks.Load() != 0 || n.count(requestsAccepted) != 0 {
				t.Errorf("%d tasks were taken and %d went to the server, for nobody", n.count(requestsAccepted), tasks.Load())
			}
		})
	}
	t.Run("behind tasks that are out", func(t *testing.T) {
		t.Parallel()
		answers := newGate(t)
		server, tasks := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			answers.wait()
			return echo(c, r, body)
		})
		n := startNode(t, nil, server)
		client, _ := dial(t, n)
		io.WriteString(client, many(20))
		eventually(t, "as many as are read ahead", func() bool { return tasks.Load() == n.count(attemptsSent) && tasks.Load() > maxPipelined })
		at := n.onlyClientConn(t)
		client.Close()
		eventually(t, "its end", at.clientGone)
		before := tasks.Load()
		answers.pass()
		eventually(t, "the connection's end", n.allClientsClosed)
		if n.flushLoop(); tasks.Load() != before {
			t.Errorf("%d tasks at the server when the client left, %d in the end", before, tasks.Load())
		}
	})
	t.Run("all dialling, and the reader sees nothing", func(t *testing.T) {
		t.Parallel()
		server, tasks := startUpstream(t, echo)
		n := newNode(t, silentDiscovery(t), server, server, server)
		dials := n.holdDials(t)
		n.start()
		client, _ := dial(t, n)
		io.WriteString(client, many(20))
		dials.held(t, maxPipelined+2) // as many as stand in turn, with the writer's and the reader's
		at := n.onlyClientConn(t)
		client.Close()
		eventually(t, "its end", at.clientGone)
		dials.pass()
		eventually(t, "the withdrawals", func() bool { n.flushLoop(); return n.count(attemptsNotSent) == n.count(attemptsSent) })
		if sent, taken, withdrawn := n.count(attemptsSent), n.count(requestsAccepted), n.count(requestsCanceled); tasks.Load() != 0 || sent != taken || withdrawn != taken {
			t.Errorf("of %d tasks %d were handed off, %d withdrawn, %d came to servers", taken, sent, withdrawn, tasks.Load())
		}
	})
	t.Run("in the loop's queue, behind the answer that sends it again", func(t *testing.T) {
		t.Parallel()
		errs := newGate(t)
		server, tasks := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			errs.wait()
			return writeAnswer(c, "500 Bad", "")
		})
		n := startNode(t, silentDiscovery(t), server, server)
		client, _ := dial(t, n)
		io.WriteString(client, requestText("batch", "t", ""))
		errs.held(t, 1)
		held := n.holdLoop(t)
		errs.pass()
		eventually(t, "the answer in the queue", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the withdrawal behind it", func() bool { return len(n.loop.events) == 2 })
		held.pass()
		eventually(t, "the withdrawal", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "the end", func() bool {
			n.flushLoop()
			return n.count(attemptsSent) == n.count(attemptsErrored)+n.count(attemptsNotSent)+n.count(attemptsCanceled)
		})
		if tasks.Load() != 1 {
			t.Errorf("%d hand-offs came to servers, want the one before", tasks.Load())
		}
	})
	t.Run("in the loop's queue, before its arrival", func(t *testing.T) {
		t.Parallel()
		server, tasks := startUpstream(t, echo)
		n := startNode(t, silentDiscovery(t), server)
		held := n.holdLoop(t)
		client, _ := dial(t, n)
		io.WriteString(client, requestText("batch", "t", ""))
		eventually(t, "the arrival in the queue", func() bool { return len(n.loop.events) == 1 })
		client.Close()
		eventually(t, "the withdrawal behind it", func() bool { return len(n.loop.events) == 2 })
		held.pass()
		eventually(t, "the withdrawal", func() bool { return n.count(requestsCanceled) == 1 })
		eventually(t, "the end", func() bool { n.flushLoop(); return n.count(attemptsSent) == n.count(attemptsNotSent) })
		if tasks.Load() != 0 {
			t.Error("it went to the server")
		}
	})
}

// A node that stops takes what its machine has accepted, also where that has to wait for room.
func TestStopTakesWhatTheMachineHasAccepted(t *testing.T) {
	answers := newGate(t)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	n.frontend.setLimits(1, 0, 100)
	var ins []*bufio.Reader
	for i := range 5 { // one at work, one at the door, three in the machine
		c, in := dial(t, n)
		ins = append(ins, in)
		io.WriteString(c, requestText("batch", fmt.Sprint("t", i), ""))
		eventually(t, "the first at work and the second at the door", func() bool { return int(n.count(clientsAccepted)) == min(i+1, 2) })
	}
	answers.held(t, 1)
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	eventually(t, "the end of taking", n.frontend.draining.Load)
	answers.pass()
	for i, in := range ins {
		if status, body, _ := readAnswer(in); status != 200 {
			t.Errorf("task %d was answered %d %s", i, status, body)
		}
	}
	<-stopped
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// A request that is anywhere on its way when the node stops gets its whole answer.
func TestStopWithATaskAtEveryStage(t *testing.T) {
	long := strings.Repeat("x", 2<<20) // more than is held, or than the machines take
	for name, c := range map[string]struct {
		body  string
		hold  func(t *testing.T, n *Node) *gate // before the request
		serve func(g *gate, c net.Conn, in *bufio.Reader) (served bool)
		there func(n *Node) bool
	}{
		"in the queue": {hold: func(t *testing.T, n *Node) *gate { return n.holdLoop(t) }, there: func(n *Node) bool { return len(n.loop.events) > 0 }},
		"dialling":     {there: func(n *Node) bool { return n.count(attemptsSent) == 1 }},
		"partly written": {
			body: long, serve: func(g *gate, _ net.Conn, _ *bufio.Reader) bool { g.wait(); return false },
			there: func(n *Node) bool { return n.count(requestsStreamed) == 1 },
		},
		"written": {serve: func(g *gate, _ net.Conn, in *bufio.Reader) bool {
			http.ReadRequest(in)
			g.wait()
			return false
		}},
		"answering": {serve: func(g *gate, c net.Conn, in *bufio.Reader) bool {
			http.ReadRequest(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha")
			g.wait()
			io.WriteString(c, "lf")
			return true
		}},
		"flowing": {serve: func(g *gate, c net.Conn, in *bufio.Reader) bool {
			http.ReadRequest(in)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[:maxBufferedResponse])
			g.wait()
			io.WriteString(c, long[maxBufferedResponse:])
			return true
		}, there: func(n *Node) bool { return n.count(responsesStreamed) == 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGate(t)
			server := listen(t, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				if c.serve != nil && c.serve(g, conn, in) {
					return
				}
				if name != "written" {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
				}
				writeAnswer(conn, "200 OK", "whole")
			})
			n := newNode(t, silentDiscovery(t), server)
			if name == "dialling" {
				g = n.holdDials(t)
			}
			n.start()
			if c.hold != nil {
				g = c.hold(t, n)
			}
			client, in := dial(t, n)
			go io.WriteString(client, requestText("batch", "t", c.body))
			g.held(t, 1)
			eventually(t, "there", func() bool { return c.there == nil || c.there(n) })
			stopped := make(chan struct{})
			go func() { n.shutDown(); close(stopped) }()
			eventually(t, "the end of taking", n.frontend.draining.Load)
			select {
			case <-stopped:
				t.Error("the stop ended with a task out") // and the process with it
			case <-time.After(100 * time.Millisecond): // rounds in which it might have
			}
			g.pass()
			status, body, header := readAnswer(in)
			if status != 200 || body != "whole" && body != "half" && body != long {
				t.Errorf("answered %d with %d bytes, %v", status, len(body), header)
			}
			<-stopped
		})
	}
}

// A connection whose first bytes come just as its time for them ends is read, and is no endless loop.
func TestFirstBytesComeAsTheirTimeEnds(t *testing.T) {
	n := startNode(t, nil)
	l, err := net.Listen("tcp", address())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	io.WriteString(peer, "GET "+pathReady+" HTTP/1.1\r\nHost: h\r\n\r\n")
	c := &clientConn{frontend: n.frontend, conn: newBufferedConn(own), responseOrder: make(chan *pendingRequest, 1), admittedAt: time.Now().Add(-headTimeout)}
	eventually(t, "the request", c.conn.hasInput)
	read := make(chan error, 1)
	go func() {
		r, err := c.readRequest(newPendingRequest())
		if err == nil && r.URL.Path != pathReady {
			err = fmt.Errorf("read %s", r.URL.Path)
		}
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the reader goes round and round")
	}
}

// A keyed request that may have run is rejected only where every server would drop its repeat, and only for as long as they would.
func TestDeclineOfAKeyedRequest(t *testing.T) {
	silent, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool { io.Copy(io.Discard, c); return false })
	for name, c := range map[string]struct {
		group  string
		span   string
		ends   bool // the process does, else the request's time
		status int
	}{
		"all, remembered":                  {"all", "30000000", false, 503},
		"all, forgotten by then":           {"all", "1000", false, 502},
		"its zone":                         {"zone", "30000000", false, 502},
		"at the end, all, remembered":      {"all", "30000000", true, 503},
		"at the end, all, forgotten":       {"all", "1000", true, 502},
		"at the end, its zone, remembered": {"zone", "30000000", true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, c.group), `"memory_span_us":2000000`, `"memory_span_us":`+c.span), silent)
			client, in := dial(t, n)
			io.WriteString(client, requestText("update", "t1", ""))
			eventually(t, "it is out", func() bool { return n.count(attemptsSent) == 1 })
			time.Sleep(5 * time.Millisecond) // longer than the short memory
			if c.ends {
				n.loop.post(n.loop.giveUpAll)
			}
			if status, _, _ := readAnswer(in); status != c.status {
				t.Errorf("answered %d, want %d", status, c.status)
			}
		})
	}
}

// What has no answer shortly before the platform kills a process is given up: a reject where another try does no harm.
func TestWhatIsOutAtTheEndIsGivenUp(t *testing.T) {
	silent, tasks := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/batch" { // an answer whose end is the connection's, and that does not come
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for _, err := io.WriteString(c, "x"); err == nil; _, err = io.WriteString(c, "x") {
				time.Sleep(responseHoldBack)
			}
		}
		io.Copy(io.Discard, c)
		return false
	})
	n := startNode(t, withSettings(`800000`, `20000000`, `300000`, `20000000`), silent)
	want := map[string]int{"view": 503, "update": 502, "pay": 502}
	ins := map[string]*bufio.Reader{}
	for category := range want {
		c, in := dial(t, n)
		io.WriteString(c, requestText(category, category, ""))
		ins[category] = in
	}
	old, oldIn := dial(t, n)
	io.WriteString(old, "GET /batch HTTP/1.0\r\nX-Txn: old\r\n\r\n")
	eventually(t, "all at the server, and an answer on its way", func() bool { return tasks.Load() == 4 && n.count(responsesStreamed) == 1 })
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	<-stopped
	if n.count(requestsRejected) != 1 || n.count(requestsFailed) != 2 {
		t.Errorf("at the end %d tasks are declined and %d broken off, want 1 and 2", n.count(requestsRejected), n.count(requestsFailed))
	}
	for category, status := range want {
		if got, body, _ := readAnswer(ins[category]); got != status {
			t.Errorf("%s was answered %d %s, want %d", category, got, body, status)
		}
	}
	if text, err := io.ReadAll(oldIn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("half an answer did not end in a reset: %v, %d bytes", err, len(text))
	}
	late := newPendingRequest()
	late.request.ID = "late"
	n.loop.post(func() { n.loop.requestArrived(late) })
	if a := <-late.responses; a.status != 503 || n.count(requestsOverCapacity) != 1 {
		t.Errorf("a task that came after the end was answered %d", a.status)
	}
}

// A connection is not closed behind an answer while the next request has begun to come.
func TestTaskBeginsAsItsConnectionIsToClose(t *testing.T) {
	answers := newGate(t)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	client, in := dial(t, n)
	next := requestText("batch", "b", "body")
	io.WriteString(client, requestText("batch", "a", "")+next[:60])
	answers.held(t, 1)
	at := n.onlyClientConn(t)
	eventually(t, "half of the second task", func() bool {
		at.mu.Lock()
		defer at.mu.Unlock()
		return !at.messageBegan.IsZero() && at.pending == 1
	})
	n.stopping.Store(true)
	answers.pass()
	if status, _, header := readAnswer(in); status != 200 || header.Get("Connection") == "close" {
		t.Errorf("the first was answered %d, %v", status, header)
	}
	io.WriteString(client, next[60:])
	if status, _, _ := readAnswer(in); status != 200 {
		t.Errorf("the second was answered %d", status)
	}
	if status, _, _ := readAnswer(in); status != 0 {
		t.Error("the connection stays after the last")
	}
}

// An answer that comes a second time is nobody's: neither while its connection stands idle, nor once another request is out.
func TestSecondAnswerComesLate(t *testing.T) {
	stray := newGate(t)
	var conns atomic.Int64
	server := listen(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if i > 0 && first {
				writeAnswer(c, "200 OK", "stray") // the second answer comes before its own
			}
			echo(c, r, "")
			if i == 0 && first {
				go func() {
					stray.wait()
					writeAnswer(c, "200 OK", "stray")
				}()
			}
		}
	})
	idleOf := func(n *Node) (c *upstreamConn) {
		eventually(t, "an idle connection", func() bool {
			n.upstreams.mu.Lock()
			defer n.upstreams.mu.Unlock()
			for _, list := range n.upstreams.idleConns {
				c = list[0]
			}
			return c != nil
		})
		return c
	}
	t.Run("another task is out", func(t *testing.T) {
		n := newNode(t, nil, server)
		n.upstreams.strayCooldown = time.Hour
		n.start()
		n.upstreams.noteStray(true) // such have been seen here
		ask(t, n, "batch", "a", "")
		idleOf(n)
		if _, body, _ := ask(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("while the second answer is due a task got %q", body)
		}
		if conns.Load() != 2 {
			t.Errorf("%d connections, want another for the second task", conns.Load())
		}
	})
	t.Run("idle", func(t *testing.T) {
		conns.Store(0)
		n := startNode(t, nil, server)
		ask(t, n, "batch", "a", "")
		c := idleOf(n)
		stray.pass()
		eventually(t, "the second answer", c.hasInput)
		if _, body, _ := ask(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("once the second answer has come a task got %q", body)
		}
		if n.upstreams.lastStrayAt.Load() == 0 {
			t.Error("it was not noticed")
		}
	})
}

// What a connection has shown decides when it carries the next request.
func TestConnectionRests(t *testing.T) {
	server := listen(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	at := upstreamTarget{1, server}
	for name, c := range map[string]struct {
		strayed, turned bool
		standing        bool
		taken           bool
	}{
		"after an answer":           {standing: true, taken: true},
		"after one turned away":     {standing: true, turned: true},
		"where answers come again":  {standing: true, strayed: true},
		"its server is not wanted":  {},
		"nor in any of these cases": {strayed: true, turned: true},
	} {
		n := newNode(t, nil)
		n.upstreams.strayCooldown = time.Hour
		n.upstreams.setAddress(1, server, c.standing)
		n.upstreams.noteStray(c.strayed)
		raw, err := net.Dial("tcp", server)
		if err != nil {
			t.Fatal(err)
		}
		n.upstreams.reserveSlot()
		n.upstreams.putIdle(&upstreamConn{bufferedConn: newBufferedConn(raw), target: at, lastRejected: c.turned})
		if open := n.upstreams.open; open != 0 != c.standing {
			t.Errorf("%s: %d connections are open", name, open)
		}
		if got := n.upstreams.takeIdle(at); got != nil != c.taken {
			t.Errorf("%s: taken %t", name, got != nil)
		}
		n.upstreams.strayCooldown = 0
		if got := n.upstreams.takeIdle(at); got != nil != (c.standing && !c.taken) {
			t.Errorf("%s: taken %t once it has rested", name, got != nil)
		}
		raw.Close()
	}
}

// A server that has started anew at its address is not sent to on connections from before.
func TestServerStartsAnewWhereItStood(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	ask(t, n, "batch", "a", "")
	eventually(t, "an idle connection", func() bool {
		n.upstreams.mu.Lock()
		defer n.upstreams.mu.Unlock()
		return n.upstreams.idleOrder.Len() == 1
	})
	born := strings.Replace(listEntry("s-0", server, "up"), `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, n.clock.nanos()/milli), 1)
	n.updateList(t, listText(2, false, born))
	eventually(t, "its end", func() bool { n.upstreams.mu.Lock(); defer n.upstreams.mu.Unlock(); return n.upstreams.open == 0 })
	n.updateList(t, listText(3, false, born))
	ask(t, n, "batch", "b", "")
	n.updateList(t, listText(4, false, born))
	if n.flushLoop(); n.count(upstreamConnsIdleClosed) != 1 {
		t.Errorf("%d connections closed", n.count(upstreamConnsIdleClosed))
	}
}

// A connection that its server closes as a request is written to it, or resets, is one on which the request may have run.
func TestIdleConnectionEndsAsATaskIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		linger bool
		status map[string]int
	}{
		"closed": {false, map[string]int{"pay": 502, "view": 503, "update": 502}},
		"reset":  {true, map[string]int{"pay": 502, "view": 503, "update": 502}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for category, want := range c.status {
				server, tasks := startUpstream(t, func(conn net.Conn, r *http.Request, body string) bool {
					if r.Header.Get(headerRequestID) == "first" {
						return echo(conn, r, body)
					}
					if c.linger {
						conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				n := startNode(t, nil, server)
				ask(t, n, category, "first", "")
				if status, _, _ := ask(t, n, category, "second", ""); status != want || tasks.Load() != 2 {
					t.Errorf("%s: answered %d, want %d; %d tasks came", category, status, want, tasks.Load())
				}
				if n.count(attemptsReset) != 1 {
					t.Errorf("%s: %d resets", category, n.count(attemptsReset))
				}
			}
		})
	}
}

// noted notes by when a write has to be over, and takes it all.
type deadlineRecorder struct {
	net.Conn
	end time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(end time.Time) error { c.end = end; return nil }
func (c *deadlineRecorder) Write(p []byte) (int, error)          { return len(p), nil }

// A stop holds that comes just before one who carries the attempt, or reads its body, sets a time of its own.
func TestStopCrossesADeadline(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := &attempt{}
		if stopped {
			h.cancel()
		}
		var read time.Time
		h.setDeadline(func(end time.Time) error { read = end; return nil }, time.Now().Add(time.Hour))
		c := &deadlineRecorder{}
		writePaced(c, h, []byte("x"))
		for name, end := range map[string]time.Time{"a read": read, "a write": c.end} {
			if end.Before(time.Now()) != stopped {
				t.Errorf("stopped %t: %s may last until %v", stopped, name, end)
			}
		}
		near, far := net.Pipe()
		defer far.Close()
		var given atomic.Bool
		given.Store(stopped)
		if err := (&readPacer{stall: time.Hour, abandoned: &given}).begin(near); (err == errBodyAbandoned) != stopped {
			t.Errorf("given up %t: %v", stopped, err)
		}
	}
}

// watchOf is a discovery whose calls each go by their own script.
func watchOf(t *testing.T, calls ...func(c net.Conn, chunk func(string))) (address string, asked *atomic.Int64) {
	asked = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.URL.Path != pathList {
			return
		}
		if i := int(asked.Add(1)) - 1; i < len(calls) {
			calls[i](c, func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) })
		} else {
			io.Copy(io.Discard, c)
		}
	}), asked
}

const watchBegins = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// A watch that falls silent, or a call that gets no head, is followed by another at once, however long waits have grown and whatever
// the settings say of asking; a half of a line counts for nothing, and a list may be broken into lines as it likes.
func TestWatchesBreak(t *testing.T) {
	stays := func(c net.Conn) { io.Copy(io.Discard, c) }
	line := func(version int, health, server string) string {
		return listText(version, false, listEntry("s-0", server, health)) + "\n"
	}
	for _, mode := range []string{"push", "ask"} {
		for name, script := range map[string]func(server string) []func(net.Conn, func(string)){
			"silent, with nothing changed": func(server string) (calls []func(net.Conn, func(string))) {
				for range 4 {
					calls = append(calls, func(c net.Conn, chunk func(string)) {
						io.WriteString(c, watchBegins)
						chunk(listText(1, false) + "\n")
						stays(c)
					})
				}
				return append(calls, func(c net.Conn, chunk func(string)) {
					io.WriteString(c, watchBegins)
					chunk(line(2, "draining", server))
					stays(c)
				})
			},
			"silent behind its head, then in the midst of a line": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){
					func(c net.Conn, chunk func(string)) { io.WriteString(c, watchBegins); stays(c) },
					func(c net.Conn, chunk func(string)) {
						io.WriteString(c, watchBegins)
						chunk(line(7, "up", server)[:40])
						stays(c)
					},
					func(c net.Conn, chunk func(string)) {
						io.WriteString(c, watchBegins)
						chunk(line(2, "draining", server))
						stays(c)
					},
				}
			},
			"indented, in pieces": func(server string) []func(net.Conn, func(string)) {
				return []func(net.Conn, func(string)){func(c net.Conn, chunk func(string)) {
					io.WriteString(c, watchBegins)
					var tree any
					json.Unmarshal([]byte(line(2, "draining", server)), &tree)
					text, _ := json.MarshalIndent(tree, "", "  ")
					chunk("\n")
					chunk(string(text[:50]))
					chunk(string(text[50:]) + "\n\n")
					stays(c)
				}}
			},
		} {
			t.Run(mode+": "+name, func(t *testing.T) {
				t.Parallel()
				server, tasks := startUpstream(t, echo)
				address, _ := watchOf(t, script(server)...)
				n := newNode(t, func(c *Config) {
					withSettings(`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode), `"ask_within_us":10000000`, `"ask_within_us":3600000000`)(c)
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
				if status, _, _ := ask(t, n, "batch", "t", ""); status != 503 || tasks.Load() != 0 {
					t.Errorf("after the drain a task was answered %d, %d came to the server", status, tasks.Load())
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
			io.WriteString(c, watchBegins)
			chunk(line(2, "draining", server)[:90])
			c.(*net.TCPConn).SetLinger(0)
		}},
	} {
		t.Run("push: "+name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			address, asked := watchOf(t, func(conn net.Conn, chunk func(string)) { c.first(conn, chunk, server) })
			n := newNode(t, func(c *Config) { withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c); c.Discovery = address }, server)
			n.endpointWatch.headTimeout, n.endpointWatch.retryInterval = 60*time.Millisecond, c.wait
			n.start()
			eventually(t, "the next call", func() bool { return asked.Load() >= 2 })
			if status, _, _ := ask(t, n, "batch", "t", ""); status != 200 {
				t.Errorf("by half a line a server was given up: %d", status)
			}
		})
	}
}

// Between calls there is always a wait, whatever the settings say of sends to draining servers.
func TestWaitsBetweenCalls(t *testing.T) {
	for within, want := range map[int]time.Duration{0: maxRetryInterval, 1: minRetryInterval, 400000: 100 * time.Millisecond, 60000000: maxRetryInterval} {
		n := newNode(t, withSettings(`"rules":{`, fmt.Sprintf(`"rules":{"stop_sending_within_us":%d,`, within)))
		if n.endpointWatch.retryInterval != want {
			t.Errorf("sends stop within %d us: a wait of %v, want %v", within, n.endpointWatch.retryInterval, want)
		}
	}
}

// What is pushed counts from the first moment of a new process: no request goes by the list from before while the first word is due.
func TestPushedListIsHeardBeforeTheFirstTask(t *testing.T) {
	server, tasks := startUpstream(t, echo)
	word := newGate(t)
	address, _ := watchOf(t, func(c net.Conn, chunk func(string)) {
		word.wait()
		io.WriteString(c, watchBegins)
		chunk(listText(2, false, listEntry("s-0", server, "draining")) + "\n")
		io.Copy(io.Discard, c)
	})
	n := newNode(t, func(c *Config) { withSettings(`"discovery":"ask"`, `"discovery":"push"`)(c); c.Discovery = address }, server)
	client, in := dial(t, n)
	io.WriteString(client, requestText("batch", "t", ""))
	go n.start()
	word.held(t, 1)
	if n.notReady() == "" {
		t.Error("ready before the first word")
	}
	word.pass()
	if status, _, _ := readAnswer(in); status != 503 || tasks.Load() != 0 {
		t.Errorf("answered %d, %d tasks at a server that is draining", status, tasks.Load())
	}
}

// The last line of an old place of discovery does not come after the first of the new one.
func TestLastLineOfAnOldPlaceCrossesTheMove(t *testing.T) {
	server, _ := startUpstream(t, echo)
	late := newGate(t)
	old, _ := watchOf(t, func(c net.Conn, chunk func(string)) {
		io.WriteString(c, watchBegins)
		chunk(listText(50, false) + "\n")
		late.wait()
		chunk(listText(51, false, listEntry("s-0", server, "draining")) + "\n")
	})
	young, _ := watchOf(t, func(c net.Conn, chunk func(string)) {
		io.WriteString(c, watchBegins)
		chunk(listText(3, true, listEntry("s-0", server, "up")) + "\n")
		io.Copy(io.Discard, c)
	})
	n := startNode(t, func(c *Config) { c.Discovery = old }, server)
	late.held(t, 1)
	n.endpointWatch.move(young)
	late.pass()
	eventually(t, "the new list", func() bool { return n.count(listUpdates) >= 2 })
	if status, _, _ := ask(t, n, "batch", "t", ""); status != 200 {
		t.Errorf("answered %d by a list that was left", status)
	}
}

// The socket that processes share turns blocking while one stands before its next accept: the end of taking reaches it all the same.
func TestSharedSocketTurnsBlocking(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := processes(t, server)()
	n.start()
	raw, err := n.frontend.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	held := -1
	raw.Control(func(fd uintptr) {
		held, _ = syscall.Dup(int(fd))
		syscall.SetNonblock(held, false) // and with it all that stand for the socket
	})
	defer syscall.Close(held)
	ask(t, n, "batch", "t", "") // the accept behind this one stands in the machine
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the stop stands behind an accept")
	}
	over := make(chan bool, 1)
	n.loop.post(func() { over <- n.loop.stopping })
	if <-over {
		t.Error("the stop ended only by giving up")
	}
	syscall.SetNonblock(held, true) // and the accept is let go, for the end of the test
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
	}
}

// Where the successor dies while the old process is stopping, the old one takes what still comes.
func TestSuccessorDiesWhileTheOldProcessStops(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := processes(t, server)
	old := next()
	old.start()
	fresh := next()
	fresh.hotRestart.announceServing()
	eventually(t, "the old one yields", old.hotRestart.hasYielded)
	client, in := dial(t, old) // stands in the machine: the successor was to take it
	io.WriteString(client, requestText("batch", "t", ""))
	stopped := make(chan struct{})
	go func() { old.shutDown(); close(stopped) }()
	eventually(t, "the stop", old.stopping.Load)
	fresh.hotRestart.close()
	fresh.hotRestart.mu.Lock()
	fresh.hotRestart.predecessor.Close()
	fresh.hotRestart.mu.Unlock()
	if status, _, _ := readAnswer(in); status != 200 {
		t.Errorf("a task that nobody else is there for was answered %d", status)
	}
	<-stopped
}

// Two successors at once, or both processes told to end: nobody's requests are lost over it.
func TestHandOversCross(t *testing.T) {
	for name, cross := range map[string]func(t *testing.T, next func() *Node, old *Node, ask func(string)){
		"two successors": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			first := next()
			second := next() // finds the place taken, and makes a plain start
			if first.predecessor == nil || second.predecessor != nil {
				t.Error("one of them is to take over, the other is not")
			}
			second.start()
			ask("second")
			first.start()
			eventually(t, "the old one yields", old.hotRestart.hasYielded)
			old.shutDown()
			ask("first")
		},
		"both stop": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			fresh := next()
			fresh.start()
			eventually(t, "the old one yields", old.hotRestart.hasYielded)
			var done sync.WaitGroup
			for _, n := range []*Node{old, fresh} {
				done.Go(n.shutDown)
			}
			eventually(t, "both stop", func() bool { return old.stopping.Load() && fresh.stopping.Load() })
			ask("while both stop")
			done.Wait()
		},
		"the old one is told to end before the first accept": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			fresh := next()
			fresh.hotRestart.announceServing() // says so, and does not take yet
			eventually(t, "the old one yields", old.hotRestart.hasYielded)
			old.shutDown()
			go fresh.start()
			ask("after")
		},
		"a drain in between": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			fresh := next()
			if _, err := old.overrides.change(func(o *overrideSet) string { o.drained = true; return "" }); err != nil {
				t.Fatal(err)
			}
			fresh.start()
			eventually(t, "both know", func() bool { return old.overrides.drained() && fresh.notReady() == "drained" })
			ask("drained")
			old.shutDown()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			next := processes(t, server)
			old := next()
			old.start()
			cross(t, next, old, func(id string) {
				t.Helper()
				if status, body, _ := ask(t, old, "batch", id, ""); status != 200 {
					t.Errorf("%s: answered %d %s", id, status, body)
				}
			})
		})
	}
}

// A recall whose outcome is still out counts as out, and what is proved by an end decides who may go again.
func TestRecallThatIsStillOut(t *testing.T) {
	answers := newGate(t)
	server, tasks := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server, server)
	client, in := dial(t, n)
	io.WriteString(client, requestText("pay", "t", ""))
	answers.held(t, 1)
	held := n.holdLoop(t)
	n.loop.post(func() { n.loop.Cancel("t", 0) })
	held.pass()
	if status, _, _ := readAnswer(in); status != 502 || tasks.Load() != 1 {
		t.Errorf("an exclusive task that was recalled was answered %d, %d came to servers", status, tasks.Load())
	}
	if n.count(attemptsCanceled) != 1 {
		t.Errorf("%d recalled", n.count(attemptsCanceled))
	}
}
