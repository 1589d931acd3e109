// Package settings decodes what an instance is told at its start, for both of its homes: the bench's line of
// path=value pairs and the node's nested JSON. It owns the names of the settings and must never hold a default
// that decides anything: what the decisions need and do not find is a complaint.
package settings

import (
	"bytes"
	"encoding/json"
	"fawnglade/policy"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Settings holds what the decisions read, and what a node needs to name things as its peers do.
type Settings struct {
	Policy policy.Settings

	Classes, Tenants, Zones []string
	Deadlines               []time.Duration // of a request that does not tell its own
	ConnectTimeout          time.Duration
	IdleTimeout             time.Duration
	DrainGrace              time.Duration // sends to a draining server have to stop; 0: not told
}

// FromLine decodes path=value pairs set apart by spaces.
func FromLine(text string) (Settings, error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(text) {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return Settings{}, fmt.Errorf("expected path=value, got %s", pair)
		}
		values[key] = value
	}
	return decode(values)
}

// FromJSON decodes the nested form of the same settings.
func FromJSON(text []byte) (Settings, error) {
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	var tree map[string]any
	if err := in.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("expected an object: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return decode(values)
}

func flatten(into map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(into, strings.TrimPrefix(path+"."+name, "."), inner)
		}
	case []any:
		var simple []string
		for i, inner := range v {
			if _, nested := inner.(map[string]any); nested {
				flatten(into, fmt.Sprintf("%s.%d", path, i), inner)
			} else {
				simple = append(simple, fmt.Sprint(inner))
			}
		}
		if len(simple) == 0 {
			into[path+".count"] = strconv.Itoa(len(v))
		}
		into[path] = strings.Join(simple, ",")
	case nil:
	default:
		into[path] = fmt.Sprint(v)
	}
}

// pairs reads a settings line's path=value pairs and keeps the first complaint.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) complain(key, want string) {
	if p.err == nil {
		got, ok := p.values[key]
		if !ok {
			got = "nothing"
		}
		p.err = fmt.Errorf("%s: expected %s, got %s", key, want, got)
	}
}

func (p *pairs) has(key string) bool { _, ok := p.values[key]; return ok }

func (p *pairs) number(key string, low float64) float64 {
	v, err := strconv.ParseFloat(p.values[key], 64)
	if err != nil || !(v >= low) || v > 1e18 {
		p.complain(key, fmt.Sprintf("a number of at least %g", low))
		return low
	}
	return v
}

func (p *pairs) numberOr(key string, low, missing float64) float64 {
	if !p.has(key) {
		return missing
	}
	return p.number(key, low)
}

