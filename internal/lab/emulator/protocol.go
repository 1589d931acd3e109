package emulator

// The wire format: all names that the emulator writes to sockets or reads from them, such as headers, paths, and fields
// of the endpoint list and of the configuration. It follows the specification of the protocol and shares no code with
// the node, so that an error in one of them shows.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
)

const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTenant         = "X-Org"
	headerRemaining      = "X-Remaining-Ms"
	headerClientRetry    = "X-Resent"
	headerCostHint       = "X-Estimate"
	headerIdempotencyKey = "Idempotency-Key"
	headerLoadReport     = "X-Pressure"
	headerNotExecuted    = "X-Turned-Away"
	headerRetryAfter     = "Retry-After"

	pathReady = "/ready"
	pathList  = "/v1/endpoints"
)

var healthNames = map[model.State]string{model.Up: "up", model.Draining: "draining", model.Removed: "removed"}

// encodeEntry appends one entry of the endpoint list.
func encodeEntry(into []byte, name, dial, zone string, pod int, state model.State, startedNs int64) []byte {
	return fmt.Appendf(into, `{"host":%q,"dial":%q,"site":%q,"class":"m","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
		name, dial, zone, pod, healthNames[state], startedNs/1e6)
}

func encodeList(into []byte, version int64, complete bool, entries [][]byte) []byte {
	into = fmt.Appendf(into, `{"seq":%d,"whole":%t,"hosts":[`, version, complete)
	for i, e := range entries {
		if i > 0 {
			into = append(into, ',')
		}
		into = append(into, e...)
	}
	return append(into, "]}"...)
}

// parseListTarget parses the request target of a call to discovery. known is false for another path.
func parseListTarget(target string) (watch bool, after int64, known bool) {
	path, query, _ := strings.Cut(target, "?")
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "watch":
			watch = value == "1"
		case "after":
			after, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return watch, after, path == pathList
}

// encodeLoadReport appends a load report with the given fields.
func encodeLoadReport(into []byte, fields []string, f model.LoadFigures) []byte {
	for i, name := range fields {
		if i > 0 {
			into = append(into, ',')
		}
		into = append(into, name...)
		into = append(into, '=')
		switch name {
		case "inflight":
			into = strconv.AppendFloat(into, f.InFlight, 'f', -1, 64)
		case "queue":
			into = strconv.AppendFloat(into, f.Queue, 'f', -1, 64)
		case "util":
			into = strconv.AppendFloat(into, f.Utilization, 'f', 3, 64)
		case "latency_ms":
			into = strconv.AppendFloat(into, f.ServiceTime, 'f', 3, 64)
		}
	}
	return into
}

// encodeConfig returns a node's configuration as JSON.
func encodeConfig(
	s *scenario.Scenario, name, listen, discovery string, seed uint64, index, zone int, known []byte,
	gossip map[string]any, console string,
) []byte {
	all := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed),
		"limits":   map[string]any{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"settings": trace.NodeSettings(s, index, zone),
	}
	if known != nil {
		all["known"] = json.RawMessage(known)
	}
	if gossip != nil {
		all["news"], all["console"] = gossip, console
	}
	text, err := json.Marshal(all)
	if err != nil {
		panic(err) // cannot happen: the configuration consists of numbers and strings
	}
	return text
}

// encodeRequest appends a request of a client. Its body repeats its ID; the response contains the size of the body that
// arrived, which shows whether it was complete.
func encodeRequest(
	into []byte, s *scenario.Scenario, o *workload.Operation, id, idempotencyKey string, number int, remaining int64,
) []byte {
	c := &s.Classes[o.Class]
	method := "POST"
	if c.Idempotency == scenario.Idempotent {
		method = "GET"
	}
	into = append(into, method...)
	into = append(into, " /"...)
	into = append(into, c.Name...)
	into = append(into, " HTTP/1.1\r\nHost: lab\r\n"+headerRequestID+": "...)
	into = append(into, id...)
	into = append(into, "\r\n"+headerClass+": "...)
	into = append(into, c.Name...)
	into = append(into, "\r\n"+headerRemaining+": "...)
	into = strconv.AppendInt(into, max(remaining/1e6, 0), 10)
	if o.Tenant >= 0 {
		into = append(into, "\r\n"+headerTenant+": "...)
		into = append(into, s.Tenants[o.Tenant].Name...)
	}
	if c.Idempotency == scenario.IdempotentByKey {
		into = append(into, "\r\n"+headerIdempotencyKey+": "...)
		into = append(into, idempotencyKey...)
	}
	if o.Key >= 0 {
		into = fmt.Appendf(into, "\r\nCookie: key=k%d", o.Key)
	}
	if o.CostHint > 0 {
		into = append(into, "\r\n"+headerCostHint+": "...)
		into = strconv.AppendInt(into, o.CostHint/1000, 10)
	}
	if number > 0 {
		into = append(into, "\r\n"+headerClientRetry+": 1"...)
	}
	if method == "GET" || s.Load.Body == 0 {
		if method == "POST" {
			into = append(into, "\r\nContent-Length: 0"...)
		}
		return append(into, "\r\n\r\n"...)
	}
	into = append(into, "\r\nContent-Length: "...)
	into = strconv.AppendInt(into, int64(s.Load.Body), 10)
	into = append(into, "\r\n\r\n"...)
	for n := 0; n < s.Load.Body; n++ {
		into = append(into, id[n%len(id)])
	}
	return into
}

// responseBody appends the body of an endpoint's response. It contains the request's ID and the size of the request's
// body, by which clients check it.
func responseBody(into []byte, server, id string, size int) []byte {
	into = append(into, "done "...)
	into = append(into, id...)
	into = append(into, ' ')
	into = strconv.AppendInt(into, int64(size), 10)
	into = append(into, " by "...)
	return append(into, server...)
}

func isResponseBody(body []byte, id string, size int) bool {
	var room [128]byte
	return bytes.HasPrefix(body, responseBody(room[:0], "", id, size))
}
