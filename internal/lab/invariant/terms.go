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
	goneLetPass = 2   // attempts for clients that had gone, in a day
	readyPart   = 0.9 // of the processes started again
)

// away is when a life could not reach discovery, in order.
func (j *judge) away(n *NodeLife) []Span {
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
func (j *judge) anyway(n *NodeLife, away []Span, changed int64) int64 {
	within, from := j.rules.ToldWithin, max(changed, n.From)
	for _, s := range away {
		if s.From < from+within && from < s.To {
			from = s.To // from its return on all of the time is the node's again
		}
	}
	if within <= 0 || from == Never || from+within >= n.Until {
		return Never
	}
	return from + within + j.rules.OnWay(from+within)
}

// toldAnyway is what a life is taken to know of all changes. One that it was told in the meantime, or a later one of the same server,
// is none.
func (j *judge) toldAnyway(n *NodeLife, words map[wordKey][]word) map[wordKey][]word {
	out, away := map[wordKey][]word{}, j.away(n)
	for _, c := range j.Listings {
		at, k := j.anyway(n, away, c.At), wordKey{n.Node, n.Life, c.Server}
		if at != Never && !slices.ContainsFunc(words[k], func(w word) bool { return w.at >= c.At && w.at < at }) {
			out[k] = append(out[k], word{at, c.Health})
		}
	}
	return out
}

// start is one start of a server, as one life of a node may know of it.
type start struct {
	node, life, server int
	started            int64
}

// startsKnown is from when each life knew of each start: told, or taken to be.
func (j *judge) startsKnown() map[start]int64 {
	since := map[start]int64{}
	know := func(k start, at int64) {
		if was, had := since[k]; !had || at < was {
			since[k] = at
		}
	}
	for _, t := range j.Told {
		know(start{t.Node, t.Life, t.Server, t.Started}, t.At)
	}
	for _, n := range j.Lives {
		away := j.away(n)
		for _, c := range j.Listings {
			if at := j.anyway(n, away, c.At); at != Never && c.Health == model.Up {
				know(start{n.Node, n.Life, c.Server, c.Started}, at)
			}
		}
	}
	return since
}

// knew tells whether a push came from a node that knew of the server's start when it came.
func (j *judge) knew(server int, started int64, p model.Push) bool {
	if j.starts == nil {
		j.starts = j.startsKnown()
	}
	at, had := j.starts[start{p.Node, j.lifeAt(p.Node, p.At), server, started}]
	return had && at <= p.At
}

// forGone notes attempts that began too long after the client had closed its connection or cancelled.
func (j *judge) forGone(t *Try) {
	if j.rules.GoneWithin <= 0 || t.Left == Never {
		return
	}
	// A node that stood still when the client went learns of it afterwards.
	left := max(t.Left, j.excused(lifeKey{t.Node, t.Life}, t.Left, t.Left+j.rules.GoneWithin))
	if left == Never {
		return
	}
	list, first := j.handOffsOf(t)
	for n, h := range list {
		if h.Node == t.Node && h.First > left+j.rules.GoneWithin+j.waySlack(h.First) {
			j.afterGone = append(j.afterGone, Break{
				Rule: 1, What: fmt.Sprintf("sent to a server %.0f ms after its client had gone", float64(h.First-left)/1e6),
				Task: t.ID, Attempt: first + n, Server: h.Server, Node: h.Node, At: h.First,
			})
		}
	}
}

// gone breaks a day with the third attempt for a client that had gone, and each after it.
func (j *judge) gone() {
	slices.SortStableFunc(j.afterGone, func(a, b Break) int { return cmp.Compare(a.At, b.At) })
	if len(j.afterGone) > goneLetPass {
		j.breaks = append(j.breaks, j.afterGone[goneLetPass:]...)
	}
}

// readiness judges how many of the processes started again were ready in time. Those that the day ended before, and those that the
// day's own end leaves too little time, are not counted.
func (j *judge) readiness() {
	if j.rules.ReadyWithin <= 0 {
		return
	}
	first := map[int]int{}
	for _, n := range j.Lives {
		if life, had := first[n.Node]; !had || n.Life < life {
			first[n.Node] = n.Life
		}
	}
	again, inTime, last := 0, 0, Break{}
	for _, n := range j.Lives {
		within := j.rules.ReadyWithin
		if n.From+within > j.rules.End {
			within = j.rules.ReadyShort
		}
		due := n.From + within
		if due += j.slack(due); n.Life == first[n.Node] || n.From+within > j.rules.End || n.Ready > due && n.Until < due {
			continue
		}
		if again++; n.Ready <= due {
			inTime++
		} else if last.At <= due {
			last = Break{Rule: 5, Attempt: -1, Server: -1, Node: n.Node, At: due}
		}
	}
	if float64(inTime) < readyPart*float64(again) {
		last.What = fmt.Sprintf("%d of %d processes started again were ready in time, expected %.1f of them", inTime, again, readyPart)
		j.broken(last)
	}
}

// Peak is the most that a cold server got within a window over its budget of N requests of mean work: Over is in roots of N. The
// standing test puts 2 x root of N + 2 down to chance.
type Peak struct {
	Server      int
	At          int64
	Got, Budget float64 // requests of mean work
	Over, Told  float64 // Told: the part of it that came from nodes that had been told of the start
}

// toldShare of a window from which on its nodes are answerable for a fall.
const toldShare = 2.0 / 3

// Peaks are the worst of each life that began cold: of all that came to it, and of the moments at which over two thirds came from
// nodes that had been told of its start. Lives that had no such moment are not among the second.
func (l *Ledger) Peaks(rules Rules) (all, told []Peak) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := &judge{Ledger: l, rules: rules.filled()}
	for _, c := range l.Colds {
		var worst, worstTold Peak
		knew := make([]bool, len(c.Pushes))
		got, known, from := 0.0, 0.0, 0
		for i, p := range c.Pushes {
			if knew[i] = j.knew(c.Server, c.Started, p); knew[i] {
				known += p.Work
			}
			for got += p.Work; c.Pushes[from].At <= p.At-c.Window; from++ {
				if got -= c.Pushes[from].Work; knew[from] {
					known -= c.Pushes[from].Work
				}
			}
			one := Peak{Server: c.Server, At: p.At, Got: got / c.MeanWork, Budget: p.Budget / c.MeanWork, Told: known / max(got, 1e-12)}
			one.Over = (one.Got - one.Budget) / math.Sqrt(one.Budget)
			if worst.Budget == 0 || one.Over > worst.Over {
				worst = one
			}
			if one.Told > toldShare && (worstTold.Budget == 0 || one.Over > worstTold.Over) {
				worstTold = one
			}
		}
		if all = append(all, worst); worstTold.Budget > 0 {
			told = append(told, worstTold)
		}
	}
	return all, told
}
