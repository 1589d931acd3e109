package distsim

import (
	"context"
	"fmt"
	"time"
)

const (
	changeInterval   = 20 * time.Millisecond // interval at which changes are sent to the origin
	restartTime      = time.Second           // after which a draining endpoint is active again
	replacementTime  = 3 * time.Second       // after which a removed endpoint is replaced
	afterZoneLoss    = 5 * time.Second
	completePoll     = 50 * time.Millisecond
	completeTimeouts = 3 // timeout for nodes to become complete, in multiples of Size.SettleTimeout
	// emptyRelayTime is long enough for nodes to connect to a relay without records, and short enough that the relay
	// does not leave its frozen upstream.
	emptyRelayTime = 1200 * time.Millisecond
)

// phase is one phase of a run.
type phase struct {
	name    string
	execute func(ctx context.Context, figures *Phase) error
}

func (r *run) phases() []phase {
	phases := []phase{
		{"relays fill, from nothing", r.fillRelays},
		{"all nodes start at once, from nothing", func(ctx context.Context, figures *Phase) error {
			return r.startNodes(ctx, figures, r.nodes.all)
		}},
		{"a true day's pace", func(ctx context.Context, _ *Phase) error {
			return r.makeChanges(ctx, 1, r.size.OrdinaryTime)
		}},
		{fmt.Sprintf("a day at %g times", r.size.Speedup), func(ctx context.Context, _ *Phase) error {
			return r.makeFastChanges(ctx, r.size.PhaseTime)
		}},
		{fmt.Sprintf("%d of a zone go", r.size.ZoneLoss), r.loseZone},
	}
	phases = append(phases, r.relayFaults()...)
	return append(phases,
		phase{"a region's nodes start at once, from nothing", func(ctx context.Context, figures *Phase) error {
			return r.startNodes(ctx, figures, r.nodesOfFirstRegion())
		}},
		phase{"all lose their connection at once", r.reconnectAll},
	)
}

// relayFaults returns the phases in which relays fail while changes are made.
func (r *run) relayFaults() []phase {
	groups := r.size.relayGroups()
	first, second := r.processes.lower[0], r.processes.lower[groups] // of the same group
	other := r.processes.lower[1%groups]                             // of another group, whose relays all run
	upper := r.processes.upper[0]
	return []phase{
		{"a relay is killed", r.duringChanges(
			func() error { first.kill(); return nil },
			func(context.Context) error { return nil })},
		{"a relay anew with nothing, another killed", r.duringChanges(
			func() error { return r.startEmptyRelay(first, second) },
			func(context.Context) error { return r.processes.start(second) })},
		{"a relay is frozen, and thawed", r.duringChanges(
			func() error { other.freeze(); return nil },
			func(ctx context.Context) error {
				other.thaw()
				return r.makeFastChanges(ctx, r.size.PhaseTime/5)
			})},
		{"an upper relay is killed", r.duringChanges(
			func() error { upper.kill(); return nil },
			func(context.Context) error { return r.processes.start(upper) })},
	}
}

// duringChanges returns a phase that makes changes, begins a fault after a fifth of PhaseTime, and ends it at the end.
func (r *run) duringChanges(begin func() error, end func(context.Context) error) func(context.Context, *Phase) error {
	return func(ctx context.Context, _ *Phase) error {
		if err := r.makeFastChanges(ctx, r.size.PhaseTime/5); err != nil {
			return err
		}
		if err := begin(); err != nil {
			return err
		}
		if err := r.makeFastChanges(ctx, r.size.PhaseTime*4/5); err != nil {
			return err
		}
		return end(ctx)
	}
}

// startEmptyRelay starts one relay and kills another, so that nodes connect to the first while it has no records. The
// upper relays are frozen for emptyRelayTime to keep it empty.
func (r *run) startEmptyRelay(empty, killed *relayProcess) error {
	for _, upper := range r.processes.upper {
		upper.freeze()
		defer upper.thaw()
	}
	err := r.processes.start(empty)
	killed.kill()
	time.Sleep(emptyRelayTime)
	return err
}

func (r *run) nodesOfFirstRegion() []*hollowNode {
	var nodes []*hollowNode
	for _, h := range r.nodes.all {
		if h.index%r.size.Regions == 0 {
			nodes = append(nodes, h)
		}
	}
	return nodes
}

func (r *run) reconnectAll(ctx context.Context, _ *Phase) error {
	forEachNode(r.nodes.all, (*hollowNode).stop)
	for _, h := range r.nodes.all {
		h.connect()
	}
	return r.makeFastChanges(ctx, r.size.PhaseTime/3)
}

// send records changes as sent, and sends them to the origin.
func (r *run) send(changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	now := r.nodes.now()
	for _, c := range changes {
		r.recordSent(c, now)
	}
	_, err := r.processes.send(changes)
	return err
}

func (r *run) recordSent(c Change, at int64) {
	for len(r.changes) <= c.number {
		r.changes = append(r.changes, sentChange{})
	}
	r.changes[c.number] = sentChange{c, at}
}

// restoration is an endpoint to restore at a given time.
type restoration struct {
	at       time.Time
	endpoint int
}

// changeSource draws changes at the rate of an ordinary day times a speedup.
type changeSource struct {
	expected *expectedState
	kinds    []changeKind
	due      []restoration
	last     time.Time
}

