package rig

// This file owns every name that the rig puts on a socket or reads from one: headers, paths, fields of the list and of
// the configuration. It is written from the protocol's page, not taken from the node, so that neither covers up the
// other's mistake.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"fawnglade/internal/lab/ledger"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/plan"
	"fawnglade/internal/lab/scenario"
)

const (
	nameTask      = "X-Txn"
	nameCategory  = "X-Lane"
	nameCustomer  = "X-Org"
	nameRemaining = "X-Remaining-Ms"
	nameRepeated  = "X-Resent"
	nameCost      = "X-Estimate"
	nameTicket    = "Idempotency-Key"
	nameLoad      = "X-Pressure"
	nameNeverRan  = "X-Turned-Away"
	nameAdvice    = "Retry-After"

	pathReady = "/ready"
	pathList  = "/v1/endpoints"
)

var healthNames = map[model.Health]string{model.Up: "up", model.Draining: "draining", model.Removed: "removed"}

// entryText is one server of a list.
func entryText(into []byte, name, dial, zone string, pod int, health model.Health, startedNs int64) []byte {
	return fmt.Appendf(into, `{"host":%q,"dial":%q,"site":%q,"class":"m","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
		name, dial, zone, pod, healthNames[health], startedNs/1e6)
}

func listText(into []byte, version int64, whole bool, entries [][]byte) []byte {
	into = fmt.Appendf(into, `{"seq":%d,"whole":%t,"hosts":[`, version, whole)
	for i, e := range entries {
		if i > 0 {
			into = append(into, ',')
		}
		into = append(into, e...)
	}
	return append(into, "]}"...)
}

// watchOf reads what a call of discovery asks for.
func watchOf(target string) (watch bool, after int64, known bool) {
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

// reportText is a load report in the fields that the scenario has.
func reportText(into []byte, fields []string, f model.Figure) []byte {
	for i, name := range fields {
		if i > 0 {
			into = append(into, ',')
		}
		into = append(into, name...)
		into = append(into, '=')
		switch name {
		case "inflight":
			into = strconv.AppendFloat(into, f.Held, 'f', -1, 64)
		case "queue":
			into = strconv.AppendFloat(into, f.Queue, 'f', -1, 64)
		case "util":
			into = strconv.AppendFloat(into, f.Utilised, 'f', 3, 64)
		case "latency_ms":
			into = strconv.AppendFloat(into, f.ServiceTime, 'f', 3, 64)
		}
	}
	return into
}

var repeatNames = map[string]string{"rerunnable": "safe", "ticketed": "keyed", "exclusive": "unsafe"}
var groupNames = map[string]string{"fleet": "all", "zone": "zone", "pod": "cell"}

// settingsOf is what a node is told of the deployment.
func settingsOf(s *scenario.Scenario, index, zone int) map[string]any {
	micros := func(d scenario.Duration) int64 { return int64(d) / 1000 }
	var categories, customers []any
	for i := range s.Categories {
		c := &s.Categories[i]
		one := map[string]any{"name": c.Name, "objective_us": micros(c.SoftLimit), "deadline_us": micros(c.HardLimit),
			"late_worth": 0.0, "worth": c.Earnings, "repeat": repeatNames[c.Repeat], "streaming": false}
		if c.Repeat == "ticketed" {
			one["group"], one["memory_span_us"] = groupNames[c.Group], micros(c.Memory)
		}
		categories = append(categories, one)
	}
	total := 0.0
	for _, c := range s.Customers {
		total += c.Owns
	}
	for _, c := range s.Customers {
		customers = append(customers, map[string]any{"name": c.Name, "portion": c.Owns / total, "quota_per_s": s.Load.Rate * c.Owns / total})
	}
	discovery, how := "push", "inline"
	if s.Discovery.Ask {
		discovery = "ask"
	}
	if len(s.Reports.Fields) == 0 {
		how = "off"
	}
	coldest, longest, idle := 1.0, int64(0), int64(0)
	for i := range s.Fleets {
		f := &s.Fleets[i]
		coldest, longest = min(coldest, f.ColdFrom), max(longest, micros(f.WarmFor))
		if idle == 0 || micros(f.IdleClose) < idle {
			idle = micros(f.IdleClose)
		}
	}
	r := &s.Rules
	all := map[string]any{
		"discovery": discovery, "domain_type": "proxy", "family_info": map[string]any{"warm_keys": s.Discovery.WarmKeys},
		"goal":       map[string]any{"whole": 0.5, "worst_window": 0.1, "worst_class": 0.3, "worst_tenant": 0.1},
		"group_size": s.Nodes.Count, "layer": 0, "tiers": []string{"lab"}, "kinds": []string{"m"}, "position": index,
		"limits": map[string]any{"cancelling": r.MayRecall, "connect_timeout_us": micros(r.ConnectIn), "idle_close_us": idle,
			"max_open": 20000, "max_retry_after_us": micros(r.MaxAdvice), "may_duplicate": r.MayDuplicate, "multiplex": 1,
			"peer_messages": false, "probes": false, "retry_after": r.MaxAdvice > 0, "try_limit": r.MostHandOffs},
		"over_share_worth": 0.05, "profiles": categories, "quantum_us": 2000,
		"report": map[string]any{"fields": s.Reports.Fields, "how": how},
		"rules": map[string]any{"grace_to_answer_us": micros(r.AnswerGrace), "ask_within_us": micros(r.AskWithin), "cold_from": coldest,
			"fall_multiple": r.FallMultiple, "tip_after_us": micros(r.FallAfter), "stop_sending_within_us": micros(r.StopSending),
			"warm_within_us": longest},
		"value_by": "request", "weights": "off", "zone": zone, "zones": s.Network.Zones,
	}
	if len(customers) > 0 {
		all["parties"] = customers
	}
	return all
}

// configText is a node's whole configuration.
func configText(s *scenario.Scenario, name, listen, discovery string, seed uint64, index, zone int, known []byte) []byte {
	all := map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed),
		"limits":   map[string]any{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"settings": settingsOf(s, index, zone)}
	if known != nil {
		all["known"] = json.RawMessage(known)
	}
	text, err := json.Marshal(all)
	if err != nil {
		panic(err) // plain numbers and names
	}
	return text
}

// tryText is a task on the wire. Its body is made of its id, so that a server can tell whether it came whole.
func tryText(into []byte, s *scenario.Scenario, t *plan.Task, id, ticket string, try int, remaining int64) []byte {
	c := &s.Categories[t.Category]
	method := "POST"
	if c.Repeat == "rerunnable" {
		method = "GET"
	}
	into = append(into, method...)
	into = append(into, " /"...)
	into = append(into, c.Name...)
	into = append(into, " HTTP/1.1\r\nHost: lab\r\n"+nameTask+": "...)
	into = append(into, id...)
	into = append(into, "\r\n"+nameCategory+": "...)
	into = append(into, c.Name...)
	into = append(into, "\r\n"+nameRemaining+": "...)
	into = strconv.AppendInt(into, max(remaining/1e6, 0), 10)
	if t.Customer >= 0 {
		into = append(into, "\r\n"+nameCustomer+": "...)
		into = append(into, s.Customers[t.Customer].Name...)
	}
	if c.Repeat == "ticketed" {
		into = append(into, "\r\n"+nameTicket+": "...)
		into = append(into, ticket...)
	}
	if t.Key >= 0 {
		into = fmt.Appendf(into, "\r\nCookie: key=k%d", t.Key)
	}
	if t.Estimate > 0 {
		into = append(into, "\r\n"+nameCost+": "...)
		into = strconv.AppendInt(into, t.Estimate/1000, 10)
	}
	if try > 0 {
		into = append(into, "\r\n"+nameRepeated+": 1"...)
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

// answerFor is the body of a server's answer to a task; a client knows it by the id, also when it comes from another.
func answerFor(into []byte, server, id string, size int) []byte {
	into = append(into, "done "...)
	into = append(into, id...)
	into = append(into, ' ')
	into = strconv.AppendInt(into, int64(size), 10)
	into = append(into, " by "...)
	return append(into, server...)
}

func answersTask(body []byte, id string, size int) bool {
	var room [128]byte
	return bytes.HasPrefix(body, answerFor(room[:0], "", id, size))
}

func repeatOf(c *scenario.Category) (ledger.Repeat, ledger.Group) {
	repeat := map[string]ledger.Repeat{"rerunnable": ledger.Rerunnable, "ticketed": ledger.Ticketed, "exclusive": ledger.Exclusive}
	group := map[string]ledger.Group{"fleet": ledger.WholeFleet, "zone": ledger.SameZone, "pod": ledger.SamePod}
	return repeat[c.Repeat], group[c.Group]
}
