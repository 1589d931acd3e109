package model

import "math"

// LoadFigures are the values of a load report. InFlight counts the jobs that hold a concurrency slot, Queue the queued
// ones; Utilization is from 0 to 1, and ServiceTime is in milliseconds.
type LoadFigures struct {
	InFlight, Queue, Utilization, ServiceTime float64
}

// loadSampler accumulates load between two samples.
type loadSampler struct {
	sampledAt    int64
	last         LoadFigures
	busy         float64 // core-seconds used
	latencySum   float64 // milliseconds, over latencyCount jobs
	latencyCount int
}

func (s *loadSampler) observe(latencyMs float64) {
	s.latencySum += latencyMs
	s.latencyCount++
}

// Sample returns the current load, with utilization and service time averaged since the previous sample.
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

// Noisy returns the figures with a relative measurement error of up to noise each. draw returns random numbers in [0,
// 1).
func (f LoadFigures) Noisy(draw func() float64, noise float64) LoadFigures {
	vary := func(v float64) float64 { return math.Max(0, v*(1+noise*(2*draw()-1))) }
	return LoadFigures{
		InFlight: math.Round(vary(f.InFlight)), Queue: math.Round(vary(f.Queue)),
		Utilization: vary(f.Utilization), ServiceTime: vary(f.ServiceTime),
	}
}
