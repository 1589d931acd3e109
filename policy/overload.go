package policy

import "time"

// A fleet that has been overloaded for long gets one rest: this node gives up all requests for a while, as what all
// endpoints depend on may recover only then. Inputs: the latency of the fleet over the work of its requests, a ratio,
// and the success rate of the class that does worst. Short overload, as a burst makes, and slowness in which requests
// still succeed change nothing, and an overload gets no second rest. It acts only where load reports carry utilization.
// docs/design.md: "Shedding load".

const (
	// overloadedLatencyRatio: from here on answers take two and a half times their work, so most of it is waiting.
	overloadedLatencyRatio = 2.5
	// overloadedSuccessRate: above it most requests of every class still succeed, which a rest would give up.
	overloadedSuccessRate = 0.7
	// overloadedSecondsToShedAll is longer than bursts and short overloads last, which end without a rest.
	overloadedSecondsToShedAll = 9
	// shedAllDuration is for queues at the endpoints, and at what they depend on, to empty.
	shedAllDuration = 5 * time.Second
)

// overloadGuard decides when this node rests.
type overloadGuard struct {
	overloadedSeconds int // for how long the fleet has been overloaded
	shedAllUntil      Time
}

// tick takes the state of the fleet, once a second. The rest begins when the count reaches its limit, and the count
// goes on until the overload ends: so there is one rest for each.
func (g *overloadGuard) tick(now Time, fleetLevel, worstSuccessRate float64) {
	if fleetLevel < overloadedLatencyRatio || worstSuccessRate > overloadedSuccessRate {
		g.overloadedSeconds = 0
		return
	}
	g.overloadedSeconds++
	if g.overloadedSeconds == overloadedSecondsToShedAll {
		g.shedAllUntil = now.Add(shedAllDuration)
	}
}

// rests reports whether all requests are given up at the moment.
func (g *overloadGuard) shedsAll(now Time) bool { return now < g.shedAllUntil }
