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
	sent, maxSent := 0, 0.0
	for seed := range uint64(400) {
		fleet := newTestFleet(t, 20, nil)
		fleet.random = rand.New(rand.NewPCG(seed, 977))
		fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 21, Weight: 1, StartedAt: fleet.now - 4e9}}, false)
		fleet.serve(8, respondPromptly)
		sent += fleet.sentTo(21)
		maxSent += 8 * 0.28 / 20 // what it surely can do four of twenty seconds after its start
	}
	if float64(sent) < maxSent/4 || float64(sent) > maxSent {
		t.Errorf("400 nodes with eight requests each gave it %d attempts, it surely can do %.0f", sent, maxSent)
	}
}

// Guards against a fleet that is mostly cold being used no further than its endpoints surely can: one whose answers
// show more earns more, up to twice; one that shows nothing, or that it is slow, earns what it did.
func TestSlowStartCreditFollowsMeasuredLatency(t *testing.T) {
	maxCredit := 0.0
	creditFor := func(latency ewma.Pair) float64 {
		fleet := newTestFleet(t, 4, nil)
		fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 4, Pod: 1, Weight: 1, StartedAt: fleet.now}}, false)
		fleet.now += 5e9
		fleet.EndpointsUpdated(fleet.now, nil, false)
		fleet.serve(1, respondPromptly) // so that the cost of a request is known
		ep := fleet.endpoints.byID[4]
		ep.slowStartCredit, ep.Latency = 0, latency
		fleet.grantCreditForResponse(fleet.now, fleet.endpoints.byID[1], fleet.estimator.MeanWork)
		maxCredit = 2 * fleet.slowStart.capacity(fleet.now, ep) / 3 // of the even part of three warm ones
		return ep.slowStartCredit
	}
	unmeasured := creditFor(ewma.Pair{})
	quick := creditFor(ewma.Pair{FirstSum: 12, SecondSum: 0, Weight: 24})
	if slow := creditFor(ewma.Pair{FirstSum: 240, SecondSum: 0, Weight: 24}); unmeasured <= 0 || slow != unmeasured {
		t.Errorf("earns %g where nothing is known, %g where its answers are slow", unmeasured, slow)
	}
	if quick <= 1.5*unmeasured || quick > maxCredit+1e-9 {
		t.Errorf("earns %g where its answers are quick, %g where nothing is known, bound %g", quick, unmeasured, maxCredit)
	}
	if oneSample := creditFor(ewma.Pair{FirstSum: 0.5, SecondSum: 0, Weight: 1}); oneSample != unmeasured {
		t.Errorf("earns %g by a single answer, %g without", oneSample, unmeasured)
	}
}

// Guards against the first endpoints back after a loss of power being pushed over: hundreds of nodes that find none
// warm share their requests out among those few, whatever these can do.
func TestFirstEndpointsAfterOutageAreNotOverloaded(t *testing.T) {
	creditPerSecond := func(nodes int) float64 {
		fleet := newTestFleet(
			t, 0, func(s *Settings) { s.NodeCount, s.SlowStartWindow, s.SlowStartMinCapacity = nodes, 20e9, 0.2 },
		)
		for id := EndpointID(1); id <= 4; id++ {
			fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: id, Weight: 1, StartedAt: fleet.now}}, false)
		}
		sum := 0.0
		for i := range 200 { // ten a second, that all get nothing
			ep := fleet.endpoints.byID[1]
			ep.slowStartCredit = 0
			fleet.RequestArrived(fleet.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: fleet.now + 1})
			if sum += ep.slowStartCredit; i == 0 && ep.slowStartCredit > 0.25 {
				t.Errorf("%g by one request", ep.slowStartCredit)
			}
			fleet.now += 100 * ms
		}
		return sum / 20 // a second
	}
	oneNode, perNode := creditPerSecond(1), creditPerSecond(300)
	// In the 20 s the sure part is 0.6 in the mean. A warm endpoint does minWarmConcurrency requests at a time, each taken
	// for a quarter of the latency objective.
	const meanWorkSeconds = 0.125 // s
	if concurrency := perNode * 300 * meanWorkSeconds; concurrency > minWarmConcurrency*0.6 {
		t.Errorf(
			"all nodes together give a cold endpoint %g of its time, no more than %g of what it surely does", concurrency,
			minWarmConcurrency*0.6,
		)
	}
	if oneNode < 4*perNode {
		t.Errorf("a node alone gives %g a second, one of 300 %g", oneNode, perNode)
	}
}

// Guards against the first warm endpoints bearing all, and the cold ones starving as those fail: where few are warm
// arrivals count.
func TestSlowStartCreditSourceDependsOnWarmEndpoints(t *testing.T) {
	for _, warm := range []EndpointID{1, 5} {
		fleet := newTestFleet(t, int(warm), func(s *Settings) { s.NodeCount = 1 })
		for id := warm + 1; id <= 8; id++ {
			fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: id, Weight: 1, StartedAt: fleet.now}}, false)
		}
		fleet.now += 5e9
		fleet.EndpointsUpdated(fleet.now, nil, false)
		ep, byArrivals, byResponse := fleet.endpoints.byID[8], 0.0, 0.0
		for i := range 10 {
			ep.slowStartCredit = 0
			fleet.RequestArrived(fleet.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: fleet.now + 1})
			fleet.now += 50 * ms
			byArrivals += ep.slowStartCredit
		}
		ep.slowStartCredit = 0
		fleet.grantCreditForResponse(fleet.now, fleet.endpoints.byID[1], 1e6)
		byResponse = ep.slowStartCredit
		if fewWarm := warm == 1; (byArrivals > 0) != fewWarm || (byResponse > 0) == fewWarm {
			t.Errorf("%d of 8 warm: %g by arrivals, %g by an answer", warm, byArrivals, byResponse)
		}
	}
}

func TestSlowStartCapacity(t *testing.T) {
	s := slowStart{window: 20 * time.Second, minCapacity: 0.2}
	started := Time(1e12)
	for _, test := range []struct {
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
		ep := &endpoint{EndpointInfo: EndpointInfo{StartedAt: test.startedAt}}
		if got := s.capacity(started.Add(test.age), ep); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("started at %d, %v later: capacity %g, expected %g", test.startedAt, test.age, got, test.want)
		}
	}
}
