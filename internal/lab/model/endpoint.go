// Package model holds how endpoints behave: work, queues, slow start, crashes under load, pauses, load reports,
// deduplication, and discovery's list of them. It reads no clock and touches no socket: callers give the time with each
// call, in nanoseconds, and ask when the next call is due, so that sockets and virtual time drive the same code.
package model

import (
	"math"
	"math/rand/v2"
)

// Never is later than any run.
const Never = math.MaxInt64

// rejectionWork is the work of rejecting a request, in seconds.
const rejectionWork = 50e-6

// Job is one attempt at an endpoint.
type Job struct {
	ID       int64
	Work     int64 // nanoseconds on a core of speed 1
	Deadline int64 // Never if it has none
	Node     int
	Wait     int64 // before its work begins, holding its slot

	readyAt   int64
	remaining float64 // seconds of work
	arrivedAt int64
}

// Done is a job that has ended.
type Done struct {
	Job     *Job
	At      int64
	Expired bool // dropped from the queue past its deadline: it never ran
}

// Endpoint is one machine in its present incarnation. Work is shared evenly among the jobs in work: each gets a core at
// most. It is not safe for concurrent use.
type Endpoint struct {
	Spec
	StartedAt   int64   // long ago: it is warm
	SpeedFactor float64 // part of its speed that it has
	random      *rand.Rand

	now         int64
	jobs        []*Job // in work
	queue       []*Job
	done        []Done  // not yet returned
	overhead    float64 // seconds of work that is no job's, done before anything else
	pausedUntil int64
	nextPause   int64
	crashed     bool

	windowArrivals    []Arrival // in slow start, within the crash window
	slowStartArrivals []Arrival // in all of the slow start

	load loadSampler
}

// NewEndpoint returns an endpoint that started at a time.
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

// Pause has the endpoint stand still until a time.
func (e *Endpoint) Pause(now, until int64) {
	e.advance(now)
	e.pausedUntil = max(e.pausedUntil, until)
}

// SetSpeedFactor has the endpoint work at a part of its speed from now on.
func (e *Endpoint) SetSpeedFactor(now int64, factor float64) {
	e.advance(now)
	e.SpeedFactor = factor
}

// Crash ends the endpoint; none of its jobs is finished.
func (e *Endpoint) Crash() { e.crashed, e.jobs, e.queue, e.done = true, nil, nil, nil }

// HasCrashed tells whether it has ended.
func (e *Endpoint) HasCrashed() bool { return e.crashed }

// InFlight returns the number of jobs in work and queued.
func (e *Endpoint) InFlight() int { return len(e.jobs) + len(e.queue) }

// Arrive takes a job. It is not accepted where the queue is full or the endpoint has crashed; the crash is returned if
// this job caused it.
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

// ConnectionOpened charges the work of a new connection.
func (e *Endpoint) ConnectionOpened(now int64) { e.Charge(now, e.ConnectionWork) }

// Charge adds work that is no request's, in nanoseconds, such as a health check's.
func (e *Endpoint) Charge(now, work int64) {
	e.advance(now)
	e.overhead += float64(work) / 1e9
}

// CancelJob cancels a job. It returns whether that stopped it, and whether it had not begun.
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
