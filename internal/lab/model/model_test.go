package model

import (
	"fmt"
	"math"
	"testing"
)

const millisecond = int64(1e6)

func testSpec() Spec {
	return Spec{Cores: 2, Speed: 1, Concurrency: 4, QueueLimit: 2, SlowStartCapacity: 0.25, SlowStartWindow: 10000 * millisecond, CrashMultiple: 3, CrashWindow: 1000 * millisecond}
}

const longAgo = math.MinInt64 / 2

// runJobs advances an endpoint until a time, whenever it is due. It returns the end of each job, or -1 for a job that
// expired in the queue.
func runJobs(e *Endpoint, until int64) map[int64]int64 {
	endTimes := map[int64]int64{}
	for {
		for _, d := range e.Advance(min(e.Next(), until)) {
			endTimes[d.Job.ID] = d.At
			if d.Expired {
				endTimes[d.Job.ID] = -1
			}
		}
		if e.Next() >= until {
			for _, d := range e.Advance(until) {
				endTimes[d.Job.ID] = d.At
			}
			return endTimes
		}
	}
}

func checkEndTime(t *testing.T, name string, got, want int64) {
	t.Helper()
	if d := got - want; d < -millisecond/10 || d > millisecond/10 {
		t.Errorf("%s ended at %.3f ms, want %.3f ms", name, float64(got)/1e6, float64(want)/1e6)
	}
}

// With two cores and three jobs of 10 ms, each job gets two thirds of a core.
func TestJobsShareCoresEqually(t *testing.T) {
	e := NewEndpoint(testSpec(), longAgo, 0, 1)
	for id := range int64(3) {
		e.Arrive(0, &Job{ID: id, Work: 10 * millisecond, Deadline: Never})
	}
	endTimes := runJobs(e, 100*millisecond)
	for id := range int64(3) {
		checkEndTime(t, fmt.Sprint("job ", id), endTimes[id], 15*millisecond)
	}
}

// Guards against a lost job end when an arrival, a new connection or a load sample advances the endpoint past it: one
// attempt in 200 never ended.
func TestJobEndsSurviveOtherCalls(t *testing.T) {
	e := NewEndpoint(testSpec(), longAgo, 0, 1)
	e.Arrive(0, &Job{ID: 1, Work: 5 * millisecond, Deadline: Never})
	e.Arrive(9*millisecond, &Job{ID: 2, Work: 5 * millisecond, Deadline: Never})
	e.ConnectionOpened(20 * millisecond)
	e.Sample(21 * millisecond)
	if endTimes := runJobs(e, 50*millisecond); len(endTimes) != 2 {
		t.Errorf("got end times %v, want those of 2 jobs", endTimes)
	}
}

func TestRejectsBeyondConcurrencyAndQueueLimit(t *testing.T) {
	e := NewEndpoint(testSpec(), longAgo, 0, 1)
	accepted := 0
	for id := range int64(10) {
		if ok, _ := e.Arrive(0, &Job{ID: id, Work: 10 * millisecond, Deadline: Never}); ok {
			accepted++
		}
	}
	if accepted != 6 || e.InFlight() != 6 {
		t.Errorf("got %d jobs accepted and %d in flight, want 6 of each: 4 running, 2 queued", accepted, e.InFlight())
	}
	if endTimes := runJobs(e, 1000*millisecond); len(endTimes) != 6 {
		t.Errorf("got %d jobs ended, want 6", len(endTimes))
	}
}

func TestDropsQueuedJobPastDeadline(t *testing.T) {
	spec := testSpec()
	spec.Concurrency, spec.DropExpired = 1, true
	e := NewEndpoint(spec, longAgo, 0, 1)
	e.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
	e.Arrive(0, &Job{ID: 2, Work: 10 * millisecond, Deadline: 5 * millisecond})
	if endTimes := runJobs(e, 100*millisecond); endTimes[2] != -1 {
		t.Errorf("a job that was queued past its deadline ended at %d, want it dropped (-1)", endTimes[2])
	}
}

func TestCancelJobByCancelEffect(t *testing.T) {
	for cancel, want := range map[CancelEffect][2]bool{CancelsNothing: {false, false}, CancelsQueued: {false, true}, CancelsRunning: {true, true}} {
		spec := testSpec()
		spec.Concurrency, spec.Cancel = 1, cancel
		e := NewEndpoint(spec, longAgo, 0, 1)
		e.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
		e.Arrive(0, &Job{ID: 2, Work: 10 * millisecond, Deadline: Never})
		queuedStopped, neverRan := e.CancelJob(millisecond, 2)
		runningStopped, _ := e.CancelJob(millisecond, 1)
		if got := [2]bool{runningStopped, queuedStopped}; got != want || neverRan != queuedStopped {
			t.Errorf("cancel effect %d: got running and queued job stopped %v, want %v, the queued one without having run", cancel, got, want)
		}
	}
}

func TestPauseDelaysRunningJobs(t *testing.T) {
	e := NewEndpoint(testSpec(), longAgo, 0, 1)
	e.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
	e.Pause(5*millisecond, 105*millisecond)
	checkEndTime(t, "job during a pause", runJobs(e, 200*millisecond)[1], 110*millisecond)
}

func TestSlowStartCapacityRisesLinearly(t *testing.T) {
	e := NewEndpoint(testSpec(), 0, 0, 1)
	if c := e.Capacity(); c != 0.5 {
		t.Errorf("got capacity %v at the start, want 0.5: a quarter of 2", c)
	}
	e.Advance(5000 * millisecond)
	if c := e.Capacity(); math.Abs(c-1.25) > 1e-9 {
		t.Errorf("got capacity %v half way through slow start, want 1.25", c)
	}
	e.Advance(10000 * millisecond)
	if c := e.Capacity(); c != 2 {
		t.Errorf("got capacity %v at the end of slow start, want 2", c)
	}
}

