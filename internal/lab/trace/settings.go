package trace

// This file owns what nodes are told of the deployment, the same on sockets and in virtual time. It must never tell what a
// node could not know.

import "fawnglade/internal/lab/scenario"

var (
	repeatNames = map[string]string{"rerunnable": "safe", "ticketed": "keyed", "exclusive": "unsafe"}
	groupNames  = map[string]string{"fleet": "all", "zone": "zone", "pod": "cell"}
)

// SettingsOf is what a node is told of the deployment.
func SettingsOf(s *scenario.Scenario, index, zone int) map[string]any {
	micros := func(d scenario.Duration) int64 { return int64(d) / 1000 }
	var categories, customers []any
	for i := range s.Categories {
		c := &s.Categories[i]
		one := map[string]any{
			"name": c.Name, "objective_us": micros(c.SoftLimit), "deadline_us": micros(c.HardLimit),
			"late_worth": 0.0, "worth": c.Earnings, "repeat": repeatNames[c.Repeat], "streaming": false,
		}
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
	if s.Reports.HealthChecked {
		how = "on_probe"
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
		"limits": map[string]any{
			"cancelling": r.MayRecall, "connect_timeout_us": micros(r.ConnectIn), "idle_close_us": idle,
			"max_open": 20000, "max_retry_after_us": micros(r.MaxAdvice), "may_duplicate": r.MayDuplicate, "multiplex": 1,
			"peer_messages": s.Nodes.News || s.Nodes.Members, "probes": s.Reports.HealthChecked, "retry_after": r.MaxAdvice > 0, "try_limit": r.MostHandOffs,
		},
		"over_share_worth": 0.05, "profiles": categories, "quantum_us": 2000,
		"report": map[string]any{"fields": s.Reports.Fields, "how": how},
		"rules": map[string]any{
			"grace_to_answer_us": micros(r.AnswerGrace), "ask_within_us": micros(r.AskWithin), "cold_from": coldest,
			"fall_multiple": r.FallMultiple, "tip_after_us": micros(r.FallAfter), "stop_sending_within_us": micros(r.StopSending),
			"warm_within_us": longest,
		},
		"value_by": "request", "weights": "off", "zone": zone, "zones": s.Network.Zones,
	}
	if len(customers) > 0 {
		all["parties"] = customers
	}
	return all
}
