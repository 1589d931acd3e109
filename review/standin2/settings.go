package main

// Settings of a small deployment: those of the wire page's example, with fewer and shorter figures.

type profile = map[string]any

// settings returns the settings of a deployment with some classes, and with the rules that a case changes.
func settings(profiles []profile, rules map[string]any) map[string]any {
	all := map[string]any{
		"discovery": "push", "group_size": 1, "position": 0, "layer": 0, "domain_type": "proxy", "quantum_us": 5000,
		"over_share_worth": 1.0, "value_by": "request", "weights": "off", "zone": 0, "zones": []string{"milano-1"},
		"kinds": []string{"fast"}, "tiers": []string{"ordini-web"},
		"report":   map[string]any{"fields": []string{"latency_ms", "util"}, "how": "inline"},
		"profiles": profiles,
		"limits": map[string]any{
			"cancelling": true, "connect_timeout_us": 250000, "idle_close_us": 5000000, "max_open": 20000,
			"max_retry_after_us": 3000000, "may_duplicate": false, "multiplex": 1, "peer_messages": false, "probes": false,
			"retry_after": true, "try_limit": 3,
		},
		"rules": map[string]any{
			"ask_within_us": 10000000, "cold_from": 0.13, "fall_multiple": 2.5, "grace_to_answer_us": 20000,
			"stop_sending_within_us": 500000, "tip_after_us": 2000000, "warm_within_us": 24000000,
		},
	}
	for name, value := range rules {
		all["rules"].(map[string]any)[name] = value
	}
	return all
}

func class(name, repeat string, objectiveMs, deadlineMs int, more profile) profile {
	p := profile{
		"name": name, "repeat": repeat, "objective_us": objectiveMs * 1000, "deadline_us": deadlineMs * 1000,
		"group": "all", "late_worth": 0.3, "memory_span_us": 20000000, "streaming": false, "worth": 5.0,
	}
	for key, value := range more {
		p[key] = value
	}
	return p
}