// changeKind is one kind of change. accrued is the fractional number of changes due; a change is made for each whole
// one.
type changeKind struct {
	perSecond float64
	accrued   float64
	make      func(now time.Time) Change
}

func (r *run) newChangeSource(speedup float64, now time.Time) *changeSource {
	s := &changeSource{expected: r.expected, last: now}
	restoreAfter := func(c Change, at time.Time) Change {
		s.due = append(s.due, restoration{at, c.endpoint})
		return c
	}
	s.kinds = []changeKind{
		{configurationChangesPerDay / daySeconds * speedup, 0, func(time.Time) Change { return s.expected.configure() }},
		{restartsPerDay / daySeconds * speedup, 0, func(now time.Time) Change {
			return restoreAfter(s.expected.drainRandom(), now.Add(restartTime))
		}},
		{failuresPerDay / daySeconds * speedup, 0, func(now time.Time) Change {
			return restoreAfter(s.expected.removeRandom(), now.Add(replacementTime))
		}},
	}
	return s
}

// draw returns the changes that have become due since s.last.
func (s *changeSource) draw(now time.Time) []Change {
	var changes []Change
	elapsed := now.Sub(s.last).Seconds()
	for i := range s.kinds {
		kind := &s.kinds[i]
		kind.accrued += kind.perSecond * elapsed
		for ; kind.accrued >= 1; kind.accrued-- {
			changes = append(changes, kind.make(now))
		}
	}
	return changes
}

// restoreDue returns the changes that restore the endpoints whose time has come.
func (s *changeSource) restoreDue(now time.Time) []Change {
	var changes []Change
	var later []restoration
	for _, d := range s.due {
		if d.at.After(now) {
			later = append(later, d)
		} else {
			changes = append(changes, s.expected.restore(d.endpoint))
		}
	}
	s.due = later
	return changes
}

func (r *run) makeFastChanges(ctx context.Context, duration time.Duration) error {
	return r.makeChanges(ctx, r.size.Speedup, duration)
}

// makeChanges makes changes for a duration, and then continues until all endpoints are restored.
func (r *run) makeChanges(ctx context.Context, speedup float64, duration time.Duration) error {
	now := time.Now()
	end := now.Add(duration)
	source := r.newChangeSource(speedup, now)
	tick := time.NewTicker(changeInterval)
	defer tick.Stop()
	for now.Before(end) || len(source.due) > 0 {
		select {
		case now = <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		var changes []Change
		if now.Before(end) {
			changes = source.draw(now)
		}
		source.last = now
		if err := r.send(append(changes, source.restoreDue(now)...)); err != nil {
			return err
		}
	}
	return nil
}

// loseZone removes the endpoints of one zone in one step, up to Size.ZoneLoss.
func (r *run) loseZone(ctx context.Context, _ *Phase) error {
	if err := r.send(r.expected.removeZone(int(r.size.Seed)%r.size.Zones, r.size.ZoneLoss)); err != nil {
		return err
	}
	return sleep(ctx, afterZoneLoss)
}

// sleep waits for a duration. It returns early with an error if the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fillRelays waits until every lower relay has its records. To detect that, it connects a hollow node with a few scopes
// to each of them and waits until these nodes are complete.
func (r *run) fillRelays(ctx context.Context, figures *Phase) error {
	size := r.size
	size.ServicesPerNode = 1
	var probes []*hollowNode
	from := r.nodes.now()
	for i, p := range r.processes.lower {
		probe := &hollowNode{index: 2 * (i % size.relayGroups()), nodes: &hollowNodes{
			size: size, startedAt: r.startedAt, log: r.nodes.log, upstreams: func(int) []string { return []string{p.address} },
		}}
		probe.start()
		defer probe.stop()
		probes = append(probes, probe)
	}
	return r.waitUntilComplete(ctx, figures, probes, from)
}

// startNodes starts nodes without records, all at once, and waits until each has been complete once.
func (r *run) startNodes(ctx context.Context, figures *Phase, nodes []*hollowNode) error {
	forEachNode(nodes, (*hollowNode).stop)
	from := r.nodes.now()
	forEachNode(nodes, (*hollowNode).start)
	r.started = true
	return r.waitUntilComplete(ctx, figures, nodes, from)
}

// waitUntilComplete waits until all nodes have been complete once, or until the timeout. Incomplete nodes are no error
// here; the verdict reports them.
func (r *run) waitUntilComplete(ctx context.Context, figures *Phase, nodes []*hollowNode, from int64) error {
	timeout := int64(completeTimeouts * r.size.SettleTimeout)
	for {
		complete := completeTimes(nodes, from)
		if len(complete) == len(nodes) || r.nodes.now()-from > timeout {
			figures.Complete = delaysOf(complete, len(nodes))
			return nil
		}
		if err := sleep(ctx, completePoll); err != nil {
			return err
		}
	}
}

// completeTimes returns the seconds from the given time until each complete node became complete.
func completeTimes(nodes []*hollowNode, from int64) []float64 {
	var times []float64
	for _, h := range nodes {
		h.mu.Lock()
		if h.completeAt > 0 {
			times = append(times, float64(h.completeAt-from)/1e9)
		}
		h.mu.Unlock()
	}
	return times
}
