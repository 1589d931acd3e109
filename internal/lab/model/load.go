package model

import "math"

// LoadFigures are the figures of a load report. ServiceTime is in milliseconds.
type LoadFigures struct {
	InFlight, Queue, Utilization, ServiceTime float64
}

// loadSampler gathers figures between two samples.
type loadSampler struct {
	sampledAt    int64
	last         LoadFigures
	busy         float64 // core-seconds used
	latencySum   float64 // milliseconds
	latencyCount int
}

func (s *loadSampler) observe(latencyMs float64) {
	s.latencySum += latencyMs
	s.latencyCount++
}

// Sample returns the figures since the last sample.
func (e *Endpoint) Sample(now int64) LoadFigures {
	e.advance(now)
	s := &e.load
	f := LoadFigures{InFlight: float64(len(e.jobs)), Queue: float64(len(e.queue)), ServiceTime: s.last.ServiceTime}
	if span := float64(now-s.sampledAt) / 1e9; span > 0 {
		f.Utilization = math.Min(1, s.busy/span/float64(e.Cores))
	}
	if s.latencyCount > 0 {
		f.ServiceTime = s.latencySum / float64(s.latencyCount)
	}
	e.load = loadSampler{sampledAt: now, last: f}
	return f
}

// Noisy changes each figure by up to a part of it, as measurements do.
func (f LoadFigures) Noisy(draw func() float64, noise float64) LoadFigures {
	vary := func(v float64) float64 { return math.Max(0, v*(1+noise*(2*draw()-1))) }
	return LoadFigures{
		InFlight: math.Round(vary(f.InFlight)), Queue: math.Round(vary(f.Queue)),
		Utilization: vary(f.Utilization), ServiceTime: vary(f.ServiceTime),
	}
}
