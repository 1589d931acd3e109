// Package model models the endpoints of a scenario: work, queues, slow start, crashes under load, pauses, load reports,
// deduplication, and discovery's list of endpoints. It reads no clock and uses no sockets: callers pass the time to
// each call, in nanoseconds, and Endpoint.Next returns when the next call is due, so that the simulator and the
// emulator share the code.
package model

import (
	"math"
	"math/rand/v2"
)

// Never is a time after the end of any run.
const Never = math.MaxInt64

// rejectionWork is the work of rejecting a request, in seconds on a core of speed 1.
const rejectionWork = 50e-6

// Job is one attempt at an endpoint.
type Job struct {
	ID       int64
	Work     int64 // nanoseconds on a core of speed 1
	Deadline int64 // Never if there is none
	Node     int
	Wait     int64 // nanoseconds that the job occupies a concurrency slot before its work starts

	readyAt   int64
	remaining float64 // seconds of work
	arrivedAt int64
}

// Done is a job that has finished or was dropped from the queue.
type Done struct {
	Job     *Job
	At      int64
	Expired bool // dropped from the queue after its deadline without having run
}

// Endpoint models one incarnation of an endpoint. Running jobs share its cores equally; each gets at most one core.
// It is not safe for concurrent use.
type Endpoint struct {
	Spec
	StartedAt   int64   // start of slow start; far in the past for an endpoint that is warm
	SpeedFactor float64 // multiplies Speed; 1 without a fault
	random      *rand.Rand

	now         int64
	jobs        []*Job // running, or waiting in a concurrency slot
	queue       []*Job
	done        []Done  // not yet returned by Advance
	overhead    float64 // seconds of work that belongs to no job; done before any job's work
	pausedUntil int64
	nextPause   int64
	crashed     bool

	windowArrivals    []Arrival // during slow start, within the last CrashWindow
	slowStartArrivals []Arrival // during the whole slow start

	load loadSampler
}

// NewEndpoint returns an endpoint that started at startedAt; now is the current time.
func NewEndpoint(spec Spec, startedAt, now int64, seed uint64) *Endpoint {
	e := &Endpoint{
		Spec: spec, StartedAt: startedAt, SpeedFactor: 1, random: rand.New(rand.NewPCG(seed, 7)),
		now: now, nextPause: Never, load: loadSampler{sampledAt: now},
	}
	e.drawPause()
	return e
}

func (e *Endpoint) drawPause() {
	if e.PauseEvery > 0 {
		e.nextPause = e.now + int64(e.random.ExpFloat64()*float64(e.PauseEvery))
	}
}

// Pause stops all work of the endpoint until a time.
func (e *Endpoint) Pause(now, until int64) {
	e.advance(now)
	e.pausedUntil = max(e.pausedUntil, until)
}

// SetSpeedFactor sets the factor by which the endpoint's speed is multiplied from now on.
func (e *Endpoint) SetSpeedFactor(now int64, factor float64) {
	e.advance(now)
	e.SpeedFactor = factor
}

// Crash ends the endpoint and discards its jobs; none of them finishes.
func (e *Endpoint) Crash() { e.crashed, e.jobs, e.queue, e.done = true, nil, nil, nil }

// HasCrashed reports whether the endpoint has ended.
func (e *Endpoint) HasCrashed() bool { return e.crashed }

// InFlight returns the number of running and queued jobs.
func (e *Endpoint) InFlight() int { return len(e.jobs) + len(e.queue) }

// Arrive starts or queues a job. The job is rejected if the queue is full or the endpoint has crashed. If this job
// overloads an endpoint in slow start, Arrive crashes the endpoint and returns the crash.
func (e *Endpoint) Arrive(now int64, j *Job) (accepted bool, crash *Crash) {
	e.advance(now)
	if e.crashed {
		return false, nil
	}
	if crash = e.recordSlowStartArrival(j.Node, float64(j.Work)/1e9); crash != nil {
		e.Crash()
		return false, crash
	}
	j.arrivedAt = now
	switch {
	case len(e.jobs) < e.Concurrency:
		e.startJob(j)
	case len(e.queue) < e.QueueLimit:
		e.queue = append(e.queue, j)
	default:
		e.overhead += rejectionWork
		return false, nil
	}
	return true, nil
}

// ConnectionOpened charges the endpoint for the work of a new connection.
func (e *Endpoint) ConnectionOpened(now int64) { e.Charge(now, e.ConnectionWork) }

// Charge adds work that belongs to no request, such as that of a health check, in nanoseconds.
func (e *Endpoint) Charge(now, work int64) {
	e.advance(now)
	e.overhead += float64(work) / 1e9
}

// CancelJob cancels a job as far as the endpoint's Cancel effect allows. It reports whether the job was stopped, and
// whether it was still queued.
func (e *Endpoint) CancelJob(now int64, id int64) (stopped, neverRan bool) {
	e.advance(now)
	for i, j := range e.queue {
		if j.ID == id && e.Cancel >= CancelsQueued {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return true, true
		}
	}
	for i, j := range e.jobs {
		if j.ID == id && e.Cancel == CancelsRunning {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return true, false
		}
	}
	return false, false
}
