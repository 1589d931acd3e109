package policy

import "time"

// A fleet that has been overloaded for long gets one rest: this node gives up all requests for a while, as what all
// endpoints depend on may recover only then. Inputs: the latency of the fleet over the work of its requests, a ratio,
// and the success rate of the class that fares worst. Short overload, as a burst makes, and slowness in which requests
// still succeed change nothing, and no spell gets a second rest. It acts only where load reports carry utilization.
// docs/design.md: "Shedding load".

const (
	overloadedFleetLevel    = 2.5
	overloadedSuccessRate   = 0.7
	overloadedSecondsToRest = 9
	restDuration            = 5 * time.Second
)

type overloadGuard struct {
	seconds   int // for how long the fleet has been overloaded
	restUntil Time
}

// tick takes the state of the fleet, once a second.
func (g *overloadGuard) tick(now Time, fleetLevel, worstSuccessRate float64) {
	if fleetLevel < overloadedFleetLevel || worstSuccessRate > overloadedSuccessRate {
		g.seconds = 0
		return
	}
	g.seconds++
	if g.seconds == overloadedSecondsToRest {
		g.restUntil = now.Add(restDuration)
	}
}

// rests reports whether all requests are given up at the moment.
func (g *overloadGuard) rests(now Time) bool { return now < g.restUntil }