// An endpoint in slow start withstands three times its capacity for a second and no more. Rejected work counts too.
func TestOverloadInSlowStartCrashesEndpoint(t *testing.T) {
	load := func(each int64, every int64) (*Endpoint, *Crash) {
		e := NewEndpoint(testSpec(), 0, 0, 1)
		for at := int64(0); at < 1000*millisecond; at += every {
			if _, crash := e.Arrive(at, &Job{Work: each, Deadline: Never, Node: 3}); crash != nil {
				return e, crash
			}
		}
		return e, nil
	}
	if _, crash := load(10*millisecond, 10*millisecond); crash != nil {
		t.Errorf("the endpoint crashed under twice its capacity: %+v", crash)
	}
	e, crash := load(10*millisecond, 4*millisecond)
	if crash == nil || !e.HasCrashed() {
		t.Fatal("the endpoint did not crash under five times its capacity")
	}
	if crash.Work < 1.5 || crash.Work > 2 || crash.Arrivals[0].Node != 3 {
		t.Errorf("got a crash at %v s of work in a second, want 1.5 to 2 s (a little over 3 x 0.5), the first from node 3", crash.Work)
	}
	if warm := NewEndpoint(testSpec(), longAgo, 0, 1); warm.CapacityShare() != 1 {
		t.Error("an endpoint that started long ago has less than its full capacity, want all of it")
	}
}

func TestSampleReportsLoadSinceLastSample(t *testing.T) {
	e := NewEndpoint(testSpec(), longAgo, 0, 1)
	for id := range int64(5) {
		e.Arrive(0, &Job{ID: id, Work: 20 * millisecond, Deadline: Never})
	}
	if f := e.Sample(10 * millisecond); f.InFlight != 4 || f.Queue != 1 || math.Abs(f.Utilization-1) > 0.01 {
		t.Errorf("got load %+v, want 4 in flight, 1 queued, utilization 1", f)
	}
	e.Advance(200 * millisecond)
	if f := e.Sample(210 * millisecond); f.InFlight != 0 || f.ServiceTime < 30 {
		t.Errorf("got load %+v, want 0 in flight and a service time of at least 30 ms", f)
	}
}

func TestDeduplicatorForgetsAfterWindow(t *testing.T) {
	d := NewDeduplicator(100)
	if d.Seen(0, "a") || !d.Seen(99, "a") || d.Seen(100, "a") || !d.Seen(150, "a") {
		t.Error("want a key remembered for 100 ns from its first call of Seen, and no longer")
	}
}

func TestEndpointListChangesAfterVersion(t *testing.T) {
	l := NewEndpointList(40)
	l.Set(ListEntry{Endpoint: 2, State: Up})
	l.Set(ListEntry{Endpoint: 1, State: Up})
	l.Set(ListEntry{Endpoint: 2, State: Draining})
	l.Set(ListEntry{Endpoint: 1, State: Removed})
	if got := l.Complete(); len(got) != 1 || got[0].State != Draining {
		t.Errorf("got complete list %v, want endpoint 2 draining", got)
	}
	if got, complete := l.ChangesAfter(42); complete || len(got) != 2 || got[0].State != Draining || got[1].State != Removed {
		t.Errorf("changes after 42: got %v, complete %v; want the last state of both endpoints", got, complete)
	}
	for _, version := range []int64{0, 7, 99} {
		if _, complete := l.ChangesAfter(version); !complete {
			t.Errorf("changes after %d: got an incremental update, want the complete list, as the history lacks the version", version)
		}
	}
	if got, complete := l.ChangesAfter(44); complete || len(got) != 0 {
		t.Errorf("changes after the newest version: got %v, complete %v; want none", got, complete)
	}
}

// With a budget of N = 64 requests of mean work, an endpoint with ChanceSlack crashes at the 83rd request; without it,
// the slack is a twentieth of the budget or two requests. With N = 6,250 a twentieth exceeds what random arrivals
// explain.
func TestCrashSlackByRequestCount(t *testing.T) {
	requestsUntilCrash := func(work int64, chance bool) int {
		spec := testSpec()
		spec.MeanWork, spec.ChanceSlack, spec.SlowStartWindow = float64(work)/1e9, chance, 1e15 // constant capacity
		e := NewEndpoint(spec, 0, 0, 1)
		for n := 1; ; n++ {
			if _, crash := e.Arrive(0, &Job{Work: work, Deadline: Never}); crash != nil {
				if got := len(e.SlowStartArrivals()); got != n || e.SlowStartArrivals()[0].Budget != 1.5 {
					t.Errorf("got %d arrivals recorded, the first with a budget of %v s; want %d and 1.5 s", got, e.SlowStartArrivals()[0].Budget, n)
				}
				return n
			}
		}
	}
	for _, c := range []struct {
		work   int64
		chance bool
		want   int
	}{
		{1.5e9 / 64, true, 64 + 16 + 2 + 1},
		{1.5e9 / 64, false, 64 + 3 + 1},
		{1.5e9 / 16, false, 16 + 2 + 1},
		{240000, true, 6250 + 160 + 1},
		{240000, false, 6250 + 160 + 1},
	} {
		if got := requestsUntilCrash(c.work, c.chance); got != c.want {
			t.Errorf("requests of %d ns, ChanceSlack %v: got a crash at request %d, want at request %d", c.work, c.chance, got, c.want)
		}
	}
}
