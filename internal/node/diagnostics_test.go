package node

import (
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// observeDiagnostics directs the diagnostics of a node that has not been started to the returned log.
func (n *Node) observeDiagnostics() *observer.ObservedLogs {
	core, lines := observer.New(zapcore.InfoLevel)
	n.diagnostics = newDiagnostics(zap.New(core))
	return lines
}

// Guards against a fault between a request and its response that no log line explains.
func TestEventsOfRequestAreLoggedWithReason(t *testing.T) {
	reset, _ := startUpstream(t, func(c net.Conn, _ *http.Request, _ string) bool { return false })
	extra, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		return echo(c, r, body) && writeResponse(c, "200 OK", "unasked")
	})
	cut, _ := startUpstream(t, func(c net.Conn, _ *http.Request, _ string) bool {
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nstart")
		return false
	})
	const noID = "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		server, request string
		message         string
		want            map[string]any
	}{
		"retry": {
			reset, requestText("view", "t1", ""), "request sent again",
			map[string]any{"request": "t1", "attempt": int64(1), "endpoint": "s-0", "last outcome": "reset", "last error": "request written: EOF"},
		},
		"given up": {
			reset, requestText("pay", "t1", ""), "request given up",
			map[string]any{"request": "t1", "status": int64(502), "reason": "may have run", "last outcome": "reset"},
		},
		"refused": {
			reset, "NONSENSE\r\n\r\n", "request refused", map[string]any{"status": int64(400)},
		},
		"no request ID": {
			reset, noID, "request refused", map[string]any{"status": int64(400), "reason": "X-Txn: expected an id of at most 128 bytes"},
		},
		"upstream connection without a response": {
			reset, requestText("pay", "t1", ""), "upstream connection closed",
			map[string]any{"reason": "no complete response", "last request": "t1", "connection": uint64(1)},
		},
		"unsolicited input": {
			extra, requestText("pay", "t1", ""), "upstream connection closed",
			map[string]any{"reason": "unsolicited input", "last request": "t1", "requests": int64(1)},
		},
		"response cut off": {
			cut, requestText("pay", "t1", ""), "response cut off",
			map[string]any{"request": "t1", "bytes": int64(5), "length": int64(100000), "upstream error": "unexpected EOF"},
		},
		"client connection": {
			reset, "NONSENSE\r\n\r\n", "client connection closed", map[string]any{"reason": "malformed request"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, nil, c.server)
			lines := n.observeDiagnostics()
			n.start()
			client, in := dial(t, n)
			writeText(client, c.request)
			readResponse(in)
			client.Close()
			eventually(t, "the line "+c.message, func() bool {
				n.upstreams.closeExpired()
				return lines.FilterMessage(c.message).Len() > 0
			})
			fields := lines.FilterMessage(c.message).All()[0].ContextMap()
			for key, want := range c.want {
				if fields[key] != want {
					t.Errorf("%s: got %v, want %v; line: %v", key, fields[key], want, fields)
				}
			}
		})
	}
}

// Guards against an endpoint that drains or moves without a trace in the log.
func TestEndpointStateChangesAreLogged(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := newNode(t, nil, server)
	lines := n.observeDiagnostics()
	n.start()
	n.updateList(t, listText(2, false, listEntry("s-0", server, "up")))
	n.updateList(t, listText(3, false, listEntry("s-0", server, "draining")))
	eventually(t, "the line", func() bool { return lines.Len() > 0 })
	fields := lines.All()[0].ContextMap()
	if lines.Len() != 1 || fields["endpoint"] != "s-0" || fields["to"] != "draining" {
		t.Errorf("got %v, want one line: s-0 drains", lines.All())
	}
}

// Guards against a fault that floods the log, and against lines that are left out without a word.
func TestDiagnosticsAreLimitedAndCountWhatIsLeftOut(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	d := newDiagnostics(zap.New(core))
	built := 0
	record := func() {
		d.record(diagnosticRetry, func() []zap.Field {
			built++
			return nil
		})
	}
	const extra = 20
	for range diagnosticsBurst + extra {
		record()
	}
	if built < diagnosticsBurst || built > diagnosticsBurst+1 {
		t.Errorf("got %d lines built, want the burst of %d, and one more at most", built, diagnosticsBurst)
	}
	d.limits[diagnosticRetry].SetBurst(2 * diagnosticsBurst)
	d.flush()
	left := int64(diagnosticsBurst + extra - built)
	if got := lines.All()[0].ContextMap()["suppressed before"]; got != left {
		t.Errorf("got %v lines left out, want %d", got, left)
	}
	d.limits[diagnosticRefused].SetBurst(10 * diagnosticsQueue)
	for range 2 * diagnosticsQueue {
		d.record(diagnosticUpstreamClose, func() []zap.Field { return nil })
	}
	d.flush()
	if lines.Len() > built+diagnosticsQueue {
		t.Errorf("got %d lines, want no more than the queue holds", lines.Len())
	}
}

// Guards against counters of closes that take one another's names.
func TestCloseReasonsHaveCountersOfTheirOwn(t *testing.T) {
	names := map[string]bool{}
	for id := range totalCounters {
		if name := id.name(); name == "" || names[name] {
			t.Errorf("counter %d: got the name %q, want one of its own", id, name)
		} else {
			names[name] = true
		}
	}
	n := newNode(t, nil)
	n.counters.add(closeCounter(closeUnsolicitedInput))
	n.counters.add(clientCloseCounter(clientCloseMalformed))
	for id, want := range map[counter]string{
		closeCounter(closeUnsolicitedInput):      "upstream connections closed: unsolicited input",
		clientCloseCounter(clientCloseMalformed): "client connections closed: malformed request",
	} {
		if id.name() != want || n.count(id) != 1 {
			t.Errorf("got %q counted %d times, want %q once", id.name(), n.count(id), want)
		}
	}
}

// Guards against a process that nears its memory limit without a word about what it holds.
func TestHighMemoryIsLoggedWithWhatIsInUse(t *testing.T) {
	n := newNode(t, func(c *Config) { c.Limits.MemoryMB = 1 })
	lines := n.observeDiagnostics()
	n.start()
	dial(t, n)
	eventually(t, "a line with the connection", func() bool {
		for _, line := range lines.FilterMessage("memory is high").All() {
			fields := line.ContextMap()
			if fields["resident bytes"].(int64) > bytesPerMiB && fields["client connections"] == int64(1) {
				return true
			}
		}
		return false
	})
}
