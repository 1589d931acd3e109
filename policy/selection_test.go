package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fawnglade/internal/ewma"
)

// TestDrawFollowsTheFormula compares the frequencies of the draw with probabilities calculated by hand. For w of 1, 2
// and 4 the sum is 7, the paper's x (the sum divided by w) is 7, 3.5 and 1.75, and the probabilities (x divided by the
// sum of all x) are 4/7, 2/7 and 1/7.
func TestDrawFollowsTheFormula(t *testing.T) {
	balancer := New(Settings{}, 7, nil)
	weight1, weight2, weight4 := &endpoint{}, &endpoint{}, &endpoint{}
	count := map[*endpoint]int{}
	const draws = 70000
	for range draws {
		balancer.selector.candidates = append(balancer.selector.candidates[:0], weight4, weight1, weight2)
		balancer.selector.weights = append(balancer.selector.weights[:0], 4, 1, 2)
		count[balancer.selector.draw(balancer.random)]++
	}
	for ep, want := range map[*endpoint]float64{weight1: 4. / 7, weight2: 2. / 7, weight4: 1. / 7} {
		if got := float64(count[ep]) / draws; math.Abs(got-want) > 0.01 {
			t.Errorf("got frequency %.3f, want %.3f", got, want)
		}
	}
}

func TestSlowEndpointIsSelectedLess(t *testing.T) {
	fleet := newTestFleet(t, 4, nil)
	fleet.serve(400, func(endpoint EndpointID) (Outcome, time.Duration) {
		if endpoint == 1 {
			return OutcomeSucceeded, 120 * ms
		}
		return OutcomeSucceeded, 40 * ms
	})
	if n := fleet.sentTo(1); n > 40 {
		t.Errorf("got %d of 400 attempts at an endpoint three times as slow, want at most 40, its share by speed", n)
	}
}

func anyRequest(balancer *Balancer, now Time) *request {
	return &request{
		Request:           Request{Deadline: now + 900*ms, CostHint: 5e6},
		classSettings:     &balancer.settings.Classes[0],
		effectiveDeadline: now + 900*ms,
		objectiveAt:       now + 900*ms,
		delayGroups:       balancer.admission.delays.GroupsOf(0, 0),
	}
}

// candidateWeights returns the candidates of a selection and their weights w.
func candidateWeights(balancer *Balancer, now Time) map[*endpoint]float64 {
	weights := map[*endpoint]float64{}
	if ep, _ := balancer.selectEndpoint(now, anyRequest(balancer, now)); ep != nil {
		for i, candidate := range balancer.selector.candidates {
			weights[candidate] = balancer.selector.weights[i]
		}
	}
	return weights
}

