package trace

import (
	"time"

	"fawnglade/internal/lab/scenario"
)

// The words of the settings for those of a scenario file.
var (
	idempotencySettings = map[string]string{
		scenario.Idempotent: "safe", scenario.IdempotentByKey: "keyed", scenario.NonIdempotent: "unsafe",
	}
	dedupGroupSettings = map[string]string{"fleet": "all", "zone": "zone", "pod": "cell"}
)

// clockResolution is what every node of the lab is told of its clock.
const clockResolution = 2 * time.Millisecond

func microseconds(d scenario.Duration) int64 { return d.Std().Microseconds() }

// NodeSettings returns the settings of a node, as in its configuration: nothing that a node could not know.
func NodeSettings(s *scenario.Scenario, index, zone int) map[string]any {
	discovery := "push"
	if s.Discovery.MustPoll {
		discovery = "ask"
	}
	all := map[string]any{
		"discovery": discovery, "domain_type": "proxy",
		"family_info": map[string]any{"warm_keys": s.Discovery.KeyAffinity},
		"goal":        map[string]any{"whole": 0.5, "worst_window": 0.1, "worst_class": 0.3, "worst_tenant": 0.1},
		"group_size":  s.Nodes.Count, "layer": 0, "tiers": []string{"lab"}, "kinds": []string{"m"}, "position": index,
		"limits":           limitSettings(s),
		"over_share_worth": 0.05, "profiles": classSettings(s), "quantum_us": clockResolution.Microseconds(),
		"report": map[string]any{"fields": s.Reports.Fields, "how": reportSetting(s)},
		"rules":  ruleSettings(s),
		"zone":   zone, "zones": s.Network.Zones, "value_by": "request", "weights": "off",
	}
	if len(s.Tenants) > 0 {
		all["parties"] = tenantSettings(s)
	}
	return all
}

func classSettings(s *scenario.Scenario) (classes []any) {
	for i := range s.Classes {
		c := &s.Classes[i]
		one := map[string]any{
			"name": c.Name, "objective_us": microseconds(c.LatencyObjective), "deadline_us": microseconds(c.Deadline),
			"late_worth": 0.0, "worth": c.PriorityWeight, "repeat": idempotencySettings[c.Idempotency], "streaming": false,
		}
		if c.Idempotency == scenario.IdempotentByKey {
			one["group"], one["memory_span_us"] = dedupGroupSettings[c.DedupGroup], microseconds(c.DedupWindow)
		}
		classes = append(classes, one)
	}
	return classes
}

func tenantSettings(s *scenario.Scenario) (tenants []any) {
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Quota
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{
			"name": t.Name, "portion": t.Quota / total, "quota_per_s": s.Load.Rate * t.Quota / total,
		})
	}
	return tenants
}

func reportSetting(s *scenario.Scenario) string {
	switch {
	case len(s.Reports.Fields) == 0:
		return "off"
	case s.Reports.HealthChecked:
		return "on_probe"
	}
	return "inline"
}

func limitSettings(s *scenario.Scenario) map[string]any {
	idle := microseconds(s.Fleets[0].IdleClose)
	for i := range s.Fleets {
		idle = min(idle, microseconds(s.Fleets[i].IdleClose))
	}
	r := &s.Rules
	return map[string]any{
		"cancelling": r.MayCancel, "connect_timeout_us": microseconds(r.ConnectTimeout), "idle_close_us": idle,
		"max_open": 20000, "max_retry_after_us": microseconds(r.MaxRetryAfter), "may_duplicate": r.MayHedge, "multiplex": 1,
		"peer_messages": s.Nodes.Gossip || s.Nodes.Membership, "probes": s.Reports.HealthChecked,
		"retry_after": r.MaxRetryAfter > 0, "try_limit": r.MaxAttempts,
	}
}

func ruleSettings(s *scenario.Scenario) map[string]any {
	coldest, longest := 1.0, int64(0)
	for i := range s.Fleets {
		f := &s.Fleets[i]
		coldest, longest = min(coldest, f.SlowStartCapacity), max(longest, microseconds(f.SlowStartWindow))
	}
	r := &s.Rules
	return map[string]any{
		"grace_to_answer_us": microseconds(r.AnswerGrace), "ask_within_us": microseconds(r.PollWithin), "cold_from": coldest,
		"fall_multiple": r.CrashMultiple, "tip_after_us": microseconds(r.CrashWindow),
		"stop_sending_within_us": microseconds(r.StopSending), "warm_within_us": longest,
	}
}
