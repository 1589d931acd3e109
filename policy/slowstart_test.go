package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fawnglade/internal/ewma"
)

func TestSlowStartShareSummedOverManyNodes(t *testing.T) {
	given, most := 0, 0.0
	for seed := range uint64(400) {
		b := newTestFleet(t, 20, nil)
		b.random = rand.New(rand.NewPCG(seed, 977))
		b.EndpointsUpdated(b.now, []EndpointInfo{{ID: 21, Weight: 1, StartedAt: b.now - 4e9}}, false)
		b.serve(8, respondPromptly)
		given += b.sentTo(21)
		most += 8 * 0.28 / 20 // what it surely can do four of twenty seconds after its start
	}
	if float64(given) < most/4 || float64(given) > most {
		t.Errorf("400 nodes with eight requests each gave it %d attempts, it surely can do %.0f", given, most)
	}
}

// Guards against a fleet that is mostly cold being used no further than its endpoints surely can: one whose answers
// show more earns more, up to twice; one that shows nothing, or that it is slow, earns what it did.
func TestSlowStartCreditFollowsMeasuredLatency(t *testing.T) {
	bound := 0.0
	earned := func(own ewma.Pair) float64 {
		b := newTestFleet(t, 4, nil)
		b.EndpointsUpdated(b.now, []EndpointInfo{{ID: 4, Pod: 1, Weight: 1, StartedAt: b.now}}, false)
		b.now += 5e9
		b.EndpointsUpdated(b.now, nil, false)
		b.serve(1, respondPromptly) // so that the cost of a request is known
		s := b.endpoints.byID[4]
		s.slowStartCredit, s.Latency = 0, own
		b.grantCreditForResponse(b.now, b.endpoints.byID[1], b.estimator.MeanWork)
		bound = 2 * b.slowStart.capacity(b.now, s) / 3 // of the even part of three warm ones
		return s.slowStartCredit
	}
	sure := earned(ewma.Pair{})
	quick := earned(ewma.Pair{FirstSum: 12, SecondSum: 0, Weight: 24})
	if slow := earned(ewma.Pair{FirstSum: 240, SecondSum: 0, Weight: 24}); sure <= 0 || slow != sure {
		t.Errorf("earns %g where nothing is known, %g where its answers are slow", sure, slow)
	}
	if quick <= 1.5*sure || quick > bound+1e-9 {
		t.Errorf("earns %g where its answers are quick, %g where nothing is known, bound %g", quick, sure, bound)
	}
	if few := earned(ewma.Pair{FirstSum: 0.5, SecondSum: 0, Weight: 1}); few != sure {
		t.Errorf("earns %g by a single answer, %g without", few, sure)
	}
}

// Guards against the first endpoints back after a loss of power being pushed over: hundreds of nodes that find none
// warm share their requests out among those few, whatever these can do.
func TestFirstEndpointsAfterOutageAreNotOverloaded(t *testing.T) {
	gained := func(nodes int) float64 {
		b := newTestFleet(
			t, 0, func(s *Settings) { s.NodeCount, s.SlowStartWindow, s.SlowStartMinCapacity = nodes, 20e9, 0.2 },
		)
		for id := EndpointID(1); id <= 4; id++ {
			b.EndpointsUpdated(b.now, []EndpointInfo{{ID: id, Weight: 1, StartedAt: b.now}}, false)
		}
		sum := 0.0
		for i := range 200 { // ten a second, that all get nothing
			s := b.endpoints.byID[1]
			s.slowStartCredit = 0
			b.RequestArrived(b.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: b.now + 1})
			if sum += s.slowStartCredit; i == 0 && s.slowStartCredit > 0.25 {
				t.Errorf("%g by one request", s.slowStartCredit)
			}
			b.now += 100 * ms
		}
		return sum / 20 // a second
	}
	one, many := gained(1), gained(300)
	// In the 20 s the sure part is 0.6 in the mean. A warm endpoint does minWarmConcurrency requests at a time, each taken
	// for a quarter of the latency objective.
	const mean = 0.125 // s
	if all := many * 300 * mean; all > minWarmConcurrency*0.6 {
		t.Errorf(
			"all nodes together give a cold endpoint %g of its time, no more than %g of what it surely does", all,
			minWarmConcurrency*0.6,
		)
	}
	if one < 4*many {
		t.Errorf("a node alone gives %g a second, one of 300 %g", one, many)
	}
}

// Guards against the first warm endpoints bearing all, and the cold ones starving as those fail: where few are warm
// arrivals count.
func TestSlowStartCreditSourceDependsOnWarmEndpoints(t *testing.T) {
	for _, warm := range []EndpointID{1, 5} {
		b := newTestFleet(t, int(warm), func(s *Settings) { s.NodeCount = 1 })
		for id := warm + 1; id <= 8; id++ {
			b.EndpointsUpdated(b.now, []EndpointInfo{{ID: id, Weight: 1, StartedAt: b.now}}, false)
		}
		b.now += 5e9
		b.EndpointsUpdated(b.now, nil, false)
		s, arrival, answer := b.endpoints.byID[8], 0.0, 0.0
		for i := range 10 {
			s.slowStartCredit = 0
			b.RequestArrived(b.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: b.now + 1})
			b.now += 50 * ms
			arrival += s.slowStartCredit
		}
		s.slowStartCredit = 0
		b.grantCreditForResponse(b.now, b.endpoints.byID[1], 1e6)
		answer = s.slowStartCredit
		if few := warm == 1; (arrival > 0) != few || (answer > 0) == few {
			t.Errorf("%d of 8 warm: %g by arrivals, %g by an answer", warm, arrival, answer)
		}
	}
}

func TestSlowStartCapacity(t *testing.T) {
	s := slowStart{window: 20 * time.Second, minCapacity: 0.2}
	started := Time(1e12)
	for _, c := range []struct {
		startedAt Time
		age       time.Duration
		want      float64
	}{
		{0, 0, 1},
		{started, 0, 0.2},
		{started, -time.Second, 0.2},
		{started, 10 * time.Second, 0.6},
		{started, 20 * time.Second, 1},
		{started, time.Hour, 1},
	} {
		ep := &endpoint{EndpointInfo: EndpointInfo{StartedAt: c.startedAt}}
		if got := s.capacity(started.Add(c.age), ep); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("started at %d, %v later: capacity %g, expected %g", c.startedAt, c.age, got, c.want)
		}
	}
}
