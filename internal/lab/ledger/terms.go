package ledger

// This file owns the judgement of the standing test's later terms: what counts as told in any case, attempts for clients that have
// gone, and how soon processes started again are ready. It must never go by what a node says of itself, but that it is ready.

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	goneLetPass = 2   // attempts for clients that had gone, in a day
	readyPart   = 0.9 // of the processes started again
)

// toldAnyway is what a life is taken to know of changes that nobody told it: each so long after discovery had it and the node could
// reach it for all of that time, whatever its calls came to. A change that it was told in the meantime, or a later one of the same
// server, is none.
func (j *judge) toldAnyway(n *NodeLife, words map[wordKey][]word) map[wordKey][]word {
	within := j.rules.ToldWithin
	if within <= 0 {
		return nil
	}
	away := slices.Clone(n.Excused)
	for _, o := range j.Outages {
		if o.Node < 0 || o.Node == n.Node {
			away = append(away, o.Span)
		}
	}
	slices.SortFunc(away, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	out := map[wordKey][]word{}
	for _, c := range j.Listings {
		from := max(c.At, n.From)
		for _, s := range away {
			if s.From < from+within && from < s.To {
				from = s.To // from its return on all of the time is the node's again
			}
		}
		if from == Never || from+within >= n.Until {
			continue
		}
		at, k := from+within, wordKey{n.Node, n.Life, c.Server}
		at += j.rules.OnWay(at)
		if !slices.ContainsFunc(words[k], func(w word) bool { return w.at >= c.At && w.at < at }) {
			out[k] = append(out[k], word{at, c.Health})
		}
	}
	return out
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
			j.afterGone = append(j.afterGone, Break{Rule: 1, What: fmt.Sprintf("sent to a server %.0f ms after its client had gone", float64(h.First-left)/1e6),
				Task: t.ID, HandOff: first + n, Server: h.Server, Node: h.Node, At: h.First})
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
			last = Break{Rule: 5, HandOff: -1, Server: -1, Node: n.Node, At: due}
		}
	}
	if float64(inTime) < readyPart*float64(again) {
		last.What = fmt.Sprintf("%d of %d processes started again were ready in time, expected %.1f of them", inTime, again, readyPart)
		j.broken(last)
	}
}
