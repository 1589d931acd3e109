package scale

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"fawnglade/policy"
)

// Common code of the probes of the decisions: a balancer without sockets, whose effects do nothing, and requests to it.
// The cost of the rest of the node is not part of these figures.

const (
	tickTimer      = 1                        // cookie of the balancer's timer, which fires each second
	startTime      = policy.Time(1000 * 1e9)  // start of virtual time, nanoseconds
	tickInterval   = policy.Time(time.Second) // between two calls of the timer
	changeInterval = policy.Time(1_000_000)   // between two changes of the list, nanoseconds
	probeNode      = 17                       // index of the measured node
	zones          = 31
	podSize        = 40
	// scatter is a prime stride, so that indexes are visited in an order without cache locality.
	scatter = 7919
)

// discardEffects records the last attempt and ignores all other effects.
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

// endpointInfos returns n active endpoints, spread over all zones and pods.
func endpointInfos(n int) []policy.EndpointInfo {
	list := make([]policy.EndpointInfo, n)
	for i := range list {
		id := policy.EndpointID(uint32(i+1) * 2654435761) // spread over the whole range, like hashes of names
		list[i] = policy.EndpointInfo{ID: id, Zone: i % zones, Pod: i / podSize, Weight: 1}
	}
	return list
}

// balancerSettings returns the settings of a node of the design size with the given numbers of classes and tenants.
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

// instance is a balancer in virtual time.
type instance struct {
	balancer *policy.Balancer
	effects  *discardEffects
	classes  int
	tenants  int
	now      policy.Time
}

// newInstance returns an instance with the given endpoint list.
func newInstance(classes, tenants int, seed uint64, list []policy.EndpointInfo) *instance {
	effects := &discardEffects{}
	in := &instance{
		balancer: policy.New(balancerSettings(classes, tenants), seed, effects),
		effects:  effects, classes: classes, tenants: tenants, now: startTime,
	}
	in.balancer.EndpointsUpdated(in.now, list, true)
	return in
}

// tickCost returns the mean CPU time of the timer that fires each second, in percent of a core.
func (in *instance) tickCost(atLeast int, seconds float64) float64 {
	return 100 * meanCPUTime(atLeast, seconds, func(int) {
		in.now += tickInterval
		in.balancer.TimerFired(in.now, tickTimer)
	})
}

const (
	minRequests      = 500 // enough for a 99th percentile
	requestsInFlight = 32
	queueReports     = 3 // number of different queue lengths in load reports
)

// pendingRequest is a request in flight. Its ID is empty if no attempt was started.
type pendingRequest struct {
	id        policy.RequestID
	endpoint  policy.EndpointID
	startedAt policy.Time
}

// requestCosts holds the CPU times of single requests, in seconds.
type requestCosts struct {
	sorted []float64
	sum    float64
}

// requestCosts sends requests to the instance at a node's share of the peak rate, with a timer each second, and returns
// the CPU time of each. It stops after the given number of requests, or after the given seconds of CPU time, but not
// before minRequests.
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
	loopStart := threadTime()
	for i, id := range ids {
		if i >= minRequests && threadTime()-loopStart > seconds {
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

// replaceRequest ends the previous request in the same slot, and starts the next one.
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

// mean returns the mean in microseconds.
func (c *requestCosts) mean() float64 { return 1e6 * c.sum / float64(len(c.sorted)) }

// quantile returns a quantile in microseconds.
func (c *requestCosts) quantile(fraction float64) float64 {
	i := min(int(fraction*float64(len(c.sorted))), len(c.sorted)-1)
	return 1e6 * c.sorted[i]
}
