package policy

import "time"

// After a long overload of the fleet, this node sheds all load once: it gives up all requests for a while, since a
// resource that all endpoints depend on may recover only without load. Inputs are the ratio of the fleet's latency to
// the work of its requests, and the success rate of the worst class. Neither short overloads, such as bursts, nor slow
// responses while requests still succeed trigger it, and it happens only once per overload. It applies only where load
// reports contain utilization.
//
// See docs/design.md: "Shedding load".

const (
	// overloadedLatencyRatio is the ratio of latency to work from which on the fleet counts as overloaded. At two and a
	// half times the work, most of the latency is waiting.
	overloadedLatencyRatio = 2.5
	// overloadedSuccessRate is the success rate of the worst class above which the fleet does not count as overloaded:
	// most requests of every class still succeed, and shedding all load would give them up.
	overloadedSuccessRate = 0.7
	// overloadedSecondsToShedAll is longer than bursts and short overloads, which end without shedding all load.
	overloadedSecondsToShedAll = 9
	// shedAllDuration allows queues at the endpoints and at their dependencies to empty.
	shedAllDuration = 5 * time.Second
)

// overloadGuard decides when this node gives up all requests.
type overloadGuard struct {
	overloadedSeconds int // how long the fleet has been overloaded
	shedAllUntil      Time
}

// tick updates the guard once a second with the state of the fleet. Shedding starts when the count reaches
// overloadedSecondsToShedAll. The count continues until the overload ends, so that shedding happens once per overload.
func (g *overloadGuard) tick(now Time, latencyRatio, worstSuccessRate float64) {
	if latencyRatio < overloadedLatencyRatio || worstSuccessRate > overloadedSuccessRate {
		g.overloadedSeconds = 0
		return
	}
	g.overloadedSeconds++
	if g.overloadedSeconds == overloadedSecondsToShedAll {
		g.shedAllUntil = now.Add(shedAllDuration)
	}
}

// shedsAll reports whether all requests are given up at this time.
func (g *overloadGuard) shedsAll(now Time) bool { return now < g.shedAllUntil }
