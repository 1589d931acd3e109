package baseline

import (
	"math"
	"time"

	"fawnglade/internal/rendezvous"
	"fawnglade/policy"
)

const (
	latencyDecay    = float64(10 * time.Second) // time constant of peakEWMA, nanoseconds
	unknownLatency  = float64(time.Millisecond) // assumed by peakEWMA until an endpoint has answered, nanoseconds
	boundedHashLoad = 1.25                      // of the mean, that boundedHash puts on an endpoint at most
)

// pick selects one of the candidates; nil if none is fit.
func (d *Decider) selectEndpoint(now policy.Time, r *request, candidates []*endpoint) *endpoint {
	if len(candidates) == 0 {
		return nil
	}
	switch d.kind {
	case roundRobin:
		d.nextIndex++
		return candidates[d.nextIndex%len(candidates)]
	case leastInFlight:
		return d.lowest(candidates, attemptsInFlight)
	case twoChoices:
		return d.lowerOfTwo(candidates, attemptsInFlight)
	case peakEWMA:
		return d.lowerOfTwo(candidates, func(e *endpoint) float64 { return e.decayedLatency(now) * float64(e.inFlight+1) })
	case hotCold:
		return d.selectHotCold(now, candidates)
	case boundedHash:
		return selectBoundedHash(r, candidates)
	case trueState:
		return d.selectByTrueState(now, r, candidates)
	case delayedTrueState:
		return d.selectByDelayedState(now, r, candidates)
	}
	return d.drawEndpoint(candidates)
}

func attemptsInFlight(e *endpoint) float64 { return float64(e.inFlight) }

func (d *Decider) drawEndpoint(candidates []*endpoint) *endpoint {
	return candidates[d.random.IntN(len(candidates))]
}

// lowerOfTwo draws two and returns the one with the lower cost.
func (d *Decider) lowerOfTwo(candidates []*endpoint, cost func(*endpoint) float64) *endpoint {
	first := d.drawEndpoint(candidates)
	second := d.drawEndpoint(candidates)
	if cost(second) < cost(first) {
		return second
	}
	return first
}

// lowest returns the one with the lowest cost, drawn among equals; nil if all costs are infinite and none is drawn.
func (d *Decider) lowest(candidates []*endpoint, cost func(*endpoint) float64) *endpoint {
	var best *endpoint
	lowest, equals := math.Inf(1), 0
	for _, e := range candidates {
		v := cost(e)
		switch {
		case v < lowest:
			best, lowest, equals = e, v, 1
		case v == lowest:
			equals++
			if d.random.IntN(equals) == 0 {
				best = e
			}
		}
	}
	return best
}

// decayedLatency is the peak-sensitive average latency, which decays to 0 while nothing is observed, nanoseconds.
func (e *endpoint) decayedLatency(now policy.Time) float64 {
	if e.latency == 0 {
		return unknownLatency
	}
	return e.latency * math.Exp(-float64(now-e.updatedAt)/latencyDecay)
}

// observeLatency takes a peak over at once, and averages lower latencies, in nanoseconds.
func (e *endpoint) observeLatency(now policy.Time, elapsed float64) {
	if e.latency == 0 || elapsed > e.decayedLatency(now) {
		e.latency = elapsed
	} else {
		weight := math.Exp(-float64(now-e.updatedAt) / latencyDecay)
		e.latency = e.latency*weight + elapsed*(1-weight)
	}
	e.updatedAt = now
}

// selectBoundedHash returns the first in the order of rendezvous hashing that is not over its bound; nil if all are.
func selectBoundedHash(r *request, candidates []*endpoint) *endpoint {
	name := r.Key
	if name == "" {
		name = string(r.ID)
	}
	key := rendezvous.HashKey(name)
	inFlight := 1 // with this request
	for _, e := range candidates {
		inFlight += e.inFlight
	}
	bound := int(math.Ceil(boundedHashLoad * float64(inFlight) / float64(len(candidates))))
	var best *endpoint
	highest := uint64(0)
	for _, e := range candidates {
		score := rendezvous.Score(key, uint32(e.ID))
		if e.inFlight < bound && (best == nil || score > highest) {
			best, highest = e, score
		}
	}
	return best
}
