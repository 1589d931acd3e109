package settings

import (
	"fmt"
	"strings"
	"time"

	"fawnglade/policy"
)

// The names of the settings and of their values, mapped to the fields of Settings and policy.Settings. The names are
// fixed, as operators and simulators write them. An array of objects consists of PATH.count, PATH.0, PATH.1 and so on.
// Settings are read in a fixed order, and the first invalid one is reported.
//
//	profiles.N.name                Classes
//	profiles.N.deadline_us         Deadlines, microseconds
//	profiles.N.objective_us        Class.LatencyObjective, microseconds
//	profiles.N.worth               Class.PriorityWeight; 1 if missing
//	profiles.N.late_worth          Class.LateFraction, 0 to 1; 0 if missing
//	profiles.N.repeat              Class.Idempotency: safe, keyed (idempotent by key) or unsafe (non-idempotent)
//	profiles.N.group               Class.DedupGroup, if keyed: all (fleet), zone or cell (pod)
//	profiles.N.memory_span_us      Class.DedupWindow, if keyed, microseconds
//	parties.N.name                 Tenants
//	parties.N.portion              TenantShares, fraction of all requests
//	over_share_worth               OverQuotaFraction; 1 if missing
//	goal.worst_class               WorstClassWeight, 0 to 1; 1 if missing
//	value_by                       WeightByWork: work, or request (false)
//	zones                          Zones; the others refer to them by number
//	zone                           Zone, the node's
//	position, group_size           NodeIndex, NodeCount
//	limits.multiplex               StreamsPerConnection
//	quantum_us                     ClockResolution, microseconds
//	discovery                      MustPollList: ask, or push (false)
//	rules.ask_within_us            MaxPollInterval, if discovery is ask, microseconds
//	weights                        WeightIsSize: nominal or rough, else off or live (false)
//	report.how                     HealthChecksReport: on_probe; inline (false), or off: no load reports at all
//	report.fields                  ReportsUtilization (util) and ReportsServiceTime (latency_ms), with commas
//	rules.removal_not_binding      RemovedMayServe
//	family_info.warm_keys          KeyAffinity
//	limits.may_duplicate           MayHedge
//	limits.peer_messages           MayGossip
//	limits.probes                  MayCheckHealth
//	limits.cancelling              MayCancel
//	limits.retry_after             MaySetRetryAfter
//	limits.max_retry_after_us      MaxRetryAfter, if limits.retry_after is set, microseconds
//	limits.try_limit               MaxAttempts
//	rules.cold_from                SlowStartMinCapacity, fraction of the full capacity
//	rules.warm_within_us           SlowStartWindow, microseconds
//	limits.connect_timeout_us      ConnectTimeout, microseconds
//	limits.idle_close_us           IdleTimeout, microseconds
//	rules.stop_sending_within_us   DrainGrace, microseconds

var (
	idempotencyOptions = []option[policy.Idempotency]{
		{"safe", policy.Idempotent}, {"keyed", policy.IdempotentByKey}, {"unsafe", policy.NonIdempotent},
	}
	dedupGroupOptions = []option[policy.DedupGroup]{
		{"all", policy.DedupFleet}, {"zone", policy.DedupZone}, {"cell", policy.DedupPod},
	}
	weightByWorkOptions = []option[bool]{{"request", false}, {"work", true}}
	mustPollListOptions = []option[bool]{{"push", false}, {"ask", true}}
	// A weight that reflects an earlier load of the endpoint (live) is ignored, as load reports are more current.
	weightIsSizeOptions = []option[bool]{{"off", false}, {"nominal", true}, {"rough", true}, {"live", false}}
	// healthChecksReportOptions says whether load reports come only in responses to health checks.
	healthChecksReportOptions = []option[bool]{{"inline", false}, {"on_probe", true}, {"off", false}}
)

const (
	reportsOff          = "off"
	reportedUtilization = "util"
	reportedServiceTime = "latency_ms"
)

// The deduplication window is shortened by 1/dedupMarginDivisor of its length, at most by maxDedupMargin, since an
// attempt reaches its endpoint later than this node decides to send it.
const (
	dedupMarginDivisor = 16
	maxDedupMargin     = 50 * time.Millisecond
)

func decode(byPath map[string]string) (Settings, error) {
	v := &values{byPath: byPath}
	var s Settings
	s.readClasses(v)
	s.readTenants(v)
	readGoal(v, &s.Policy)
	readNode(v, &s.Policy)
	readEndpointList(v, &s.Policy)
	readLoadReports(v, &s.Policy)
	readPermissions(v, &s.Policy)
	if zones := byPath["zones"]; zones != "" {
		s.Zones = strings.Split(zones, ",")
	}
	// All three are optional here. A node requires the first two; a simulator opens connections itself.
	s.ConnectTimeout = v.durationOrZero("limits.connect_timeout_us")
	s.IdleTimeout = v.durationOrZero("limits.idle_close_us")
	s.DrainGrace = v.durationOrZero("rules.stop_sending_within_us")
	return s, v.err
}

