package baseline

import (
	"math"
	"time"

	"fawnglade/policy"
)

// trueState and delayedTrueState read the true state of all endpoints, now or half a second ago. They tell how much a policy
// could gain.

const (
	snapshotPeriod = policy.Time(time.Second / 4)
	snapshotAge    = policy.Time(time.Second / 2) // at least, at which a snapshot is used
	workSmoothing  = 64                           // requests over which the mean work of a class is taken
)

// trueLoad is the true state of an endpoint that is up.
type trueLoad struct {
	inFlight float64 // requests at the endpoint
	capacity float64 // nanoseconds of work a second
}

// snapshot is the true state at a moment.
type snapshot struct {
	at    policy.Time
	loads map[policy.EndpointID]trueLoad // without endpoints that are not up
}

// takeSnapshot stores the true state for later use, and sets the timer for the next one.
func (d *Decider) takeSnapshot(now policy.Time) {
	loads := map[policy.EndpointID]trueLoad{}
	for _, e := range d.endpoints {
		if inFlight, capacity, up := d.cluster.Load(d.node, e.ID); up {
			loads[e.ID] = trueLoad{float64(inFlight), capacity}
		}
	}
	d.snapshots = append(d.snapshots, snapshot{now, loads})
	for len(d.snapshots) > 1 && d.snapshots[1].at <= now-snapshotAge {
		d.snapshots = d.snapshots[1:]
	}
	d.effects.SetTimer(now+snapshotPeriod, snapshotTimer)
}

// selectByTrueState returns the one that would end earliest; nil if that is after the deadline.
func (d *Decider) selectByTrueState(now policy.Time, r *request, candidates []*endpoint) *endpoint {
	latency := func(e *endpoint) float64 {
		inFlight, capacity, up := d.cluster.Load(d.node, e.ID)
		return d.predict(r, e, trueLoad{float64(inFlight), capacity}, up)
	}
	best := d.lowest(candidates, latency)
	if best == nil || latency(best) > float64(r.Deadline-now) {
		return nil
	}
	return best
}

// selectByDelayedState draws by how soon each would end by an old state: many nodes that all took the best of one and the
// same state would overload it.
func (d *Decider) selectByDelayedState(now policy.Time, r *request, candidates []*endpoint) *endpoint {
	var chances []float64
	sum := 0.0
	for _, e := range candidates {
		load, up := d.delayedLoad(e)
		chance := 0.0
		if latency := d.predict(r, e, load, up); latency <= float64(r.Deadline-now) {
			chance = 1 / latency
		}
		sum += chance
		chances = append(chances, chance)
	}
	rest := d.random.Float64() * sum
	for i, chance := range chances {
		rest -= chance
		if rest < 0 {
			return candidates[i]
		}
	}
	return nil
}

// delayedLoad is the state of an endpoint in the oldest snapshot, with the own attempts since; any is idle before the
// first.
func (d *Decider) delayedLoad(e *endpoint) (load trueLoad, up bool) {
	if len(d.snapshots) == 0 {
		return trueLoad{capacity: 1e9}, true
	}
	load, up = d.snapshots[0].loads[e.ID]
	load.inFlight += float64(e.inFlight)
	return load, up
}

// predict returns the latency of a request at an endpoint, nanoseconds; infinite if the endpoint is not up.
func (d *Decider) predict(r *request, e *endpoint, load trueLoad, up bool) float64 {
	if !up || load.capacity <= 0 {
		return math.Inf(1)
	}
	work := d.meanWork[r.Class]
	if r.CostHint > 0 {
		work = float64(r.CostHint)
	}
	return float64(d.cluster.RoundTrip(d.node, e.ID)) + (load.inFlight+1)*work*1e9/load.capacity
}

// observeWork updates the mean work of a class from a successful attempt.
func (d *Decider) observeWork(e *endpoint, a policy.AttemptResult) {
	if d.kind != trueState && d.kind != delayedTrueState {
		return
	}
	r := d.requests[a.Request]
	if r == nil {
		return
	}
	inFlight, capacity, up := d.cluster.Load(d.node, e.ID)
	if !up {
		return
	}
	work := (float64(a.Elapsed) - float64(d.cluster.RoundTrip(d.node, e.ID))) * capacity / 1e9 / float64(inFlight+1)
	d.meanWork[r.Class] += (max(work, 0) - d.meanWork[r.Class]) / workSmoothing
}
