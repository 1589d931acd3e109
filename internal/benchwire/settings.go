package benchwire

import (
	"fmt"
	"strconv"
	"strings"

	"fawnglade/policy"
)

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
		p.err = fmt.Errorf("profile_data: %s: expected %s, got %s", key, want, got)
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

func (p *pairs) time(key string, low float64) int64 {
	v := p.number(key, low)
	if v > 9e15 { // would not fit in nanoseconds
		p.complain(key, "a time in microseconds")
		return 0
	}
	return int64(v) * micro
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
		for _, name := range []string{"safe", "keyed", "unsafe", "all", "zone", "cell", "push", "ask",
			"off", "nominal", "rough", "live"} {
			if _, known := of[name]; known {
				names += " " + name
			}
		}
		p.complain(key, "one of"+names)
	}
	return v
}

func decodeSettings(text string) (policy.Settings, error) {
	p := &pairs{values: map[string]string{}}
	for _, pair := range strings.Fields(text) {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("profile_data: expected path=value, got %s", pair)
		}
		p.values[key] = value
	}
	var s policy.Settings
	for i := range p.count("profiles.count", 1) {
		at := fmt.Sprintf("profiles.%d.", i)
		c := policy.Category{
			SoftLimit:    p.time(at+"objective_us", 1),
			SoftStretch:  p.numberOr(at+"aim_stretch", 0, 0),
			LateEarnings: p.numberOr(at+"late_worth", 0, 0),
			Repeat: choice(p, at+"repeat", map[string]policy.Repeat{
				"safe": policy.Rerunnable, "keyed": policy.Ticketed, "unsafe": policy.Exclusive}),
		}
		if c.Repeat == policy.Ticketed {
			c.Group = choice(p, at+"group", map[string]policy.Group{
				"all": policy.WholeFleet, "zone": policy.SameZone, "cell": policy.SamePod})
			c.Memory = p.time(at+"memory_span_us", 0)
		}
		s.Categories = append(s.Categories, c)
	}
	if p.has("parties.count") {
		for i := range p.count("parties.count", 0) {
			at := fmt.Sprintf("parties.%d.", i)
			s.Customers = append(s.Customers, policy.Customer{
				Portion: p.number(at+"portion", 0)})
		}
	}
	s.OverShare = p.numberOr("over_share_worth", 0, 1)
	s.BorneMisses = p.numberOr("goal.borne_misses", 0, 0)
	s.Zone = int(p.number("zone", 0))
	s.Tick = p.time("quantum_us", 0)
	s.MustAsk = choice(p, "discovery", map[string]bool{"push": false, "ask": true})
	if s.MustAsk {
		s.AskWithin = p.time("rules.ask_within_us", 1)
	}
	switch choice(p, "weights", map[string]string{"off": "", "nominal": "size", "rough": "size", "live": "live"}) {
	case "live":
		s.LiveWeights = true
	case "size":
		s.SizeWeights = true
	}
	if p.values["report.how"] != "off" {
		for _, field := range strings.Split(p.values["report.fields"], ",") {
			switch field {
			case "util":
				s.Utilised = true
			case "latency_ms":
				s.Timed = true
			case "inflight":
				s.Held = true
			}
		}
	}
	s.WarmKeys = p.truth("family_info.warm_keys", false)
	s.MayDuplicate = p.truth("limits.may_duplicate", false)
	s.MayRecall = p.truth("limits.cancelling", false)
	s.MayAdvise = p.truth("limits.retry_after", false)
	if s.MayAdvise {
		s.MaxAdvice = p.time("limits.max_retry_after_us", 0)
	}
	s.MaxHandOffs = int(p.number("limits.try_limit", 1))
	s.ColdFrom = p.number("rules.cold_from", 0)
	s.WarmWithin = p.time("rules.warm_within_us", 0)
	return s, p.err
}

func (p *pairs) count(key string, low float64) int {
	n := p.number(key, low)
	if n > 10000 {
		p.complain(key, "a count of at most 10000")
		return 0
	}
	return int(n)
}
