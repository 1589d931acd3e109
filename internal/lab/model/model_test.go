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

// drive advances a server by its own wishes and tells when each job ended.
func runJobs(s *Endpoint, until int64) map[int64]int64 {
	ends := map[int64]int64{}
	for {
		for _, d := range s.Advance(min(s.Next(), until)) {
			ends[d.Job.ID] = d.At
			if d.Expired {
				ends[d.Job.ID] = -1
			}
		}
		if s.Next() >= until {
			for _, d := range s.Advance(until) {
				ends[d.Job.ID] = d.At
			}
			return ends
		}
	}
}

func checkEndTime(t *testing.T, what string, got, want int64) {
	t.Helper()
	if d := got - want; d < -millisecond/10 || d > millisecond/10 {
		t.Errorf("%s: %.3f ms, want %.3f", what, float64(got)/1e6, float64(want)/1e6)
	}
}

// Two cores, three tasks of 10 ms: each gets two thirds of a core.
func TestJobsShareCoresEqually(t *testing.T) {
	s := NewEndpoint(testSpec(), longAgo, 0, 1)
	for id := range int64(3) {
		s.Arrive(0, &Job{ID: id, Work: 10 * millisecond, Deadline: Never})
	}
	ends := runJobs(s, 100*millisecond)
	for id := range int64(3) {
		checkEndTime(t, fmt.Sprint("task ", id), ends[id], 15*millisecond)
	}
}

// Guards against ends that are lost because something else advanced the server: one hand-off in 200 was.
func TestJobEndsSurviveOtherCalls(t *testing.T) {
	s := NewEndpoint(testSpec(), longAgo, 0, 1)
	s.Arrive(0, &Job{ID: 1, Work: 5 * millisecond, Deadline: Never})
	s.Arrive(9*millisecond, &Job{ID: 2, Work: 5 * millisecond, Deadline: Never})
	s.ConnectionOpened(20 * millisecond)
	s.Sample(21 * millisecond)
	if ends := runJobs(s, 50*millisecond); len(ends) != 2 {
		t.Errorf("ends %v, want those of both", ends)
	}
}

func TestRejectsBeyondConcurrencyAndQueueLimit(t *testing.T) {
	s := NewEndpoint(testSpec(), longAgo, 0, 1)
	accepted := 0
	for id := range int64(10) {
		if ok, _ := s.Arrive(0, &Job{ID: id, Work: 10 * millisecond, Deadline: Never}); ok {
			accepted++
		}
	}
	if accepted != 6 || s.InFlight() != 6 {
		t.Errorf("%d accepted, %d held, want 6 of each: four places, two waiting", accepted, s.InFlight())
	}
	if ends := runJobs(s, 1000*millisecond); len(ends) != 6 {
		t.Errorf("%d ended, want 6", len(ends))
	}
}

func TestDropsQueuedJobPastDeadline(t *testing.T) {
	k := testSpec()
	k.Concurrency, k.DropExpired = 1, true
	s := NewEndpoint(k, longAgo, 0, 1)
	s.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
	s.Arrive(0, &Job{ID: 2, Work: 10 * millisecond, Deadline: 5 * millisecond})
	if ends := runJobs(s, 100*millisecond); ends[2] != -1 {
		t.Errorf("a task that waited past its time ended at %d, want it turned away", ends[2])
	}
}

func TestCancelJobByCancelEffect(t *testing.T) {
	for cancel, want := range map[CancelEffect][2]bool{CancelsNothing: {false, false}, CancelsQueued: {false, true}, CancelsRunning: {true, true}} {
		k := testSpec()
		k.Concurrency, k.Cancel = 1, cancel
		s := NewEndpoint(k, longAgo, 0, 1)
		s.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
		s.Arrive(0, &Job{ID: 2, Work: 10 * millisecond, Deadline: Never})
		waiting, never := s.CancelJob(millisecond, 2)
		work, _ := s.CancelJob(millisecond, 1)
		if got := [2]bool{work, waiting}; got != want || never != waiting {
			t.Errorf("cancel %d stops work, waiting: %v, want %v", cancel, got, want)
		}
	}
}

func TestPauseDelaysRunningJobs(t *testing.T) {
	s := NewEndpoint(testSpec(), longAgo, 0, 1)
	s.Arrive(0, &Job{ID: 1, Work: 10 * millisecond, Deadline: Never})
	s.Pause(5*millisecond, 105*millisecond)
	checkEndTime(t, "task over a pause", runJobs(s, 200*millisecond)[1], 110*millisecond)
}

func TestSlowStartCapacityRisesLinearly(t *testing.T) {
	s := NewEndpoint(testSpec(), 0, 0, 1)
	if c := s.Capacity(); c != 0.5 {
		t.Errorf("capacity at the start %v, want a quarter of 2", c)
	}
	s.Advance(5000 * millisecond)
	if c := s.Capacity(); math.Abs(c-1.25) > 1e-9 {
		t.Errorf("capacity half way %v, want 1.25", c)
	}
	s.Advance(10000 * millisecond)
	if c := s.Capacity(); c != 2 {
		t.Errorf("capacity at the end %v, want 2", c)
	}
}