// Checks w of one endpoint for each rule that adjusts it. The other endpoint has a load of 2 that has risen before. The
// wanted values were calculated by hand.
func TestEndpointWeight(t *testing.T) {
	const now = Time(1e12)
	for name, test := range map[string]struct {
		change func(ep *endpoint)
		want   float64
	}{
		"load above the mean": {func(ep *endpoint) { ep.Load = 4 }, 4},
		"idle":                {func(ep *endpoint) { ep.Load = 0 }, 1. / 20}, // a twentieth of the mean, which is 1
		"no report yet":       {func(ep *endpoint) { ep.Load, ep.HasReport = 0, false }, 2},
		"first rise two intervals ago, load below the mean": {
			func(ep *endpoint) { ep.Load, ep.firstRiseAt = 1, now.Add(-2*recalculationInterval) }, 1.5,
		},
		"first rise two intervals ago, load above the mean": {
			func(ep *endpoint) { ep.Load, ep.firstRiseAt = 6, now.Add(-2*recalculationInterval) }, 6,
		},
		"twice as slow": {func(ep *endpoint) { ep.Load, ep.Latency.FirstSum, ep.Latency.Weight = 1, 3, 1 }, 4},
		"in a pod twice as slow": {
			func(ep *endpoint) { ep.Load, ep.podLatency = 1, &ewma.Pair{FirstSum: 3, Weight: 1} }, 4,
		},
		"twice the size":         {func(ep *endpoint) { ep.Load, ep.Weight = 4, 2 }, 2},
		"two attempts in flight": {func(ep *endpoint) { ep.Load, ep.inFlight = 2, 2 }, 18},
		"in another zone":        {func(ep *endpoint) { ep.Load, ep.Zone = 2, 1 }, 12},
		"slow start with credit": {
			func(ep *endpoint) { ep.Load, ep.StartedAt, ep.slowStartCredit = 4, now-1e9, 1 }, 4. / 400,
		},
	} {
		settings := benchSettings
		settings.WeightIsSize = true
		balancer := New(settings, 1, &lastSendRecorder{})
		balancer.EndpointsUpdated(now, endpointList(2), true)
		for _, ep := range balancer.endpoints.all {
			ep.Zone, ep.Load, ep.HasReport, ep.firstRiseAt = 0, 2, true, 1
		}
		test.change(balancer.endpoints.all[0])
		if got := candidateWeights(balancer, now)[balancer.endpoints.all[0]]; math.Abs(got/test.want-1) > 1e-9 {
			t.Errorf("%s: got w %g, want %g", name, got, test.want)
		}
	}
}

// checkFrequencies compares how often each endpoint is drawn with its probability by a chi-square test. With k cells,
// chi-square has a mean of k-1 and exceeds it by five of its standard deviations about once in a million tests.
func checkFrequencies(t *testing.T, name string, balancer *Balancer, now Time, draws int) {
	t.Helper()
	req := anyRequest(balancer, now)
	want, sum := candidateWeights(balancer, now), 0.0
	for _, w := range want {
		sum += 1 / w
	}
	got := map[*endpoint]int{}
	for range draws {
		selected, _ := balancer.selectEndpoint(now, req)
		got[selected]++
	}
	chi2, cells, restWant, restGot := 0.0, 0.0, 0.0, 0
	add := func(want float64, got int) { chi2, cells = chi2+(float64(got)-want)*(float64(got)-want)/want, cells+1 }
	for ep, w := range want {
		if expected := float64(draws) / w / sum; expected >= 8 {
			add(expected, got[ep])
		} else {
			restWant, restGot = restWant+expected, restGot+got[ep]
		}
		delete(got, ep)
	}
	if restWant >= 8 {
		add(restWant, restGot)
	}
	for ep := range got {
		t.Errorf("%s: selected %v, want candidates only", name, ep)
	}
	if degreesOfFreedom := max(cells-1, 1); chi2 > degreesOfFreedom+5*math.Sqrt(2*degreesOfFreedom) {
		t.Errorf(
			"%s: got chi-square %.1f for %v cells, want at most five standard deviations above its mean", name, chi2, cells,
		)
	}
}

func TestSelectionIsProportionalToInverseWeight(t *testing.T) {
	for _, n := range []int{3, 20, selectionWindow} {
		random := rand.New(rand.NewPCG(uint64(n), 9))
		balancer := New(benchSettings, 3, &lastSendRecorder{})
		now := Time(1e12)
		balancer.EndpointsUpdated(now, endpointList(n), true)
		for _, ep := range balancer.endpoints.all {
			ep.Load, ep.LastReport, ep.HasReport, ep.firstRiseAt = math.Pow(10, 5*random.Float64()-3), 1, true, 1
			ep.inFlight = random.IntN(3)
		}
		checkFrequencies(t, "loads over five orders of magnitude", balancer, now, 40000)
		for i, ep := range balancer.endpoints.all {
			ep.backoffUntil = now + Time(i%(n/3+1))*ms
		}
		checkFrequencies(t, "most in backoff", balancer, now, 40000)
		for i, ep := range balancer.endpoints.all {
			if ep.backoffUntil = 0; i != n/2 {
				ep.backoffUntil = now + ms
			}
		}
		checkFrequencies(t, "one candidate", balancer, now, 200)
		balancer.endpoints.all[n/2].backoffUntil = now + ms
		if ep, _ := balancer.selectEndpoint(now, anyRequest(balancer, now)); ep != nil {
			t.Errorf("selected %v with all endpoints in backoff, want none", ep)
		}
	}
}

