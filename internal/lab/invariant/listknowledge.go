package invariant

import (
	"cmp"
	"slices"

	"fawnglade/internal/lab/model"
)

// What a process of a node knows of each endpoint: entries that were written to it; changes that it is presumed to know,
// as discovery had them long enough or as it did not poll in time; and, where its state is persisted, what its
// predecessor knew.

// persistDelay is how long before its end a process may receive what is not yet persisted.
const persistDelay = int64(100e6)

// failedPollFactor is how many times as long a process has for its next poll after one that failed.
const failedPollFactor = 4

// knownState is what a process knows of an endpoint from a moment on.
type knownState struct {
	at    int64
	state model.State
}

// endpointKey is an endpoint as one process of a node knows it.
type endpointKey struct{ node, incarnation, endpoint int }

// knownStates returns, for each process and endpoint, what was known in order of time.
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

// unreachable is when a process could not reach discovery, in order.
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

// presumedAt is from when a process is presumed to know of a change that it did not receive: KnownWithin after discovery
// had it, if the process could reach discovery for all of that time, whatever its calls came to. Never if that does not
// come.
func (c *checker) presumedAt(p *Process, unreachable []Interval, changed int64) int64 {
	within, from := c.rules.KnownWithin, max(changed, p.StartedAt)
	for _, s := range unreachable {
		if s.From < from+within && from < s.To {
			from = s.To // the process has all of the time again once discovery is back
		}
	}
	if within <= 0 || from == Never || from+within >= p.EndedAt {
		return Never
	}
	return from + within + c.rules.LinkDelay(from+within)
}

// presumed returns what a process is presumed to know of all changes. A change does not count if the process received
// it, or a later one of the same endpoint, in the meantime.
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

// addMissedPolls adds the list as it was PollWithin before, from when a process has neither watched nor polled for so
// long.
func (c *checker) addMissedPolls(p *Process, known map[endpointKey][]knownState) {
	if c.rules.PollWithin <= 0 {
		return
	}
	from, wait := p.StartedAt, c.rules.PollWithin
	addGap := func(until int64) {
		if from == Never { // it still watches
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

// addPersisted gives a process with persisted state the drains and removals that its predecessor knew at its end.
func (c *checker) addPersisted(known map[endpointKey][]knownState) {
	processes := slices.SortedFunc(slices.Values(c.Processes), func(a, b *Process) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for i, p := range processes {
		if i == 0 || !p.Persistent || processes[i-1].Node != p.Node {
			continue
		}
		before := processes[i-1]
		for endpoint := range c.endpointsListed() {
			last := knownState{state: model.Up}
			for _, s := range known[endpointKey{p.Node, before.Incarnation, endpoint}] {
				if s.at <= before.EndedAt-persistDelay {
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

// endpointsListed returns the endpoints of which any node received an entry.
func (c *checker) endpointsListed() map[int]bool {
	all := map[int]bool{}
	for _, e := range c.Entries {
		all[e.Endpoint] = true
	}
	return all
}

// endpointStart is one start of an endpoint, as one process of a node may know of it.
type endpointStart struct {
	node, incarnation, endpoint int
	startedAt                   int64
}

// findKnownStarts returns from when each process knew of each start: received, or presumed to be known.
func (c *checker) findKnownStarts() map[endpointStart]int64 {
	since := map[endpointStart]int64{}
	know := func(k endpointStart, at int64) {
		if was, had := since[k]; !had || at < was {
			since[k] = at
		}
	}
	for _, e := range c.Entries {
		know(endpointStart{e.Node, e.Incarnation, e.Endpoint, e.StartedAt}, e.At)
	}
	for _, p := range c.Processes {
		unreachable := c.discoveryUnreachable(p)
		for _, change := range c.ListChanges {
			if at := c.presumedAt(p, unreachable, change.At); at != Never && change.State == model.Up {
				know(endpointStart{p.Node, p.Incarnation, change.Endpoint, change.StartedAt}, at)
			}
		}
	}
	return since
}

// knewStart tells whether work came from a node that knew of the endpoint's start when it came.
func (c *checker) knewStart(endpoint int, startedAt int64, a model.Arrival) bool {
	if c.knownStarts == nil {
		c.knownStarts = c.findKnownStarts()
	}
	at, had := c.knownStarts[endpointStart{a.Node, c.incarnationAt(a.Node, a.At), endpoint, startedAt}]
	return had && at <= a.At
}
