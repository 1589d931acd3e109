package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// counted counts what is drawn.
type counted struct {
	rand.Source
	n int
}

func (c *counted) Uint64() uint64 { c.n++; return c.Source.Uint64() }

// Where next to nobody is fit the draw ends after its passes; it must not spin, nor miss the one.
func TestDrawDoesNotSpin(t *testing.T) {
	for name, spoil := range map[string]func(s *endpoint, i int, now Time){
		"just turned away": func(s *endpoint, i int, now Time) { s.backoffUntil = now + ms },
		"unfit": func(s *endpoint, i int, now Time) {
			s.health[0], s.inFlight = classHealth{ejected: true, retryAt: now + ms}, 1
		},
		"too late": func(s *endpoint, i int, now Time) { s.Latency.A, s.Latency.Weight = 1e6, 20 },
		"cold":     func(s *endpoint, i int, now Time) { s.StartedAt, s.slowStartCredit = now, 0 },
		"silent":   func(s *endpoint, i int, now Time) { s.inFlight, s.HasLatency, s.silentSince = 1, true, now-1e9 },
	} {
		for _, fit := range []int{0, 1} {
			p := New(benchSettings, 1, &lastSendRecorder{})
			now := Time(1e12)
			p.EndpointsUpdated(now, listOf(4096), true)
			p.estimator.MeanWork, p.estimator.HighLatency = 5e6, 2
			for i, s := range p.endpoints.all {
				if i >= fit {
					spoil(s, i, now)
				}
			}
			c := &counted{Source: rand.NewPCG(1, 2)}
			p.random = rand.New(c)
			s := p.selectEndpoint(now, anyTask(p, now))
			if (s != nil) != (fit == 1) || s != nil && s != p.endpoints.all[0] {
				t.Errorf("%s, %d fit: drew %v", name, fit, s)
			}
			if c.n > 4 {
				t.Errorf("%s, %d fit: %d numbers drawn, want four at most", name, fit, c.n)
			}
		}
	}
}

// What comes all at once: reports, another list, every server restarted, with 10,000 requests out.
func TestAllAtOnce(t *testing.T) {
	const n = 1024
	q := &lastSendRecorder{}
	set := benchSettings
	p := New(set, 1, q)
	now := Time(1e12)
	list := listOf(2 * n)
	p.EndpointsUpdated(now, list[:n], true)
	type out struct {
		id     RequestID
		server EndpointID
	}
	var outs []out
	arrive := func(count int) (sent int) {
		for i := range count {
			id := RequestID(fmt.Sprint(now, "-", i))
			q.sent = false
			if p.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms, CostHint: 5e6}); q.sent {
				outs = append(outs, out{id, q.server})
				sent++
			}
		}
		return sent
	}
	answer := func(load float64) {
		for _, o := range outs {
			p.AttemptEnded(now, AttemptResult{
				Request: o.id, Endpoint: o.server, Outcome: OutcomeSucceeded, Elapsed: 20 * ms, RequestDone: true,
				Report: LoadReport{Utilization: -1, QueueLength: load, ServiceTime: -1},
			})
		}
		outs = nil
	}
	if sent := arrive(10000); sent < 9000 {
		t.Fatalf("%d of 10,000 tasks sent to %d idle servers", sent, n)
	}
	now += 20 * ms
	answer(50)
	answer(0)
	arrive(2000)
	p.EndpointsUpdated(now, list[n:], true)
	if got := len(taking(p, now)); got != selectionWindow {
		t.Errorf("%d take part after another list, want a window of %d", got, selectionWindow)
	}
	if arrive(500); len(outs) < 2000 {
		t.Errorf("%d sent after another list", len(outs)-2000)
	}
	for _, o := range outs[2000:] {
		if p.endpoints.byID[o.server].State != StateActive {
			t.Fatalf("sent to %d, which is on the list no more", o.server)
		}
	}
	now += 20 * ms
	answer(1)
	again := list[n:]
	for i := range again {
		again[i].StartedAt = now
	}
	p.EndpointsUpdated(now, again, true)
	if got := len(taking(p, now)); got > n/10 {
		t.Errorf("%d of %d cold servers may be given a task at once", got, n)
	}
	given := map[EndpointID]int{}
	for range 50 {
		now += 20 * ms
		arrive(100)
		for _, o := range outs {
			given[o.server]++
		}
		answer(1)
	}
	for id, k := range given {
		if k > 8 {
			t.Errorf("cold server %d was given %d of 5,000 tasks, one in %d would be its even part", id, k, n)
		}
	}
	if len(p.requests.byID) != 0 {
		t.Errorf("%d tasks are held that have their end", len(p.requests.byID))
	}
}

// 100,000 requests held at once, then none.
func TestManyHeld(t *testing.T) {
	q := &lastSendRecorder{}
	p := New(benchSettings, 1, q)
	now := Time(1e12)
	p.EndpointsUpdated(now, listOf(512), true)
	servers := map[RequestID]EndpointID{}
	for i := range 100000 {
		id := RequestID(fmt.Sprint(i))
		q.sent = false
		if p.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms}); q.sent {
			servers[id] = q.server
		}
	}
	if len(p.requests.byID) != len(servers) || len(servers) < 90000 {
		t.Errorf("%d held, %d sent", len(p.requests.byID), len(servers))
	}
	for id, s := range servers {
		p.AttemptEnded(now+ms, AttemptResult{Request: id, Endpoint: s, Outcome: OutcomeSucceeded, Elapsed: ms, RequestDone: true})
	}
	if len(p.requests.byID) != 0 {
		t.Errorf("%d held after all have their end", len(p.requests.byID))
	}
}

// TestAColdFleetIsDividedToo has hundreds of nodes before a fleet that is cold as a whole: each draws from a part of it, so that its
// connections are used again.
func TestAColdFleetIsDividedToo(t *testing.T) {
	set := benchSettings
	set.NodeCount = 300
	p := New(set, 1, &lastSendRecorder{})
	now := Time(1e12)
	list := listOf(120)
	for i := range list {
		list[i].StartedAt = now
	}
	p.EndpointsUpdated(now, list, true)
	if got := len(p.subset.members); got != warmingUpPerWarm*p.subset.size || got > 40 {
		t.Errorf("one of 300 nodes draws from %d of 120 cold servers, want %d times %d", got, warmingUpPerWarm, p.subset.size)
	}
	for i := range list[:60] { // half of them were up long before
		list[i].StartedAt = 0
	}
	p.EndpointsUpdated(now, list, true)
	if warm := len(p.subset.members) - len(p.subset.warmingUp); warm < p.subset.size {
		t.Errorf("draws from %d warm ones, want %d", warm, p.subset.size)
	}
}