func (p *pairs) duration(key string, low float64) time.Duration {
	v := p.number(key, low)
	if v > 9e15 { // would not fit in nanoseconds
		p.complain(key, "a time in microseconds")
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func (p *pairs) durationOr(key string, missing time.Duration) time.Duration {
	if !p.has(key) {
		return missing
	}
	return p.duration(key, 0)
}

func (p *pairs) truth(key string, missing bool) bool {
	switch p.values[key] {
	case "true":
		return true
	case "false":
		return false
	}
	if p.has(key) {
		p.complain(key, "true or false")
	}
	return missing
}

func choice[T any](p *pairs, key string, of map[string]T) T {
	v, ok := of[p.values[key]]
	if !ok {
		names := ""
		for _, name := range []string{
			"safe", "keyed", "unsafe", "all", "zone", "cell", "push", "ask",
			"inline", "on_probe", "off", "nominal", "rough", "live", "request", "work",
		} {
			if _, known := of[name]; known {
				names += " " + name
			}
		}
		p.complain(key, "one of"+names)
	}
	return v
}

func decode(values map[string]string) (Settings, error) {
	p := &pairs{values: values}
	var all Settings
	s := &all.Policy
	for i := range p.count("profiles.count", 1) {
		at := fmt.Sprintf("profiles.%d.", i)
		c := policy.Class{
			LatencyObjective: p.duration(at+"objective_us", 1),
			PriorityWeight:   p.numberOr(at+"worth", 1e-6, 1),
			LateFraction:     p.numberOr(at+"late_worth", 0, 0),
			Idempotency: choice(p, at+"repeat", map[string]policy.Idempotency{
				"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent,
			}),
		}
		if c.Idempotency == policy.IdempotentByKey {
			c.DedupGroup = choice(p, at+"group", map[string]policy.DedupGroup{
				"all": policy.DedupFleet, "zone": policy.DedupZone, "cell": policy.DedupPod,
			})
			c.DedupWindow = p.duration(at+"memory_span_us", 0)
			// An attempt is judged here and comes to its server later, with a way and a busy machine between the two.
			c.DedupWindow -= min(c.DedupWindow/16, 50*time.Millisecond)
		}
		s.Classes = append(s.Classes, c)
		all.Classes = append(all.Classes, values[at+"name"])
		all.Deadlines = append(all.Deadlines, p.duration(at+"deadline_us", 1))
	}
	if p.has("parties.count") {
		for i := range p.count("parties.count", 0) {
			at := fmt.Sprintf("parties.%d.", i)
			s.TenantShares = append(s.TenantShares, p.number(at+"portion", 0))
			all.Tenants = append(all.Tenants, values[at+"name"])
		}
	}
	s.OverQuotaFraction = p.numberOr("over_share_worth", 0, 1)
	s.WorstClassWeight = p.numberOr("goal.worst_class", 0, 1)
	// Nothing reads these two, but what is no number is refused as ever.
	p.numberOr("goal.nines_part", 0, 0)
	p.numberOr("goal.top_nines", 0, 0)
	if p.has("value_by") {
		s.WeightByWork = choice(p, "value_by", map[string]bool{"request": false, "work": true})
	}
	s.Zone = int(p.numberOr("zone", 0, 0)) // a deployment may have no zones
	s.NodeIndex = int(p.numberOr("position", 0, 0))
	s.NodeCount = int(p.numberOr("group_size", 1, 1))
	s.StreamsPerConnection = int(p.numberOr("limits.multiplex", 1, 1))
	s.ClockResolution = p.duration("quantum_us", 0)
	s.MustPollList = choice(p, "discovery", map[string]bool{"push": false, "ask": true})
	if s.MustPollList {
		s.MaxPollInterval = p.duration("rules.ask_within_us", 1)
	}
	// A weight that says how full a server was a while ago is passed over; what servers report says it better.
	s.WeightIsSize = choice(p, "weights", map[string]bool{"off": false, "nominal": true, "rough": true, "live": false})
	if p.values["report.how"] != "off" {
		for _, field := range strings.Split(p.values["report.fields"], ",") {
			switch field {
			case "util":
				s.ReportsUtilization = true
			case "latency_ms":
				s.ReportsServiceTime = true
			}
		}
	}
	s.RemovedMayServe = p.truth("rules.removal_not_binding", false)
	s.KeyAffinity = p.truth("family_info.warm_keys", false)
	s.MayHedge = p.truth("limits.may_duplicate", false)
	s.MayGossip = p.truth("limits.peer_messages", false)
	s.MayCheckHealth = p.truth("limits.probes", false)
	if p.has("report.how") {
		s.HealthChecksReport = choice(p, "report.how", map[string]bool{"inline": false, "on_probe": true, "off": false})
	}
	s.MayCancel = p.truth("limits.cancelling", false)
	s.MaySetRetryAfter = p.truth("limits.retry_after", false)
	if s.MaySetRetryAfter {
		s.MaxRetryAfter = p.duration("limits.max_retry_after_us", 0)
	}
	s.MaxAttempts = int(p.number("limits.try_limit", 1))
	s.SlowStartMinCapacity = p.number("rules.cold_from", 0)
	s.SlowStartWindow = p.duration("rules.warm_within_us", 0)
	if values["zones"] != "" {
		all.Zones = strings.Split(values["zones"], ",")
	}
	// The bench opens connections itself and may leave these out; a node checks that it has them.
	all.ConnectTimeout = p.durationOr("limits.connect_timeout_us", 0)
	all.IdleTimeout = p.durationOr("limits.idle_close_us", 0)
	all.DrainGrace = p.durationOr("rules.stop_sending_within_us", 0)
	return all, p.err
}

func (p *pairs) count(key string, low float64) int {
	n := p.number(key, low)
	if n > 10000 {
		p.complain(key, "a count of at most 10000")
		return 0
	}
	return int(n)
}
