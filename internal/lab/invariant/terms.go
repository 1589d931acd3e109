package invariant

// This file owns the judgement of the standing test's later terms: what counts as told in any case, attempts for clients that have
// gone, and how soon processes started again are ready. It must never go by what a node says of itself, but that it is ready.

import (
	"cmp"
	"fawnglade/internal/lab/model"
	"fmt"
	"math"
	"slices"
)

const (
	allowedAfterCancel = 2   // attempts for clients that had gone, in a day
	readyShare   = 0.9 // of the processes started again
)

// away is when a life could not reach discovery, in order.
func (j *checker) unreachable(n *Process) []Span {
	away := slices.Clone(n.Excused)
	for _, o := range j.Outages {
		if o.Node < 0 || o.Node == n.Node {
			away = append(away, o.Span)
		}
	}
	slices.SortFunc(away, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	return away
}

// anyway is from when a life is taken to know of a change that nobody told it: so long after discovery had it and the node could reach
// it for all of that time, whatever its calls came to. Never if that does not come.
func (j *checker) presumedAt(n *Process, away []Span, changed int64) int64 {
	within, from := j.rules.KnownWithin, max(changed, n.StartedAt)
	for _, s := range away {
		if s.From < from+within && from < s.To {
			from = s.To // from its return on all of the time is the node's again
		}
	}
	if within <= 0 || from == Never || from+within >= n.EndedAt {
		return Never
	}
	return from + within + j.rules.LinkDelay(from+within)
}

// toldAnyway is what a life is taken to know of all changes. One that it was told in the meantime, or a later one of the same server,
// is none.
func (j *checker) presumed(n *Process, words map[endpointKey][]knownState) map[endpointKey][]knownState {
	out, away := map[endpointKey][]knownState{}, j.unreachable(n)
	for _, c := range j.ListChanges {
		at, k := j.presumedAt(n, away, c.At), endpointKey{n.Node, n.Incarnation, c.Endpoint}
		if at != Never && !slices.ContainsFunc(words[k], func(w knownState) bool { return w.at >= c.At && w.at < at }) {
			out[k] = append(out[k], knownState{at, c.State})
		}
	}
	return out
}

// start is one start of a server, as one life of a node may know of it.
type endpointStart struct {
	node, life, server int
	started            int64
}

// startsKnown is from when each life knew of each start: told, or taken to be.
func (j *checker) findKnownStarts() map[endpointStart]int64 {
	since := map[endpointStart]int64{}
	know := func(k endpointStart, at int64) {
		if was, had := since[k]; !had || at < was {
			since[k] = at
		}
	}
	for _, t := range j.Entries {
		know(endpointStart{t.Node, t.Incarnation, t.Endpoint, t.StartedAt}, t.At)
	}
	for _, n := range j.Processes {
		away := j.unreachable(n)
		for _, c := range j.ListChanges {
			if at := j.presumedAt(n, away, c.At); at != Never && c.State == model.Up {
				know(endpointStart{n.Node, n.Incarnation, c.Endpoint, c.StartedAt}, at)
			}
		}
	}
	return since
}

// knew tells whether a push came from a node that knew of the server's start when it came.
func (j *checker) knewStart(server int, started int64, p model.Arrival) bool {
	if j.knownStarts == nil {
		j.knownStarts = j.findKnownStarts()
	}
	at, had := j.knownStarts[endpointStart{p.Node, j.incarnationAt(p.Node, p.At), server, started}]
	return had && at <= p.At
}

// forGone notes attempts that began too long after the client had closed its connection or cancelled.
func (j *checker) checkCanceled(t *Request) {
	if j.rules.CancelGrace <= 0 || t.CanceledAt == Never {
		return
	}
	// A node that stood still when the client went learns of it afterwards.
	left := max(t.CanceledAt, j.excused(processKey{t.Node, t.Incarnation}, t.CanceledAt, t.CanceledAt+j.rules.CancelGrace))
	if left == Never {
		return
	}
	list, first := j.attemptsOf(t)
	for n, h := range list {
		if h.Node == t.Node && h.FirstByteAt > left+j.rules.CancelGrace+j.linkSlack(h.FirstByteAt) {
			j.afterCancel = append(j.afterCancel, Violation{
				Rule: 1, What: fmt.Sprintf("sent to a server %.0f ms after its client had gone", float64(h.FirstByteAt-left)/1e6),
				Request: t.ID, Attempt: first + n, Endpoint: h.Endpoint, Node: h.Node, At: h.FirstByteAt,
			})
		}
	}
}

// gone breaks a day with the third attempt for a client that had gone, and each after it.
func (j *checker) reportCanceled() {
	slices.SortStableFunc(j.afterCancel, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	if len(j.afterCancel) > allowedAfterCancel {
		j.violations = append(j.violations, j.afterCancel[allowedAfterCancel:]...)
	}
}

// readiness judges how many of the processes started again were ready in time. Those that the day ended before, and those that the
// day's own end leaves too little time, are not counted.
func (j *checker) checkReadiness() {
	if j.rules.ReadyWithin <= 0 {
		return
	}
	first := map[int]int{}
	for _, n := range j.Processes {
		if life, had := first[n.Node]; !had || n.Incarnation < life {
			first[n.Node] = n.Incarnation
		}
	}
	again, inTime, last := 0, 0, Violation{}
	for _, n := range j.Processes {
		within := j.rules.ReadyWithin
		if n.StartedAt+within > j.rules.End {
			within = j.rules.ReadyWithinAtEnd
		}
		due := n.StartedAt + within
		if due += j.slack(due); n.Incarnation == first[n.Node] || n.StartedAt+within > j.rules.End || n.ReadyAt > due && n.EndedAt < due {
			continue
		}
		if again++; n.ReadyAt <= due {
			inTime++
		} else if last.At <= due {
			last = Violation{Rule: 5, Attempt: -1, Endpoint: -1, Node: n.Node, At: due}
		}
	}
	if float64(inTime) < readyShare*float64(again) {
		last.What = fmt.Sprintf("%d of %d processes started again were ready in time, expected %.1f of them", inTime, again, readyShare)
		j.report(last)
	}
}

// Peak is the most that a cold server got within a window over its budget of N requests of mean work: Over is in roots of N. The
// standing test puts 2 x root of N + 2 down to chance.
type Peak struct {
	Endpoint      int
	At          int64
	Load, Budget float64 // requests of mean work
	Excess, KnownShare  float64 // Told: the part of it that came from nodes that had been told of the start
}

// toldShare of a window from which on its nodes are answerable for a fall.
const crashKnownShare = 2.0 / 3

// Peaks are the worst of each life that began cold: of all that came to it, and of the moments at which over two thirds came from
// nodes that had been told of its start. Lives that had no such moment are not among the second.
func (l *History) Peaks(rules Rules) (all, told []Peak) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := &checker{History: l, rules: rules.withDefaults()}
	for _, c := range l.SlowStarts {
		var worst, worstTold Peak
		knew := make([]bool, len(c.Arrivals))
		got, known, from := 0.0, 0.0, 0
		for i, p := range c.Arrivals {
			if knew[i] = j.knewStart(c.Endpoint, c.StartedAt, p); knew[i] {
				known += p.Work
			}
			for got += p.Work; c.Arrivals[from].At <= p.At-c.Window; from++ {
				if got -= c.Arrivals[from].Work; knew[from] {
					known -= c.Arrivals[from].Work
				}
			}
			one := Peak{Endpoint: c.Endpoint, At: p.At, Load: got / c.MeanWork, Budget: p.Budget / c.MeanWork, KnownShare: known / max(got, 1e-12)}
			one.Excess = (one.Load - one.Budget) / math.Sqrt(one.Budget)
			if worst.Budget == 0 || one.Excess > worst.Excess {
				worst = one
			}
			if one.KnownShare > crashKnownShare && (worstTold.Budget == 0 || one.Excess > worstTold.Excess) {
				worstTold = one
			}
		}
		if all = append(all, worst); worstTold.Budget > 0 {
			told = append(told, worstTold)
		}
	}
	return all, told
}
