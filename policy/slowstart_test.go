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
		maxSent += 8 * 0.28 / 20 // its share of 20 endpoints, times its capacity 4 s into a slow start of 20 s
	}
	if float64(sent) < maxSent/4 || float64(sent) > maxSent {
		t.Errorf(
			"got %d attempts from 400 nodes with eight requests each, want a quarter of %.0f to all of them",
			sent, maxSent,
		)
	}
}

// Guards against using a mostly cold fleet only up to the lower bound of its capacity. An endpoint with fast responses
// earns up to twice as much credit; one without responses or with slow ones earns the credit of the lower bound.
func TestSlowStartCreditFollowsMeasuredLatency(t *testing.T) {
	maxCredit := 0.0
	creditFor := func(latency ewma.Pair) float64 {
		fleet := newTestFleet(t, 4, nil)
		fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 4, Pod: 1, Weight: 1, StartedAt: fleet.now}}, false)
		fleet.now += 5e9
		fleet.EndpointsUpdated(fleet.now, nil, false)
		fleet.serve(1, respondPromptly) // to measure the work of a request
		ep := fleet.endpoints.byID[4]
		ep.slowStartCredit, ep.Latency = 0, latency
		fleet.grantCreditForResponse(fleet.now, fleet.endpoints.byID[1], fleet.estimator.MeanWork)
		maxCredit = 2 * fleet.slowStart.capacity(fleet.now, ep) / 3 // of the even share of three warm endpoints
		return ep.slowStartCredit
	}
	unmeasured := creditFor(ewma.Pair{})
	quick := creditFor(ewma.Pair{FirstSum: 12, SecondSum: 0, Weight: 24})
	if slow := creditFor(ewma.Pair{FirstSum: 240, SecondSum: 0, Weight: 24}); unmeasured <= 0 || slow != unmeasured {
		t.Errorf(
			"got credit %g without responses and %g with slow ones, want the same and more than 0", unmeasured, slow,
		)
	}
	if quick <= 1.5*unmeasured || quick > maxCredit+1e-9 {
		t.Errorf(
			"got credit %g with fast responses, want at least 1.5 times %g (without responses) and at most %g",
			quick, unmeasured, maxCredit,
		)
	}
	if oneSample := creditFor(ewma.Pair{FirstSum: 0.5, SecondSum: 0, Weight: 1}); oneSample != unmeasured {
		t.Errorf("got credit %g with a single response and %g without, want the same", oneSample, unmeasured)
	}
}

// Guards against overloading the first endpoints that are back after a power outage: hundreds of nodes without any warm
// endpoint would divide all their requests among these few.
func TestFirstEndpointsAfterOutageAreNotOverloaded(t *testing.T) {
	creditPerSecond := func(nodes int) float64 {
		fleet := newTestFleet(
			t, 0, func(s *Settings) { s.NodeCount, s.SlowStartWindow, s.SlowStartMinCapacity = nodes, 20e9, 0.2 },
		)
		for id := EndpointID(1); id <= 4; id++ {
			fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: id, Weight: 1, StartedAt: fleet.now}}, false)
		}
		sum := 0.0
		for i := range 200 { // 10 requests per second, all given up
			ep := fleet.endpoints.byID[1]
			ep.slowStartCredit = 0
			fleet.RequestArrived(fleet.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: fleet.now + 1})
			if sum += ep.slowStartCredit; i == 0 && ep.slowStartCredit > 0.25 {
				t.Errorf("got credit %g for one request, want at most 0.25", ep.slowStartCredit)
			}
			fleet.now += 100 * ms
		}
		return sum / 20 // per second
	}
	oneNode, perNode := creditPerSecond(1), creditPerSecond(300)
	// Over the slow start of 20 s the mean capacity is 0.6. A warm endpoint is assumed to process minWarmConcurrency
	// requests at a time, each with a quarter of the latency objective as its work.
	const meanWorkSeconds = 0.125
	if concurrency := perNode * 300 * meanWorkSeconds; concurrency > minWarmConcurrency*0.6 {
		t.Errorf(
			"got %g concurrent requests at a cold endpoint from all nodes together, want at most %g", concurrency,
			minWarmConcurrency*0.6,
		)
	}
	if oneNode < 4*perNode {
		t.Errorf(
			"got credit %g per second with one node and %g for one of 300 nodes, want at least 4 times as much with one",
			oneNode, perNode,
		)
	}
}

// Guards against the first warm endpoints getting all requests, failing under them, and leaving the cold ones without
// credit: if few endpoints are warm, credit is granted for arrivals.
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
			t.Errorf(
				"%d of 8 endpoints warm: got credit %g for arrivals and %g for a response, want the former only if few are warm, else the latter",
				warm, byArrivals, byResponse,
			)
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
			t.Errorf("started at %d, %v later: got capacity %g, want %g", test.startedAt, test.age, got, test.want)
		}
	}
}
