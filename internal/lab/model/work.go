package model

import (
	"math"
	"time"
)

const (
	// maxStep is the longest time, in nanoseconds, for which the capacity is treated as constant.
	maxStep = int64(50 * time.Millisecond)
	// remainingTolerance is the work, in seconds, that a finished job may still have because of rounding errors.
	remainingTolerance = 1e-10
	// maxForecast is the longest time ahead for which Next computes the end of a job. For later ends, Next returns a
	// time forecastStep ahead.
	maxForecast  = 3600.0 // seconds
	forecastStep = int64(time.Second)
)

// Advance does the work up to now and returns the jobs that have ended since the last call.
func (e *Endpoint) Advance(now int64) []Done {
	e.advance(now)
	done := e.done
	e.done = nil
	return done
}

// advance does the work up to now. It keeps the jobs that end for the next call of Advance, because arrivals and
// samples advance the endpoint too and do not return them.
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

// coreRate returns the seconds of work that one core does in a second.
func (e *Endpoint) coreRate() float64 { return e.Speed * e.CapacityShare() * e.SpeedFactor }

// workRate returns the seconds of work that each running job gets in a second: at most one core, and less under load.
// running is the number of running jobs.
func (e *Endpoint) workRate(running int) float64 {
	rate := e.coreRate() * math.Min(1, float64(e.Cores)/float64(running))
	if over := float64(running)/float64(e.Cores) - e.SlowdownFrom; e.Slowdown > 0 && over > 0 {
		rate /= 1 + e.Slowdown*over
	}
	return rate
}

// runUntil does work until a time, or until the first job ends before it, and returns the jobs that have ended.
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

// runOverhead does overhead work on all cores for at most span seconds.
func (e *Endpoint) runOverhead(span float64) {
	rate := e.coreRate()
	done := math.Min(e.overhead, rate*float64(e.Cores)*span)
	e.overhead -= done
	elapsed := done / (rate * float64(e.Cores))
	e.load.busy += elapsed * float64(e.Cores)
	e.now += max(int64(elapsed*1e9), 1)
}

// finishJobs removes the jobs without remaining work and starts queued jobs in their slots. It returns the jobs that
// have finished and those that expired in the queue.
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

// startQueued starts queued jobs while there are free slots, and returns those that it drops because they have expired.
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

// running returns the number of jobs whose work has started; jobs that still wait in their slots do not count.
func (e *Endpoint) running() (n int) {
	for _, j := range e.jobs {
		if j.readyAt <= e.now {
			n++
		}
	}
	return n
}

// nextReady returns when the work of the next job that waits in its slot starts, or Never.
func (e *Endpoint) nextReady() int64 {
	next := int64(Never)
	for _, j := range e.jobs {
		if j.readyAt > e.now {
			next = min(next, j.readyAt)
		}
	}
	return next
}

// leastRemaining returns the smallest remaining work of a running job, in seconds.
func (e *Endpoint) leastRemaining() float64 {
	least := math.Inf(1)
	for _, j := range e.jobs {
		if j.readyAt <= e.now {
			least = math.Min(least, j.remaining)
		}
	}
	return least
}

// Next returns the latest time at which Advance has to be called again, or Never.
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
