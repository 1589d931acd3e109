// Package classdelay estimates the delay that all requests of one class, or of one tenant, have at every endpoint
// beyond that of the other classes or tenants, for example because a dependency that only they use is slow. Durations
// are in nanoseconds; points in time are nanoseconds of the caller's clock.
package classdelay

import "math"

const (
	// samplesKept is the number of recent samples (responses and overdue attempts) that are compared. All of them must
	// be late before a delay is reported, since a single late response may be due to its endpoint.
	samplesKept = 3
	// freshWindowNanos is the time after its last sample during which other groups are compared with a group.
	freshWindowNanos = int64(4e9)
	// minDelayFraction is the fraction of the shortest latency objective up to which a delay is ignored.
	minDelayFraction = 0.25
	// latencyWindow is the number of samples over which a group's unloaded latency is averaged.
	latencyWindow = 8
)

// The two kinds of groups.
const (
	byClass = iota
	byTenant
	numberOfKinds
)

// latenessSample is the lateness of one attempt; sentAt identifies the attempt.
type latenessSample struct {
	sentAt   int64
	lateness float64 // nanoseconds beyond the unloaded latency; infinite while the attempt is overdue
}

// group holds the state for the requests of one class or of one tenant.
type group struct {
	samples         [samplesKept]latenessSample
	nextSample      int     // index in samples of the one to replace next
	minLateness     float64 // minimum of samples: rises only once all are late, falls with one that is on time
	unloadedLatency float64 // exponentially weighted average of the latency at an otherwise idle endpoint

	lastSampleAt       int64
	givenUpSinceSample int // requests given up since lastSampleAt

	inFlight       int
	idleChangedAt  int64 // when inFlight last changed to or from 0
	lastTrialNanos int64 // how long inFlight was above 0 before it last returned to 0
}

// addSample records the lateness of an attempt. The response to an attempt that was recorded as overdue replaces that
// sample.
func (g *group) addSample(now, sentAt int64, lateness float64) {
	index := g.nextSample
	for i := range g.samples {
		if g.samples[i].sentAt == sentAt && math.IsInf(g.samples[i].lateness, 1) {
			index = i
		}
	}
	if index == g.nextSample {
		g.nextSample = (g.nextSample + 1) % samplesKept
	}
	g.samples[index] = latenessSample{sentAt: sentAt, lateness: max(lateness, 0)}
	g.lastSampleAt = now
	g.givenUpSinceSample = 0
	g.minLateness = math.Inf(1)
	for _, a := range g.samples {
		g.minLateness = min(g.minLateness, a.lateness)
	}
}

// isComparable reports whether other groups are compared with this one: its last sample is less than
// freshWindowNanos old, or its requests are given up. The second condition keeps a group that is on time but not
// admitted in the comparison; otherwise only late groups would be left to compare with.
func (g *group) isComparable(now int64) bool {
	return now-g.lastSampleAt < freshWindowNanos || g.givenUpSinceSample >= samplesKept
}

// Tracker holds the groups of one instance. It is not safe for concurrent use.
type Tracker struct {
	groups   [numberOfKinds][]group
	minDelay float64
}

// New returns a tracker without samples for the given numbers of classes and tenants.
func New(classes, tenants int) *Tracker {
	return &Tracker{
		groups: [numberOfKinds][]group{
			byClass:  make([]group, max(classes, 1)),
			byTenant: make([]group, max(tenants, 1)),
		},
		minDelay: math.Inf(1),
	}
}

// AddObjective adds the latency objective of a class. Delays that are short compared with the shortest objective are
// ignored.
func (t *Tracker) AddObjective(objective int64) {
	t.minDelay = min(t.minDelay, minDelayFraction*float64(objective))
}

// RequestGroups holds the two groups that a request belongs to: its class and its tenant.
type RequestGroups struct {
	tracker *Tracker
	groups  [numberOfKinds]*group
}

// GroupsOf returns the groups of a request. Tenants beyond the number given to New share the last group.
func (t *Tracker) GroupsOf(class, tenant int) RequestGroups {
	tenants := t.groups[byTenant]
	return RequestGroups{t, [numberOfKinds]*group{
		byClass:  &t.groups[byClass][class],
		byTenant: &tenants[min(tenant, len(tenants)-1)],
	}}
}

// delays returns, for the class and the tenant, how much later the group is than the least late group of its kind. The
// lateness of the other group is first scaled up by the ratio of the unloaded latencies, since under overload heavy
// requests are later than light ones.
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

// Delay returns how much later, in nanoseconds, the request is expected to be than others at any endpoint. It is
// infinite while all samples of its class or tenant are overdue attempts, and those of another class or tenant are not.
func (c RequestGroups) Delay(now int64) float64 {
	delays := c.delays(now)
	return delays[byClass] + delays[byTenant]
}

// AllowsTrial reports whether a request may be sent as a trial of whether the delay of its groups is over: none of
// their attempts is in flight, and the previous trial took at most trialTimeFraction of the time since it began. This
// limits the fraction of nodes that run a trial at the same time, however long a trial takes.
func (c RequestGroups) AllowsTrial(now int64, trialTimeFraction float64) bool {
	for kind, delay := range c.delays(now) {
		own := c.groups[kind]
		if delay <= 0 {
			continue
		}
		idleNanos := float64(now - own.idleChangedAt)
		if own.inFlight > 0 || idleNanos*trialTimeFraction < float64(own.lastTrialNanos)*(1-trialTimeFraction) {
			return false
		}
	}
	return true
}

// AddInFlight adds delta to the attempts in flight: 1 when an attempt is sent, -1 when it ends.
func (c RequestGroups) AddInFlight(now int64, delta int) {
	for _, own := range c.groups {
		own.inFlight += delta
		switch own.inFlight {
		case 0:
			own.lastTrialNanos = now - own.idleChangedAt
			own.idleChangedAt = now
		case delta:
			own.idleChangedAt = now
		}
	}
}

// CountGivenUp records that a request was given up.
func (c RequestGroups) CountGivenUp() {
	for _, own := range c.groups {
		own.givenUpSinceSample++
	}
}

// Observe records the latency of an attempt, infinite while it is overdue, and its expected latency at an otherwise
// idle endpoint (unloaded). A delay that is already attributed to one of the two groups is not counted against the
// other.
func (c RequestGroups) Observe(now, sentAt int64, latency, unloaded float64) {
	delays, lateness := c.delays(now), latency-unloaded
	for kind, own := range c.groups {
		own.unloadedLatency += (unloaded - own.unloadedLatency) / latencyWindow
		other := delays[numberOfKinds-1-kind]
		if !math.IsInf(other, 1) {
			own.addSample(now, sentAt, lateness-other)
		}
	}
}