// In a fleet larger than the window, probabilities are still proportional to 1/w, since the window is independent of
// the load.
func TestSelectionInLargeFleetIsProportionalToInverseWeight(t *testing.T) {
	balancer := New(benchSettings, 3, &lastSendRecorder{})
	now := Time(1e12)
	balancer.EndpointsUpdated(now, endpointList(4096), true)
	random := rand.New(rand.NewPCG(1, 9))
	for _, ep := range balancer.endpoints.all {
		ep.Zone, ep.Load, ep.HasReport, ep.firstRiseAt = 0, float64(int(1)<<random.IntN(3)), true, 1
	}
	req, drawnByLoad, endpointsByLoad := anyRequest(balancer, now), map[float64]float64{}, map[float64]float64{}
	for _, ep := range balancer.endpoints.all {
		endpointsByLoad[ep.Load]++
	}
	for range 60000 {
		selected, _ := balancer.selectEndpoint(now, req)
		drawnByLoad[selected.Load]++
	}
	for _, w := range []float64{2, 4} {
		if ratio := drawnByLoad[1] / endpointsByLoad[1] / (drawnByLoad[w] / endpointsByLoad[w]); math.Abs(ratio/w-1) > 0.06 {
			t.Errorf("got endpoints with w 1 drawn %.2f times as often as those with w %g, want the ratio of the weights", ratio, w)
		}
	}
}

// countingSource counts the random numbers drawn.
type countingSource struct {
	rand.Source
	count int
}

func (c *countingSource) Uint64() uint64 { c.count++; return c.Source.Uint64() }

// Among many unusable endpoints, a selection must find the only usable one, if there is one, without drawing random
// endpoints until it hits it.
func TestSelectionDrawsFewRandomNumbers(t *testing.T) {
	for name, exclude := range map[string]func(ep *endpoint, i int, now Time){
		"in backoff": func(ep *endpoint, i int, now Time) { ep.backoffUntil = now + ms },
		"ejected": func(ep *endpoint, i int, now Time) {
			ep.health[0], ep.inFlight = classHealth{ejected: true, nextTrialAt: now + ms}, 1
		},
		"too slow": func(ep *endpoint, i int, now Time) { ep.Latency.FirstSum, ep.Latency.Weight = 1e6, 20 },
		"cold":     func(ep *endpoint, i int, now Time) { ep.StartedAt, ep.slowStartCredit = now, 0 },
		"silent":   func(ep *endpoint, i int, now Time) { ep.inFlight, ep.HasLatency, ep.lastActiveAt = 1, true, now-1e9 },
	} {
		for _, usable := range []int{0, 1} {
			balancer := New(benchSettings, 1, &lastSendRecorder{})
			now := Time(1e12)
			balancer.EndpointsUpdated(now, endpointList(4096), true)
			balancer.estimator.MeanWork, balancer.estimator.HighLatency = 5e6, 2
			for i, ep := range balancer.endpoints.all {
				if i >= usable {
					exclude(ep, i, now)
				}
			}
			source := &countingSource{Source: rand.NewPCG(1, 2)}
			balancer.random = rand.New(source)
			ep, _ := balancer.selectEndpoint(now, anyRequest(balancer, now))
			if (ep != nil) != (usable == 1) || ep != nil && ep != balancer.endpoints.all[0] {
				t.Errorf("%s, %d usable endpoints: selected %v, want the usable one or none", name, usable, ep)
			}
			if source.count > 4 {
				t.Errorf(
					"%s, %d usable endpoints: got %d random numbers drawn, want at most 4", name, usable, source.count,
				)
			}
		}
	}
}