// A cold server takes three times its capacity for a second and no more; what it turns away pushes too.
func TestOverloadInSlowStartCrashesEndpoint(t *testing.T) {
	push := func(each int64, every int64) (*Endpoint, *Crash) {
		s := NewEndpoint(testSpec(), 0, 0, 1)
		for at := int64(0); at < 1000*millisecond; at += every {
			if _, fall := s.Arrive(at, &Job{Work: each, Deadline: Never, Node: 3}); fall != nil {
				return s, fall
			}
		}
		return s, nil
	}
	if _, fall := push(10*millisecond, 10*millisecond); fall != nil {
		t.Errorf("fell over under twice its capacity: %+v", fall)
	}
	s, fall := push(10*millisecond, 4*millisecond)
	if fall == nil || !s.HasCrashed() {
		t.Fatal("did not fall over under five times its capacity")
	}
	if fall.Work < 1.5 || fall.Work > 2 || fall.Arrivals[0].Node != 3 {
		t.Errorf("fell at %v s of work in a second, want a little over 3 x 0.5", fall.Work)
	}
	if warm := NewEndpoint(testSpec(), longAgo, 0, 1); warm.CapacityShare() != 1 {
		t.Error("a server that started long ago is not warm")
	}
}

func TestSampleReportsLoadSinceLastSample(t *testing.T) {
	s := NewEndpoint(testSpec(), longAgo, 0, 1)
	for id := range int64(5) {
		s.Arrive(0, &Job{ID: id, Work: 20 * millisecond, Deadline: Never})
	}
	if f := s.Sample(10 * millisecond); f.InFlight != 4 || f.Queue != 1 || math.Abs(f.Utilization-1) > 0.01 {
		t.Errorf("figures %+v, want 4 held, 1 waiting, both cores in use", f)
	}
	s.Advance(200 * millisecond)
	if f := s.Sample(210 * millisecond); f.InFlight != 0 || f.ServiceTime < 30 {
		t.Errorf("figures %+v, want nothing held and the time that tasks took", f)
	}
}

func TestDeduplicatorForgetsAfterWindow(t *testing.T) {
	m := NewDeduplicator(100)
	if m.Seen(0, "a") || !m.Seen(99, "a") || m.Seen(100, "a") || !m.Seen(150, "a") {
		t.Error("a ticket is remembered from its first time for the span, and not longer")
	}
}

func TestEndpointListChangesAfterVersion(t *testing.T) {
	r := NewEndpointList(40)
	r.Set(ListEntry{Endpoint: 2, State: Up})
	r.Set(ListEntry{Endpoint: 1, State: Up})
	r.Set(ListEntry{Endpoint: 2, State: Draining})
	r.Set(ListEntry{Endpoint: 1, State: Removed})
	if got := r.Complete(); len(got) != 1 || got[0].State != Draining {
		t.Errorf("whole list %v, want server 2 draining", got)
	}
	if got, whole := r.ChangesAfter(42); whole || len(got) != 2 || got[0].State != Draining || got[1].State != Removed {
		t.Errorf("after 42: %v %v, want the last state of both", got, whole)
	}
	for _, version := range []int64{0, 7, 99} {
		if _, whole := r.ChangesAfter(version); !whole {
			t.Errorf("after %d: not the whole list, though nobody can tell what has changed", version)
		}
	}
	if got, whole := r.ChangesAfter(44); whole || len(got) != 0 {
		t.Errorf("after the newest: %v %v, want nothing", got, whole)
	}
}

// A budget of N = 64 requests of mean work falls at the 83rd where chance counts, at a twentieth or two requests over it elsewhere; with
// one of N = 6,250 a twentieth is more than chance.
func TestCrashSlackByRequestCount(t *testing.T) {
	falls := func(work int64, chance bool) int {
		k := testSpec()
		k.MeanWork, k.ChanceSlack, k.SlowStartWindow = float64(work)/1e9, chance, 1e15 // as cold all through
		s := NewEndpoint(k, 0, 0, 1)
		for n := 1; ; n++ {
			if _, fall := s.Arrive(0, &Job{Work: work, Deadline: Never}); fall != nil {
				if got := len(s.SlowStartArrivals()); got != n || s.SlowStartArrivals()[0].Budget != 1.5 {
					t.Errorf("%d pushes kept with a budget of %v s, want all %d and 1.5 s", got, s.SlowStartArrivals()[0].Budget, n)
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
		if got := falls(c.work, c.chance); got != c.want {
			t.Errorf("requests of %d ns, by chance %v: fell at the %d., want the %d.", c.work, c.chance, got, c.want)
		}
	}
}
