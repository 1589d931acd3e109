// Package classdelay measures by how much longer than others the requests of one class, or of one tenant, wait wherever
// they are sent, for example for a dependency of their own. Times are in nanoseconds; moments are of the caller's
// clock.
package classdelay

import "math"

const (
	// samplesKept is how many answers of a group count: all have to be late for a delay to be seen, since a single late
	// answer may be its endpoint's.
	samplesKept = 3
	// freshWindowNanos is for how long the last answers of a group are compared with those of others.
	freshWindowNanos = int64(4e9)
	// minDelayFraction is the part of the shortest latency objective up to which a delay is ignored.
	minDelayFraction = 0.25
	// latencyWindow is the number of answers over which a group's unloaded latency is averaged.
	latencyWindow = 8
)

// The two kinds of groups.
const (
	byClass = iota
	byTenant
	numberOfKinds
)

// answer is how late one attempt was; sentAt identifies the attempt.
type latenessSample struct {
	sentAt   int64
	lateness float64 // infinite while it is overdue
}

// group is the requests of one class or of one tenant.
type group struct {
	samples         [samplesKept]latenessSample
	nextSample      int     // of answers, to be replaced
	minLateness     float64 // the least of answers: it rises once all are late, and falls with one in time
	unloadedLatency float64 // exponentially weighted average of the latency with nothing else at the endpoint

	lastSampleAt       int64
	givenUpSinceSample int // requests given up since

	inFlight       int
	idleChangedAt  int64 // when inFlight became or ceased to be 0
	lastTrialNanos int64 // for how long something was in flight before idleChangedAt
}

// add takes in an attempt, or the late answer of one that was taken in as overdue.
func (g *group) addSample(now, sentAt int64, late float64) {
	at := g.nextSample
	for i := range g.samples {
		if g.samples[i].sentAt == sentAt && math.IsInf(g.samples[i].lateness, 1) {
			at = i
		}
	}
	if at == g.nextSample {
		g.nextSample = (g.nextSample + 1) % samplesKept
	}
	g.samples[at] = latenessSample{sentAt: sentAt, lateness: max(late, 0)}
	g.lastSampleAt = now
	g.givenUpSinceSample = 0
	g.minLateness = math.Inf(1)
	for _, a := range g.samples {
		g.minLateness = min(g.minLateness, a.lateness)
	}
}

// isComparable reports whether other groups are compared with a group now: it had an answer lately, or its requests are
// given up. Guards against a group that is in time but not admitted dropping out, so that only late ones are left to
// compare with.
func (g *group) isComparable(now int64) bool {
	return now-g.lastSampleAt < freshWindowNanos || g.givenUpSinceSample >= samplesKept
}

// Tracker holds the groups of one instance. It is not safe for concurrent use.
type Tracker struct {
	groups   [numberOfKinds][]group
	minDelay float64
}

// New returns a tracker that has seen no answer.
func New(classes, tenants int) *Tracker {
	return &Tracker{
		groups: [numberOfKinds][]group{
			byClass:  make([]group, max(classes, 1)),
			byTenant: make([]group, max(tenants, 1)),
		},
		minDelay: math.Inf(1),
	}
}

// AddObjective takes in the latency objective of a class.
func (t *Tracker) AddObjective(objective int64) {
	t.minDelay = min(t.minDelay, minDelayFraction*float64(objective))
}

// RequestGroups is the two groups that a request belongs to.
type RequestGroups struct {
	tracker *Tracker
	groups  [numberOfKinds]*group
}

// Of returns the groups of a request; tenants beyond the known ones share the last group.
func (t *Tracker) GroupsOf(class, tenant int) RequestGroups {
	tenants := t.groups[byTenant]
	return RequestGroups{t, [numberOfKinds]*group{
		byClass:  &t.groups[byClass][class],
		byTenant: &tenants[min(tenant, len(tenants)-1)],
	}}
}

// delays returns by how much each group is later than the group of its kind that is the least late, whose lateness is
// first scaled up to as much work: under overload heavy requests are later than light ones.
func (c RequestGroups) delays(now int64) (delays [numberOfKinds]float64) {
	for kind, own := range c.groups {
		best := own.minLateness
		groups := c.tracker.groups[kind]
		for i := range groups {
			other := &groups[i]
			if other.isComparable(now) {
				best = min(best, other.minLateness*max(1, own.unloadedLatency/max(other.unloadedLatency, 1)))
			}
		}
		if own.minLateness-best > c.tracker.minDelay {
			delays[kind] = own.minLateness - best
		}
	}
	return delays
}

// Delay returns by how much the request is later than others anywhere; infinite while nothing but overdue attempts is
// known.
func (c RequestGroups) Delay(now int64) float64 {
	delays := c.delays(now)
	return delays[byClass] + delays[byTenant]
}

// AllowsTrial reports whether a request may be sent to test whether the delay of its groups is over: nothing of them is in
// flight, nor has been for more than timeFraction of the time. So of all nodes no more than that part tests at once,
// however long a test takes.
func (c RequestGroups) AllowsTrial(now int64, timeFraction float64) bool {
	for kind, delay := range c.delays(now) {
		own := c.groups[kind]
		if delay <= 0 {
			continue
		}
		paused := float64(now - own.idleChangedAt)
		if own.inFlight > 0 || paused*timeFraction < float64(own.lastTrialNanos)*(1-timeFraction) {
			return false
		}
	}
	return true
}

// AddInFlight counts an attempt that is sent, by 1, or one that ends, by -1.
func (c RequestGroups) AddInFlight(now int64, by int) {
	for _, own := range c.groups {
		own.inFlight += by
		switch own.inFlight {
		case 0:
			own.lastTrialNanos = now - own.idleChangedAt
			own.idleChangedAt = now
		case by:
			own.idleChangedAt = now
		}
	}
}

// CountGivenUp counts a request that was given up.
func (c RequestGroups) CountGivenUp() {
	for _, own := range c.groups {
		own.givenUpSinceSample++
	}
}

// Observe takes in the latency of an attempt, infinite while it is overdue, and what it is with nothing else at the
// endpoint. What one group is known to wait for does not count against the other.
func (c RequestGroups) Observe(now, sentAt int64, latency, unloaded float64) {
	delays, late := c.delays(now), latency-unloaded
	for kind, own := range c.groups {
		own.unloadedLatency += (unloaded - own.unloadedLatency) / latencyWindow
		other := delays[numberOfKinds-1-kind]
		if !math.IsInf(other, 1) {
			own.addSample(now, sentAt, late-other)
		}
	}
}
