package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fawnglade/internal/endpointlist"
	"fawnglade/internal/golden"
	"fawnglade/policy"
)

// TestGoldenMessageHeads compares the encoded heads of requests, responses, watch calls and health checks with the
// bytes of earlier builds.
func TestGoldenMessageHeads(t *testing.T) {
	parse := func(text string) *http.Request {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	var b bytes.Buffer
	for _, c := range []struct {
		text   string
		source *bodySource
		body   []byte
	}{
		{text: "GET /view/1?q=2 HTTP/1.1\r\nHost: shop\r\nX-Txn: t1\r\nX-Lane: view\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\nX-Resent: 1\r\nX-Estimate: 5000\r\n" +
			"X-Pressure: util=1\r\nX-Turned-Away: 1\r\nCookie: key=k9\r\nConnection: close, X-Own\r\nX-Own: 1\r\nX-Other: a\r\nX-Other: b\r\nTe: trailers\r\n\r\n"},
		{text: requestText("pay", "t2", "hello"), body: []byte("hello")},
		{text: "POST /pay HTTP/1.1\r\nHost: shop\r\nX-Txn: t3\r\nContent-Length: 0\r\n\r\n"},
		{text: "POST /pay HTTP/1.1\r\nHost: shop\r\nX-Txn: t4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", source: &bodySource{length: -1}},
		{text: "POST /pay HTTP/1.1\r\nHost: shop\r\nX-Txn: t5\r\nContent-Length: 9000000\r\n\r\n", source: &bodySource{length: 9_000_000}},
	} {
		pending := newPendingRequest()
		pending.source, pending.body = c.source, c.body
		pending.bufferHead(parse(c.text))
		b.Write(pending.headWithTimeout(1_234_567_890))
	}
	golden.Check(t, "request-heads.txt", b.Bytes())

	b.Reset()
	header := http.Header{"X-Other": {"a", "b"}, "Content-Length": {"77"}}
	for _, c := range []struct {
		answer response
		method string
		http10 bool
		last   bool
	}{
		{response{status: 200, header: header.Clone(), body: []byte("body")}, "GET", false, false},
		{response{status: 200, header: header.Clone()}, "HEAD", false, true},
		{response{status: 503, retryAfter: 1_500_000_000}, "GET", false, false},
		{response{status: 502}, "POST", false, true},
		{response{status: 200, header: http.Header{}, stream: &responseStream{length: -1}}, "GET", false, false},
		{response{status: 200, header: http.Header{}, stream: &responseStream{length: -1}}, "GET", true, true},
		{response{status: 200, header: http.Header{}, stream: &responseStream{length: 9_000_000}}, "GET", false, false},
	} {
		pending := newPendingRequest()
		pending.method, pending.http10 = c.method, c.http10
		head := c.answer.encodeHead(pending, c.last)
		fmt.Fprintf(&b, "%s(in chunks: %v)\n", head.text, head.chunked)
	}
	golden.Check(t, "answer-heads.txt", b.Bytes())
	golden.Check(t, "watch-head.txt", []byte(watchHead("127.0.0.1:9", 42)))
	golden.Check(t, "load-head.txt", []byte(healthCheckHead("127.0.0.1:9")))
}

// TestGoldenRequestParsing compares the policy's input parsed from a request and from an upstream's response with that
// of earlier builds.
func TestGoldenRequestParsing(t *testing.T) {
	n := newNode(t, nil)
	var b bytes.Buffer
	for _, text := range []string{
		"GET /view/1 HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\nX-Lane: update\r\nX-Org: acme\r\nX-Remaining-Ms: 250\r\nX-Resent: 1\r\nX-Estimate: 5000\r\nCookie: key=k9\r\n\r\n",
		"GET /view/1 HTTP/1.1\r\nHost: h\r\nX-Txn: t2\r\nX-Estimate: soon\r\n\r\n",
		"GET /view/1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /other HTTP/1.1\r\nHost: h\r\nX-Txn: t3\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: t3\r\nX-Org: nobody\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: t3\r\nX-Remaining-Ms: -1\r\n\r\n",
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		request, err := n.parseRequest(r, 1e18)
		if err != nil {
			fmt.Fprintf(&b, "%v\n", err)
			continue
		}
		fmt.Fprintf(&b, "%s %d %d %d %v %v %d %q\n", request.ID, request.Class, request.Tenant, request.Deadline, request.ClientRetry, request.StreamingBody, request.CostHint, request.Key)
	}
	for _, c := range []struct {
		status int
		header http.Header
	}{
		{200, nil},
		{204, nil},
		{400, nil},
		{404, nil},
		{408, nil},
		{425, nil},
		{429, nil},
		{500, nil},
		{503, nil},
		{503, http.Header{"X-Turned-Away": {"1"}}},
		{504, http.Header{"X-Turned-Away": {"1"}}},
		{503, http.Header{"X-Turned-Away": {"0"}}},
		{500, http.Header{"X-Turned-Away": {"1"}}},
	} {
		fmt.Fprintf(&b, "%d %v: outcome %d, %v\n", c.status, c.header, int(outcomeOf(c.status, c.header)), isRequestFault(c.status))
	}
	for _, text := range []string{"", "util=0.5,queue=3,latency_ms=12.5", "queue=-1,util=x,other=3", "util=0.25"} {
		r := parseLoadReport(text)
		fmt.Fprintf(&b, "%q: %v %v %v\n", text, r.Utilization, r.QueueLength, r.ServiceTime)
	}
	golden.Check(t, "read.txt", b.Bytes())
}

// TestGoldenHotRestartMessages compares the messages of the hot restart protocol, and an endpoint list, with the bytes
// of earlier builds.
func TestGoldenHotRestartMessages(t *testing.T) {
	var b bytes.Buffer
	hello := restartHello{Version: hotRestartVersion, Node: `"n0" 127.0.0.1:80`}
	encoder := json.NewEncoder(&b)
	for _, message := range []any{hello, restartState{restartHello: hello, Endpoints: json.RawMessage(`{"seq":1}`), KnownNames: []string{"s-1", "s-2"}, Estimates: json.RawMessage(`{"MeanOf":1}`)}} {
		if err := encoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	b.WriteString(readyMessage)
	golden.Check(t, "handover.txt", b.Bytes())
	entries := []endpointEntry{
		{name: "s-1", address: "127.0.0.1:80", EndpointInfo: policy.EndpointInfo{Zone: 1, Pod: 3, Weight: 1.5, State: policy.StateDraining, StartedAt: 1_700_000_000_123_000_000}},
		{name: "s-2", EndpointInfo: policy.EndpointInfo{Zone: -1, State: policy.StateRemoved}},
	}
	text := encodeList(9, entries, []string{"a", "b"})
	golden.Check(t, "list.json", text)
	var parsed []byte
	_, err := endpointlist.Parse(text, endpointlist.LimitsFor(0), func() { parsed = nil }, func(listed endpointlist.Entry) error {
		e, err := newEndpointEntry(listed, []string{"a", "b"})
		parsed = fmt.Appendf(parsed, "%s %s %d %d %d %v %d %d %v\n", e.name, e.address, e.ID, e.Zone, e.Pod, e.Weight, int(e.State), e.StartedAt, err)
		return err
	})
	golden.Check(t, "entries.txt", fmt.Appendln(parsed, err))
}

// TestGoldenOverridesFile compares the overrides file with that of an earlier build, and parses that file.
func TestGoldenOverridesFile(t *testing.T) {
	n := newNode(t, func(c *Config) { c.Name, c.Listen = "n0", "127.0.0.1:0" })
	set := &overrideSet{drained: true, endpoints: map[string]endpointOverride{"s-1": {disabledAt: 5}, "s \"2\"": {disabledAt: 6, enabledAt: 7}}}
	if err := n.overrides.write(set); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(n.overrides.path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "orders.txt", text)
	golden.Check(t, "file-names.txt", fmt.Appendln(nil, n.fileName(".orders"), n.fileName(".sock"), storeDir))
	file, err := os.Open(filepath.Join("testdata", "golden", "orders.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	read, err := parseOverrides(file, n.identity())
	if err != nil || !read.drained || len(read.endpoints) != 2 || read.endpoints["s-1"] != (endpointOverride{disabledAt: 5}) || read.endpoints["s \"2\""] != (endpointOverride{disabledAt: 6, enabledAt: 7}) {
		t.Errorf("got overrides %+v, error %v, want drained with s-1 disabled and s \"2\" enabled again", read, err)
	}
}

// TestGoldenAdminResponses compares the admin API's responses with the bytes of earlier builds.
func TestGoldenAdminResponses(t *testing.T) {
	n := startNode(t, withAdmin, "127.0.0.1:1")
	var b bytes.Buffer
	for _, call := range []string{
		"GET /ready", "PUT /ready", "GET /nothing", "GET /members", "GET /state", "GET /relays", "PUT /servers/disable", "PUT /servers/disable?target=s-0&target=s-1",
		"PUT /servers/disable?target=", "PUT /servers/disable?target=%zz", "PUT /servers/disable?target=s-9", "PUT /servers/disable?target=s-0", "PUT /servers/enable?target=s-0",
		"PUT /drain", "GET /ready", "PUT /undrain", "GET /ready",
	} {
		method, target, _ := strings.Cut(call, " ")
		fmt.Fprintf(&b, "> %s\n%s", call, n.admin.handle(httptest.NewRequest(method, target, nil)).encode())
	}
	golden.Check(t, "console.txt", b.Bytes())
	var fields map[string]json.RawMessage
	persistent := startNode(t, func(call *Config) {
		if err := call.UseStateDir(t.TempDir()); err != nil {
			t.Fatal(err)
		}
	}, "127.0.0.1:1")
	if err := json.Unmarshal([]byte(persistent.persistence.statusJSON()), &fields); err != nil {
		t.Fatal(err)
	}
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	golden.Check(t, "state-fields.txt", fmt.Appendln(nil, names))
}

// TestGoldenRejections compares the responses that the node itself generates with the bytes of earlier builds.
func TestGoldenRejections(t *testing.T) {
	n := startNode(t, nil)
	var b bytes.Buffer
	for _, text := range []string{
		requestText("view", "none-listed", "x"),
		requestText("nowhere", "t", ""),
		"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET /view HTTP/1.1\r\nbad\r\n\r\n",
		"GET /" + strings.Repeat("x", maxHeadBytes) + " HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		c, err := net.Dial("tcp", n.address())
		if err != nil {
			t.Fatal(err)
		}
		writeText(c, text)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%.40q: %s %v %q\n", text, answer.Status, answer.Header, body)
		c.Close()
	}
	golden.Check(t, "refusals.txt", b.Bytes())
}
