package settings

import (
	"fmt"
	"strings"
	"time"

	"fawnglade/policy"
)

// The names of the settings and of their values, mapped to the fields of Settings and policy.Settings. Operators and
// simulators write them, so they are fixed; an array of objects is PATH.count and PATH.0, PATH.1 and so on. Settings
// are read in the order in which errors are found.
//
//	profiles.N.name                Classes
//	profiles.N.deadline_us         Deadlines, microseconds
//	profiles.N.objective_us        Class.LatencyObjective, microseconds
//	profiles.N.worth               Class.PriorityWeight; 1 if missing
//	profiles.N.late_worth          Class.LateFraction, 0 to 1; 0 if missing
//	profiles.N.repeat              Class.Idempotency: safe, keyed (idempotent by key) or unsafe (non-idempotent)
//	profiles.N.group               Class.DedupGroup, where keyed: all (fleet), zone or cell (pod)
//	profiles.N.memory_span_us      Class.DedupWindow, where keyed, microseconds
//	parties.N.name                 Tenants
//	parties.N.portion              TenantShares, part of all requests
//	over_share_worth               OverQuotaFraction; 1 if missing
//	goal.worst_class               WorstClassWeight, 0 to 1; 1 if missing
//	value_by                       WeightByWork: work, or request (false)
//	zones                          Zones; the others refer to them by number
//	zone                           Zone, the node's
//	position, group_size           NodeIndex, NodeCount
//	limits.multiplex               StreamsPerConnection
//	quantum_us                     ClockResolution, microseconds
//	discovery                      MustPollList: ask, or push (false)
//	rules.ask_within_us            MaxPollInterval, where ask, microseconds
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
//	limits.max_retry_after_us      MaxRetryAfter, where that is set, microseconds
//	limits.try_limit               MaxAttempts
//	rules.cold_from                SlowStartMinCapacity, part of the full capacity
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
	// A weight that says how full an endpoint was a while ago is ignored: its load reports say it better.
	weightIsSizeOptions = []option[bool]{{"off", false}, {"nominal", true}, {"rough", true}, {"live", false}}
	// healthChecksReportOptions reports whether load reports come with health checks alone.
	healthChecksReportOptions = []option[bool]{{"inline", false}, {"on_probe", true}, {"off", false}}
)

const (
	reportsOff          = "off"
	reportedUtilization = "util"
	reportedServiceTime = "latency_ms"
)

// The deduplication window is taken for shorter by this part of it, at most by maxDedupMargin: an attempt is judged
// here and comes to its endpoint later.
const (
	dedupMarginDivisor = 16
	maxDedupMargin     = 50 * time.Millisecond
)

func decode(byPath map[string]string) (Settings, error) {
	v := &values{byPath: byPath}
	var all Settings
	all.readClasses(v)
	all.readTenants(v)
	readGoal(v, &all.Policy)
	readNode(v, &all.Policy)
	readEndpointList(v, &all.Policy)
	readLoadReports(v, &all.Policy)
	readPermissions(v, &all.Policy)
	if zones := byPath["zones"]; zones != "" {
		all.Zones = strings.Split(zones, ",")
	}
	// A simulator opens connections itself and may leave these out; a node checks that it has them.
	all.ConnectTimeout = v.durationOrZero("limits.connect_timeout_us")
	all.IdleTimeout = v.durationOrZero("limits.idle_close_us")
	all.DrainGrace = v.durationOrZero("rules.stop_sending_within_us")
	return all, v.err
}

func (all *Settings) readClasses(v *values) {
	for i := range v.count("profiles.count", 1) {
		at := fmt.Sprintf("profiles.%d.", i)
		all.Policy.Classes = append(all.Policy.Classes, readClass(v, at))
		all.Classes = append(all.Classes, v.byPath[at+"name"])
		all.Deadlines = append(all.Deadlines, v.duration(at+"deadline_us", 1))
	}
}

func readClass(v *values, at string) policy.Class {
	class := policy.Class{
		LatencyObjective: v.duration(at+"objective_us", 1),
		PriorityWeight:   v.numberOr(at+"worth", 1e-6, 1),
		LateFraction:     v.numberOr(at+"late_worth", 0, 0),
		Idempotency:      readOption(v, at+"repeat", idempotencyOptions),
	}
	if class.Idempotency == policy.IdempotentByKey {
		class.DedupGroup = readOption(v, at+"group", dedupGroupOptions)
		window := v.duration(at+"memory_span_us", 0)
		class.DedupWindow = window - min(window/dedupMarginDivisor, maxDedupMargin)
	}
	return class
}

func (all *Settings) readTenants(v *values) {
	if !v.has("parties.count") {
		return
	}
	for i := range v.count("parties.count", 0) {
		at := fmt.Sprintf("parties.%d.", i)
		all.Policy.TenantShares = append(all.Policy.TenantShares, v.number(at+"portion", 0))
		all.Tenants = append(all.Tenants, v.byPath[at+"name"])
	}
}

func readGoal(v *values, s *policy.Settings) {
	s.OverQuotaFraction = v.numberOr("over_share_worth", 0, 1)
	s.WorstClassWeight = v.numberOr("goal.worst_class", 0, 1)
	// Nothing reads these two, but a value that is not a number is an error.
	v.numberOr("goal.nines_part", 0, 0)
	v.numberOr("goal.top_nines", 0, 0)
	if v.has("value_by") {
		s.WeightByWork = readOption(v, "value_by", weightByWorkOptions)
	}
}

func readNode(v *values, s *policy.Settings) {
	s.Zone = int(v.numberOr("zone", 0, 0)) // a deployment may have no zones
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

// readPermissions reads what the decisions may do, and the bounds of it.
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
