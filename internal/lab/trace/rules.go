package trace

import (
	"slices"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// What the rule checker needs to know of a scenario.

// The standing test's limits, which hold whatever the settings of a scenario allow.
const (
	knownWithin      = 6 * time.Second
	cancelGrace      = 100 * time.Millisecond
	readyWithin      = 10 * time.Second
	readyWithinAtEnd = 6 * time.Second
)

// excusedAfterReconnect is for how long after its link to clients is back a node need not answer.
const excusedAfterReconnect = int64(time.Second)

var (
	idempotencies = map[string]invariant.Idempotency{
		scenario.Idempotent: invariant.Idempotent, scenario.IdempotentByKey: invariant.IdempotentByKey, scenario.NonIdempotent: invariant.NonIdempotent,
	}
	dedupGroups = map[string]invariant.DedupGroup{
		"fleet": invariant.DedupFleet, "zone": invariant.DedupZone, "pod": invariant.DedupPod,
	}
)

// Classes returns a scenario's classes for the rule checker.
func Classes(s *scenario.Scenario) (classes []invariant.Class) {
	for i := range s.Classes {
		c := &s.Classes[i]
		idempotency, group := IdempotencyOf(c)
		classes = append(classes, invariant.Class{
			Name: c.Name, Idempotency: idempotency, DedupGroup: group, DedupWindow: int64(c.DedupWindow),
		})
	}
	return classes
}

// IdempotencyOf tells what running a request of a class twice does, and which endpoints drop a repeat.
func IdempotencyOf(c *scenario.Class) (invariant.Idempotency, invariant.DedupGroup) {
	return idempotencies[c.Idempotency], dedupGroups[c.DedupGroup]
}

// RulesOf returns the limits of a run that begins at startedAt. They are longer by slack, by how late the lab ran, and by
// what the run's faults delayed on links.
func RulesOf(
	s *scenario.Scenario, faults *netfault.Schedule, startedAt, slack int64, lag func(int64) int64,
) invariant.Rules {
	r := &s.Rules
	rules := invariant.Rules{
		StopSendingWithin: int64(r.StopSending), AnswerGrace: int64(r.AnswerGrace),
		KnownWithin: int64(knownWithin), CancelGrace: int64(cancelGrace),
		ReadyWithin: int64(readyWithin), ReadyWithinAtEnd: int64(readyWithinAtEnd), End: startedAt + int64(s.Length),
		MayHedge: r.MayHedge, ListGossip: s.Nodes.ListGossip, Slack: slack, Lag: lag,
	}
	if s.Discovery.MustPoll {
		rules.PollWithin = int64(r.PollWithin)
	}
	if len(faults.Changes()) == 0 {
		return rules
	}
	rules.Lag = func(at int64) int64 {
		by := faults.MaxDelay(at, netfault.Client, netfault.Node)
		if lag != nil {
			by += lag(at)
		}
		return by
	}
	rules.LinkDelay = func(at int64) int64 {
		return faults.MaxDelay(at, netfault.Node, netfault.Endpoint) +
			faults.MaxDelay(at, netfault.Node, netfault.Discovery)
	}
	return rules
}

// ExcuseCutLinks tells the history of links that the run cut: a node without its link to clients need not answer, one
// without its link to discovery cannot learn of changes.
func ExcuseCutLinks(s *scenario.Scenario, p *workload.Plan, h *invariant.History) {
	for i := range p.Faults {
		fault, ok := s.LinkFault(&p.Faults[i].Fault)
		if !ok || fault.Kind != netfault.Cut {
			continue
		}
		nodes := endsOf(&fault, netfault.Node)
		if len(endsOf(&fault, netfault.Discovery)) > 0 {
			for _, node := range nodes {
				span := invariant.Interval{From: fault.Begin, To: fault.End}
				h.Outages = append(h.Outages, &invariant.Outage{Node: node, Interval: span})
			}
		}
		if len(endsOf(&fault, netfault.Client)) == 0 {
			continue
		}
		for _, process := range h.Processes {
			if slices.Contains(nodes, process.Node) {
				span := invariant.Interval{From: fault.Begin, To: fault.End + excusedAfterReconnect}
				process.Excused = append(process.Excused, span)
			}
		}
	}
}

// endsOf returns the indexes of the ends of one kind that a fault names, on either side.
func endsOf(f *netfault.Fault, kind netfault.EndKind) (indexes []int) {
	for _, e := range slices.Concat(f.From, f.To) {
		if e.Kind == kind {
			indexes = append(indexes, e.Index)
		}
	}
	return indexes
}
