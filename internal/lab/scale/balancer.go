package scale

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"fawnglade/policy"
)

// What the probes of the decisions have in common: an instance without sockets, whose effects do nothing, and requests
// to it. What the node around the decisions costs is not in these figures.

const (
	tickTimer      = 1                        // cookie of the decisions' own timer, each second
	startTime      = policy.Time(1000 * 1e9)  // of virtual time, nanoseconds
	tickInterval   = policy.Time(time.Second) // between two timers
	changeInterval = policy.Time(1_000_000)   // between two changes, nanoseconds
	probeNode      = 17                       // index of the node that is measured
	zones          = 31
	podSize        = 40
	// scatter is a prime: steps of it visit indexes in no order that a cache likes.
	scatter = 7919
)

// discardEffects notes the last attempt, and does nothing else.
type discardEffects struct {
	endpoint policy.EndpointID
	sent     bool
}

// Send implements policy.Effects.
func (d *discardEffects) Send(_ policy.RequestID, endpoint policy.EndpointID, _ time.Duration) {
	d.endpoint, d.sent = endpoint, true
}

// Cancel implements policy.Effects.
func (*discardEffects) Cancel(policy.RequestID, int) {}

// Reject implements policy.Effects.
func (*discardEffects) Reject(policy.RequestID, time.Duration, policy.Reason) {}

// Fail implements policy.Effects.
func (*discardEffects) Fail(policy.RequestID, policy.Reason) {}

// SetTimer implements policy.Effects.
func (*discardEffects) SetTimer(policy.Time, uint64) {}

// WatchEndpoints implements policy.Effects.
func (*discardEffects) WatchEndpoints() {}

// CloseIdle implements policy.Effects.
func (*discardEffects) CloseIdle(policy.EndpointID) {}

// CheckHealth implements policy.Effects.
func (*discardEffects) CheckHealth(policy.EndpointID) {}

// Gossip implements policy.Effects.
func (*discardEffects) Gossip(policy.GossipMessage) {}

// endpointInfos returns so many active endpoints, over all zones and pods.
func endpointInfos(n int) []policy.EndpointInfo {
	list := make([]policy.EndpointInfo, n)
	for i := range list {
		id := policy.EndpointID(uint32(i+1) * 2654435761) // spread over all values, as hashes of names are
		list[i] = policy.EndpointInfo{ID: id, Zone: i % zones, Pod: i / podSize, Weight: 1}
	}
	return list
}

// balancerSettings are those of one node of the design with a number of classes and tenants.
func balancerSettings(classes, tenants int) policy.Settings {
	s := policy.Settings{
		NodeCount: int(DefaultDesign.Nodes), NodeIndex: probeNode, MayCancel: true, MaxAttempts: 3, StreamsPerConnection: 1,
		SlowStartWindow: 20e9, SlowStartMinCapacity: 0.2,
	}
	for range classes {
		s.Classes = append(s.Classes, policy.Class{LatencyObjective: 200 * time.Millisecond})
	}
	for range tenants {
		s.TenantShares = append(s.TenantShares, 1/float64(tenants))
	}
	return s
}

// instance is one instance of the decisions in virtual time.
type instance struct {
	balancer *policy.Balancer
	effects  *discardEffects
	classes  int
	tenants  int
	now      policy.Time
}

// newInstance makes one that has been given an endpoint list.
func newInstance(classes, tenants int, seed uint64, list []policy.EndpointInfo) *instance {
	effects := &discardEffects{}
	in := &instance{
		balancer: policy.New(balancerSettings(classes, tenants), seed, effects),
		effects:  effects, classes: classes, tenants: tenants, now: startTime,
	}
	in.balancer.EndpointsUpdated(in.now, list, true)
	return in
}

// tickCost returns the mean processor time of the timer of each second, percent of a core.
func (in *instance) tickCost(atLeast int, seconds float64) float64 {
	return 100 * meanCPUTime(atLeast, seconds, func(int) {
		in.now += tickInterval
		in.balancer.TimerFired(in.now, tickTimer)
	})
}

const (
	minRequests      = 500 // give a quantile of 99 in 100
	requestsInFlight = 32
	queueReports     = 3 // different queue lengths that are reported
)

// pendingRequest is one in flight; its ID is empty if no attempt was started.
type pendingRequest struct {
	id        policy.RequestID
	endpoint  policy.EndpointID
	startedAt policy.Time
}

// requestCosts are processor times of single requests, seconds.
type requestCosts struct {
	sorted []float64
	sum    float64
}

// requestCosts has the instance take requests at a node's part of the peak rate, with a timer each second, and returns
// the processor time of each: of so many, or of as many as fit into a time, but of minRequests at least.
func (in *instance) requestCosts(d *Design, requests int, seconds float64) requestCosts {
	var inFlight [requestsInFlight]pendingRequest
	ids := make([]policy.RequestID, requests)
	for i := range ids {
		ids[i] = policy.RequestID(fmt.Sprint("t", i))
	}
	interval := policy.Time(1e9 * d.Nodes / d.RequestsPerSecond)
	lastTick := in.now
	costs := requestCosts{sorted: make([]float64, 0, requests)}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	for i, id := range ids {
		if i >= minRequests && threadTime()-began > seconds {
			break
		}
		in.now += interval
		if in.now-lastTick >= tickInterval {
			lastTick = in.now
			in.balancer.TimerFired(in.now, tickTimer)
		}
		pending := &inFlight[i%len(inFlight)]
		before := threadTime()
		in.replaceRequest(i, id, pending)
		cost := threadTime() - before
		costs.sorted = append(costs.sorted, cost)
		*pending = pendingRequest{endpoint: in.effects.endpoint, startedAt: in.now}
		if in.effects.sent {
			pending.id = id
		}
	}
	slices.Sort(costs.sorted)
	for _, cost := range costs.sorted {
		costs.sum += cost
	}
	return costs
}

// exchange ends the request before in the same place, and starts the next.
func (in *instance) replaceRequest(i int, id policy.RequestID, previous *pendingRequest) {
	if previous.id != "" {
		in.balancer.AttemptEnded(in.now, policy.AttemptResult{
			Request: previous.id, Endpoint: previous.endpoint, Outcome: policy.OutcomeSucceeded, RequestDone: true,
			Elapsed: in.now.Sub(previous.startedAt) + time.Duration(i%7)*time.Millisecond/4,
			Report:  policy.LoadReport{Utilization: -1, QueueLength: float64(i % queueReports), ServiceTime: -1},
		})
	}
	in.effects.sent = false
	tenant := 0
	if in.tenants > 0 {
		tenant = i * scatter % in.tenants
	}
	in.balancer.RequestArrived(in.now, policy.Request{
		ID: id, Deadline: in.now + 600*changeInterval, Class: i % in.classes, Tenant: tenant,
	})
}

// mean returns microseconds.
func (c *requestCosts) mean() float64 { return 1e6 * c.sum / float64(len(c.sorted)) }

// quantile returns microseconds.
func (c *requestCosts) quantile(fraction float64) float64 {
	i := min(int(fraction*float64(len(c.sorted))), len(c.sorted)-1)
	return 1e6 * c.sorted[i]
}
