package invariant

import (
	"cmp"
	"slices"

	"fawnglade/internal/lab/model"
)

// Derives what each process of a node knows about each endpoint: entries that were written to it; changes that it is
// presumed to know, because discovery had them for KnownWithin or because it did not poll in time; and, if its state is
// persisted, what its predecessor knew.

// persistDelay is how long before its end a process may receive entries that it no longer persists, nanoseconds.
const persistDelay = int64(100e6)

// failedPollFactor multiplies PollWithin after a failed poll.
const failedPollFactor = 4

// knownState is the state of an endpoint that a process knows from a time on.
type knownState struct {
	at    int64
	state model.State
}

// endpointKey identifies an endpoint as known to one process of a node.
type endpointKey struct{ node, incarnation, endpoint int }

// knownStates returns the states known to each process of each endpoint, in order of time.
func (c *checker) knownStates() map[endpointKey][]knownState {
	known := map[endpointKey][]knownState{}
	for _, e := range c.Entries {
		k := endpointKey{e.Node, e.Incarnation, e.Endpoint}
		known[k] = append(known[k], knownState{e.At, e.State})
	}
	for _, p := range c.Processes {
		presumed := c.presumedStates(p, known)
		c.addMissedPolls(p, known)
		for k, list := range presumed {
			known[k] = append(known[k], list...)
		}
	}
	for k, list := range known {
		slices.SortStableFunc(list, func(a, b knownState) int { return cmp.Compare(a.at, b.at) })
		known[k] = list
	}
	c.addPersisted(known)
	return known
}

// discoveryUnreachable returns the intervals in which a process could not reach discovery, sorted by start.
func (c *checker) discoveryUnreachable(p *Process) []Interval {
	spans := slices.Clone(p.Excused)
	for _, o := range c.Outages {
		if o.Node == AllNodes || o.Node == p.Node {
			spans = append(spans, o.Interval)
		}
	}
	slices.SortFunc(spans, func(a, b Interval) int { return cmp.Compare(a.From, b.From) })
	return spans
}

// presumedAt returns when a process is presumed to know a change that it did not receive: KnownWithin after discovery
// had it, if the process could reach discovery throughout that time, whether or not its calls succeeded. It returns
// Never if the process ends before.
func (c *checker) presumedAt(p *Process, unreachable []Interval, changed int64) int64 {
	within, from := c.rules.KnownWithin, max(changed, p.StartedAt)
	for _, s := range unreachable {
		if s.From < from+within && from < s.To {
			from = s.To // the limit starts anew once discovery is reachable again
		}
	}
	if within <= 0 || from == Never || from+within >= p.EndedAt {
		return Never
	}
	return from + within + c.rules.LinkDelay(from+within)
}

// presumedStates returns the states that a process is presumed to know from list changes. A change does not count if
// the process received it, or a later one of the same endpoint, in the meantime.
func (c *checker) presumedStates(p *Process, known map[endpointKey][]knownState) map[endpointKey][]knownState {
	presumed, unreachable := map[endpointKey][]knownState{}, c.discoveryUnreachable(p)
	for _, change := range c.ListChanges {
		at, k := c.presumedAt(p, unreachable, change.At), endpointKey{p.Node, p.Incarnation, change.Endpoint}
		received := slices.ContainsFunc(known[k], func(s knownState) bool { return s.at >= change.At && s.at < at })
		if at != Never && !received {
			presumed[k] = append(presumed[k], knownState{at, change.State})
		}
	}
	return presumed
}

// addMissedPolls adds, for a process that has neither watched nor polled for PollWithin, the list as it was PollWithin
// ago.
func (c *checker) addMissedPolls(p *Process, known map[endpointKey][]knownState) {
	if c.rules.PollWithin <= 0 {
		return
	}
	from, wait := p.StartedAt, c.rules.PollWithin
	addGap := func(until int64) {
		if from == Never { // the watch is still open
			return
		}
		for _, change := range c.ListChanges {
			if at := max(from, change.At) + wait; at < until {
				k := endpointKey{p.Node, p.Incarnation, change.Endpoint}
				known[k] = append(known[k], knownState{at, change.State})
			}
		}
	}
	for _, w := range c.watchesOf(p) {
		addGap(w.From)
		wait = c.rules.PollWithin
		if w.Failed {
			wait *= failedPollFactor
		}
		from = max(from, w.To)
	}
	addGap(p.EndedAt)
}

// watchesOf returns the watches and failed calls of a process, in order of time.
func (c *checker) watchesOf(p *Process) (watches []*Watch) {
	for _, w := range c.Watches {
		if w.Node == p.Node && w.Incarnation == p.Incarnation {
			watches = append(watches, w)
		}
	}
	slices.SortFunc(watches, func(a, b *Watch) int { return cmp.Compare(a.From, b.From) })
	return watches
}

// addPersisted adds the drains and removals that the predecessor of a process with persisted state knew at its end.
func (c *checker) addPersisted(known map[endpointKey][]knownState) {
	processes := slices.SortedFunc(slices.Values(c.Processes), func(a, b *Process) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i, p := range processes {
		if i == 0 || !p.Persistent || processes[i-1].Node != p.Node {
			continue
		}
		predecessor := processes[i-1]
		for endpoint := range c.endpointsListed() {
			last := knownState{state: model.Up}
			for _, s := range known[endpointKey{p.Node, predecessor.Incarnation, endpoint}] {
				if s.at <= predecessor.EndedAt-persistDelay {
					last = s
				}
			}
			if last.state != model.Up {
				k := endpointKey{p.Node, p.Incarnation, endpoint}
				known[k] = append([]knownState{{p.StartedAt, last.state}}, known[k]...)
			}
		}
	}
}

// endpointsListed returns the endpoints for which any node received an entry.
func (c *checker) endpointsListed() map[int]bool {
	all := map[int]bool{}
	for _, e := range c.Entries {
		all[e.Endpoint] = true
	}
	return all
}

// endpointStart identifies one start of an endpoint as known to one process of a node.
type endpointStart struct {
	node, incarnation, endpoint int
	startedAt                   int64
}

// findKnownStarts returns when each process knew each endpoint start, by a received entry or presumed.
func (c *checker) findKnownStarts() map[endpointStart]int64 {
	since := map[endpointStart]int64{}
	record := func(k endpointStart, at int64) {
		if previous, known := since[k]; !known || at < previous {
			since[k] = at
		}
	}
	for _, e := range c.Entries {
		record(endpointStart{e.Node, e.Incarnation, e.Endpoint, e.StartedAt}, e.At)
	}
	for _, p := range c.Processes {
		unreachable := c.discoveryUnreachable(p)
		for _, change := range c.ListChanges {
			if at := c.presumedAt(p, unreachable, change.At); at != Never && change.State == model.Up {
				record(endpointStart{p.Node, p.Incarnation, change.Endpoint, change.StartedAt}, at)
			}
		}
	}
	return since
}

// knewStart reports whether the node that sent the work knew the endpoint's start when the work arrived.
func (c *checker) knewStart(endpoint int, startedAt int64, a model.Arrival) bool {
	if c.knownStarts == nil {
		c.knownStarts = c.findKnownStarts()
	}
	at, known := c.knownStarts[endpointStart{a.Node, c.incarnationAt(a.Node, a.At), endpoint, startedAt}]
	return known && at <= a.At
}