func (s *Settings) readClasses(v *values) {
	for i := range v.count("profiles.count", 1) {
		prefix := fmt.Sprintf("profiles.%d.", i)
		s.Policy.Classes = append(s.Policy.Classes, readClass(v, prefix))
		s.Classes = append(s.Classes, v.byPath[prefix+"name"])
		s.Deadlines = append(s.Deadlines, v.duration(prefix+"deadline_us", 1))
	}
}

func readClass(v *values, prefix string) policy.Class {
	class := policy.Class{
		LatencyObjective: v.duration(prefix+"objective_us", 1),
		PriorityWeight:   v.numberOr(prefix+"worth", 1e-6, 1),
		LateFraction:     v.numberOr(prefix+"late_worth", 0, 0),
		Idempotency:      readOption(v, prefix+"repeat", idempotencyOptions),
	}
	if class.Idempotency == policy.IdempotentByKey {
		class.DedupGroup = readOption(v, prefix+"group", dedupGroupOptions)
		window := v.duration(prefix+"memory_span_us", 0)
		class.DedupWindow = window - min(window/dedupMarginDivisor, maxDedupMargin)
	}
	return class
}

func (s *Settings) readTenants(v *values) {
	if !v.has("parties.count") {
		return
	}
	for i := range v.count("parties.count", 0) {
		prefix := fmt.Sprintf("parties.%d.", i)
		s.Policy.TenantShares = append(s.Policy.TenantShares, v.number(prefix+"portion", 0))
		s.Tenants = append(s.Tenants, v.byPath[prefix+"name"])
	}
}

func readGoal(v *values, s *policy.Settings) {
	s.OverQuotaFraction = v.numberOr("over_share_worth", 0, 1)
	s.WorstClassWeight = v.numberOr("goal.worst_class", 0, 1)
	// Nothing uses these two settings, but a value that is not a number is an error.
	v.numberOr("goal.nines_part", 0, 0)
	v.numberOr("goal.top_nines", 0, 0)
	if v.has("value_by") {
		s.WeightByWork = readOption(v, "value_by", weightByWorkOptions)
	}
}

func readNode(v *values, s *policy.Settings) {
	s.Zone = int(v.numberOr("zone", 0, 0)) // optional: a deployment may have no zones
	s.NodeIndex = int(v.numberOr("position", 0, 0))
	s.NodeCount = int(v.numberOr("group_size", 1, 1))
	s.StreamsPerConnection = int(v.numberOr("limits.multiplex", 1, 1))
	s.ClockResolution = v.duration("quantum_us", 0)
}

func readEndpointList(v *values, s *policy.Settings) {
	s.MustPollList = readOption(v, "discovery", mustPollListOptions)
	if s.MustPollList {
		s.MaxPollInterval = v.duration("rules.ask_within_us", 1)
	}
	s.WeightIsSize = readOption(v, "weights", weightIsSizeOptions)
}

func readLoadReports(v *values, s *policy.Settings) {
	if v.byPath["report.how"] == reportsOff {
		return
	}
	for field := range strings.SplitSeq(v.byPath["report.fields"], ",") {
		switch field {
		case reportedUtilization:
			s.ReportsUtilization = true
		case reportedServiceTime:
			s.ReportsServiceTime = true
		}
	}
}

// readPermissions reads which actions the balancer may take, and their limits.
func readPermissions(v *values, s *policy.Settings) {
	s.RemovedMayServe = v.flag("rules.removal_not_binding")
	s.KeyAffinity = v.flag("family_info.warm_keys")
	s.MayHedge = v.flag("limits.may_duplicate")
	s.MayGossip = v.flag("limits.peer_messages")
	s.MayCheckHealth = v.flag("limits.probes")
	if v.has("report.how") {
		s.HealthChecksReport = readOption(v, "report.how", healthChecksReportOptions)
	}
	s.MayCancel = v.flag("limits.cancelling")
	s.MaySetRetryAfter = v.flag("limits.retry_after")
	if s.MaySetRetryAfter {
		s.MaxRetryAfter = v.duration("limits.max_retry_after_us", 0)
	}
	s.MaxAttempts = int(v.number("limits.try_limit", 1))
	s.SlowStartMinCapacity = v.number("rules.cold_from", 0)
	s.SlowStartWindow = v.duration("rules.warm_within_us", 0)
}
