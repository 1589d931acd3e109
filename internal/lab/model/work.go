package model

import (
	"math"
	"time"
)

const (
	// maxStep is the longest time over which the capacity is taken to be constant.
	maxStep = int64(50 * time.Millisecond)
	// finished is how much work a finished job may have left, as sums are rounded; seconds.
	remainingTolerance = 1e-10
	// maxForecast is how far ahead the end of work is computed, and forecastStep when to look again beyond it.
	maxForecast  = 3600.0 // seconds
	forecastStep = int64(time.Second)
)

// Advance does the work up to now and returns the jobs that have ended since the last call, each with its time.
func (e *Endpoint) Advance(now int64) []Done {
	e.advance(now)
	done := e.done
	e.done = nil
	return done
}

// advance keeps the jobs that end for the next call of Advance. Guards against ends that are lost as a side effect of an
// arrival.
func (e *Endpoint) advance(now int64) {
	for e.now < now && !e.crashed {
		until := min(now, e.now+maxStep)
		if e.nextPause <= e.now {
			e.pausedUntil = max(e.pausedUntil, e.nextPause+e.PauseFor)
			e.drawPause()
			e.nextPause = max(e.nextPause, e.pausedUntil)
		}
		until = min(until, max(e.nextPause, e.now+1))
		if e.pausedUntil > e.now {
			e.now = min(until, e.pausedUntil)
			continue
		}
		e.done = append(e.done, e.runUntil(until)...)
	}
	e.now = max(e.now, now)
}

// coreRate is the work that one core does in a second, in seconds of work.
func (e *Endpoint) coreRate() float64 { return e.Speed * e.CapacityShare() * e.SpeedFactor }

// workRate is the work that each of so many running jobs gets in a second: a core at most, and less under load.
func (e *Endpoint) workRate(running int) float64 {
	rate := e.coreRate() * math.Min(1, float64(e.Cores)/float64(running))
	if over := float64(running)/float64(e.Cores) - e.SlowdownFrom; e.Slowdown > 0 && over > 0 {
		rate /= 1 + e.Slowdown*over
	}
	return rate
}

// work runs until a time, or up to the first job's end before it.
func (e *Endpoint) runUntil(until int64) []Done {
	if e.overhead > 0 {
		e.runOverhead(float64(until-e.now) / 1e9)
		return nil
	}
	running := e.running()
	if ready := e.nextReady(); ready < until {
		until = max(ready, e.now+1)
	}
	if running == 0 {
		e.now = until
		return nil
	}
	span := float64(until-e.now) / 1e9
	rate := e.workRate(running)
	if need := e.leastRemaining() / rate; need <= span {
		span = need
		until = min(until, e.now+int64(math.Ceil(need*1e9)))
	}
	for _, j := range e.jobs {
		if j.readyAt <= e.now {
			j.remaining -= rate * span
		}
	}
	e.load.busy += span * math.Min(float64(e.Cores), float64(running))
	e.now = until
	return e.finishJobs()
}

// runOverhead does overhead on all cores for at most a span, in seconds.
func (e *Endpoint) runOverhead(span float64) {
	rate := e.coreRate()
	part := math.Min(e.overhead, rate*float64(e.Cores)*span)
	e.overhead -= part
	took := part / (rate * float64(e.Cores))
	e.load.busy += took * float64(e.Cores)
	e.now += max(int64(took*1e9), 1)
}

// finishJobs removes the jobs without work left and starts queued ones in their place.
func (e *Endpoint) finishJobs() []Done {
	var done []Done
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j.remaining > remainingTolerance {
			kept = append(kept, j)
			continue
		}
		done = append(done, Done{Job: j, At: e.now})
		e.load.observe(float64(e.now-j.arrivedAt) / 1e6)
	}
	e.jobs = kept
	if len(done) > 0 {
		done = append(done, e.startQueued()...)
	}
	return done
}

// startQueued starts as many queued jobs as there are slots for, and returns those that it drops.
func (e *Endpoint) startQueued() (expired []Done) {
	for len(e.queue) > 0 && len(e.jobs) < e.Concurrency {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if e.DropExpired && j.Deadline <= e.now {
			expired = append(expired, Done{Job: j, At: e.now, Expired: true})
			continue
		}
		e.startJob(j)
	}
	return expired
}

func (e *Endpoint) startJob(j *Job) {
	j.remaining, j.readyAt = float64(j.Work)/1e9, e.now+j.Wait
	e.jobs = append(e.jobs, j)
}

// running returns how many jobs are worked on, and do not wait in their slots.
func (e *Endpoint) running() (n int) {
	for _, j := range e.jobs {
		if j.readyAt <= e.now {
			n++
		}
	}
	return n
}

// nextReady is when the next job that waits in its slot begins.
func (e *Endpoint) nextReady() int64 {
	next := int64(Never)
	for _, j := range e.jobs {
		if j.readyAt > e.now {
			next = min(next, j.readyAt)
		}
	}
	return next
}

// leastRemaining is the least work that a running job has left, in seconds.
func (e *Endpoint) leastRemaining() float64 {
	least := math.Inf(1)
	for _, j := range e.jobs {
		if j.readyAt <= e.now {
			least = math.Min(least, j.remaining)
		}
	}
	return least
}

// Next is when Advance has to be called at the latest.
func (e *Endpoint) Next() int64 {
	switch {
	case len(e.done) > 0:
		return e.now
	case e.crashed || len(e.jobs) == 0:
		return Never
	case e.pausedUntil > e.now:
		return e.pausedUntil
	}
	running, ready := e.running(), e.nextReady()
	if running == 0 {
		return ready
	}
	need := e.overhead/(e.coreRate()*float64(e.Cores)) + e.leastRemaining()/e.workRate(running)
	if need > maxForecast {
		return min(ready, e.now+forecastStep)
	}
	return min(ready, e.now+max(int64(math.Ceil(need*1e9)), 1))
}
