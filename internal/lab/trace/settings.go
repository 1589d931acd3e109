package trace

// This file owns what nodes are told of the deployment, the same on sockets and in virtual time. It must never tell what a
// node could not know.

import "fawnglade/internal/lab/scenario"

var (
	idempotencyNames = map[string]string{"rerunnable": "safe", "ticketed": "keyed", "exclusive": "unsafe"}
	groupNames       = map[string]string{"fleet": "all", "zone": "zone", "pod": "cell"}
)

// SettingsOf is what a node is told of the deployment.
func NodeSettings(s *scenario.Scenario, index, zone int) map[string]any {
	micros := func(d scenario.Duration) int64 { return int64(d) / 1000 }
	var categories, customers []any
	for i := range s.Classes {
		c := &s.Classes[i]
		one := map[string]any{
			"name": c.Name, "objective_us": micros(c.LatencyObjective), "deadline_us": micros(c.Deadline),
			"late_worth": 0.0, "worth": c.PriorityWeight, "repeat": idempotencyNames[c.Idempotency], "streaming": false,
		}
		if c.Idempotency == "ticketed" {
			one["group"], one["memory_span_us"] = groupNames[c.DedupGroup], micros(c.DedupWindow)
		}
		categories = append(categories, one)
	}
	total := 0.0
	for _, c := range s.Tenants {
		total += c.Quota
	}
	for _, c := range s.Tenants {
		customers = append(customers, map[string]any{"name": c.Name, "portion": c.Quota / total, "quota_per_s": s.Load.Rate * c.Quota / total})
	}
	discovery, how := "push", "inline"
	if s.Discovery.MustPoll {
		discovery = "ask"
	}
	if s.Reports.HealthChecked {
		how = "on_probe"
	}
	if len(s.Reports.Fields) == 0 {
		how = "off"
	}
	coldest, longest, idle := 1.0, int64(0), int64(0)
	for i := range s.Fleets {
		f := &s.Fleets[i]
		coldest, longest = min(coldest, f.SlowStartCapacity), max(longest, micros(f.SlowStartWindow))
		if idle == 0 || micros(f.IdleClose) < idle {
			idle = micros(f.IdleClose)
		}
	}
	r := &s.Rules
	all := map[string]any{
		"discovery": discovery, "domain_type": "proxy", "family_info": map[string]any{"warm_keys": s.Discovery.KeyAffinity},
		"goal":       map[string]any{"whole": 0.5, "worst_window": 0.1, "worst_class": 0.3, "worst_tenant": 0.1},
		"group_size": s.Nodes.Count, "layer": 0, "tiers": []string{"lab"}, "kinds": []string{"m"}, "position": index,
		"limits": map[string]any{
			"cancelling": r.MayCancel, "connect_timeout_us": micros(r.ConnectTimeout), "idle_close_us": idle,
			"max_open": 20000, "max_retry_after_us": micros(r.MaxRetryAfter), "may_duplicate": r.MayHedge, "multiplex": 1,
			"peer_messages": s.Nodes.Gossip || s.Nodes.Membership, "probes": s.Reports.HealthChecked, "retry_after": r.MaxRetryAfter > 0, "try_limit": r.MaxAttempts,
		},
		"over_share_worth": 0.05, "profiles": categories, "quantum_us": 2000,
		"report": map[string]any{"fields": s.Reports.Fields, "how": how},
		"rules": map[string]any{
			"grace_to_answer_us": micros(r.AnswerGrace), "ask_within_us": micros(r.PollWithin), "cold_from": coldest,
			"fall_multiple": r.CrashMultiple, "tip_after_us": micros(r.CrashWindow), "stop_sending_within_us": micros(r.StopSending),
			"warm_within_us": longest,
		},
		"value_by": "request", "weights": "off", "zone": zone, "zones": s.Network.Zones,
	}
	if len(customers) > 0 {
		all["parties"] = customers
	}
	return all
}
