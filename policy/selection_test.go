package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fawnglade/internal/ewma"
)

// TestDrawFollowsTheFormula compares the draw's frequencies with shares worked by hand: for w of 1, 2 and 4
// the sum is 7, x is 7, 3.5 and 1.75, and the shares are 4/7, 2/7 and 1/7.
func TestDrawFollowsTheFormula(t *testing.T) {
	p := New(Settings{}, 7, nil)
	a, b, c := &endpoint{}, &endpoint{}, &endpoint{}
	count := map[*endpoint]int{}
	const draws = 70000
	for range draws {
		p.selector.candidates = append(p.selector.candidates[:0], c, a, b)
		p.selector.weights = append(p.selector.weights[:0], 4, 1, 2)
		count[p.selector.draw(p.random)]++
	}
	for s, want := range map[*endpoint]float64{a: 4. / 7, b: 2. / 7, c: 1. / 7} {
		if got := float64(count[s]) / draws; math.Abs(got-want) > 0.01 {
			t.Errorf("share %.3f, want %.3f", got, want)
		}
	}
}

func TestSlowEndpointIsSelectedLess(t *testing.T) {
	b := newTestFleet(t, 4, nil)
	b.serve(400, func(s EndpointID) (Outcome, time.Duration) {
		if s == 1 {
			return OutcomeSucceeded, 120 * ms
		}
		return OutcomeSucceeded, 40 * ms
	})
	if n := b.sentTo(1); n > 40 {
		t.Errorf("an endpoint three times as slow got %d of 400 attempts, by speed it would be 40", n)
	}
}

func anyRequest(p *Balancer, now Time) *request {
	return &request{
		Request:           Request{Deadline: now + 900*ms, CostHint: 5e6},
		classSettings:     &p.settings.Classes[0],
		effectiveDeadline: now + 900*ms,
		objectiveAt:       now + 900*ms,
		delayGroups:       p.admission.delays.GroupsOf(0, 0),
	}
}

// taking returns who takes part in a draw, with w.
func candidateWeights(p *Balancer, now Time) map[*endpoint]float64 {
	out := map[*endpoint]float64{}
	if ep, _ := p.selectEndpoint(now, anyRequest(p, now)); ep != nil {
		for i, s := range p.selector.candidates {
			out[s] = p.selector.weights[i]
		}
	}
	return out
}

// w of one endpoint with each exception in turn, beside one with a load of 2 that has been heard to rise; worked by
// hand.
func TestEndpointWeight(t *testing.T) {
	const now = Time(1e12)
	for name, c := range map[string]struct {
		change func(s *endpoint)
		want   float64
	}{
		"as reported": {func(s *endpoint) { s.Load = 4 }, 4},
		"idle":        {func(s *endpoint) { s.Load = 0 }, 1. / 20}, // a twentieth of the mean, which is 1
		"never heard": {func(s *endpoint) { s.Load, s.HasReport = 0, false }, 2},
		"rising for two": {
			func(s *endpoint) { s.Load, s.firstRiseAt = 1, now.Add(-2*recalculationInterval) }, 1.5,
		},
		"above while rising": {
			func(s *endpoint) { s.Load, s.firstRiseAt = 6, now.Add(-2*recalculationInterval) }, 6,
		},
		"twice as slow": {func(s *endpoint) { s.Load, s.Latency.FirstSum, s.Latency.Weight = 1, 3, 1 }, 4},
		"in a pod twice slower": {
			func(s *endpoint) { s.Load, s.podLatency = 1, &ewma.Pair{FirstSum: 3, Weight: 1} }, 4,
		},
		"of twice the size": {func(s *endpoint) { s.Load, s.Weight = 4, 2 }, 2},
		"with two out":      {func(s *endpoint) { s.Load, s.inFlight = 2, 2 }, 18},
		"in another zone":   {func(s *endpoint) { s.Load, s.Zone = 2, 1 }, 12},
		"cold, and has earned": {
			func(s *endpoint) { s.Load, s.StartedAt, s.slowStartCredit = 4, now-1e9, 1 }, 4. / 400,
		},
	} {
		set := benchSettings
		set.WeightIsSize = true
		p := New(set, 1, &lastSendRecorder{})
		p.EndpointsUpdated(now, endpointList(2), true)
		for _, s := range p.endpoints.all {
			s.Zone, s.Load, s.HasReport, s.firstRiseAt = 0, 2, true, 1
		}
		c.change(p.endpoints.all[0])
		if got := candidateWeights(p, now)[p.endpoints.all[0]]; math.Abs(got/c.want-1) > 1e-9 {
			t.Errorf("%s: w is %g, want %g", name, got, c.want)
		}
	}
}

// worked compares how often each is drawn with 1/w over the sum, by chi-square: for k kinds
// of outcome it lies about k-1, and under that plus five of its own deviations all but once in a million.
func checkFrequencies(t *testing.T, name string, p *Balancer, now Time, draws int) {
	t.Helper()
	req := anyRequest(p, now)
	want, sum := candidateWeights(p, now), 0.0
	for _, w := range want {
		sum += 1 / w
	}
	got := map[*endpoint]int{}
	for range draws {
		ep, _ := p.selectEndpoint(now, req)
		got[ep]++
	}
	chi, kinds, restWant, restGot := 0.0, 0.0, 0.0, 0
	add := func(want float64, got int) { chi, kinds = chi+(float64(got)-want)*(float64(got)-want)/want, kinds+1 }
	for s, w := range want {
		if e := float64(draws) / w / sum; e >= 8 {
			add(e, got[s])
		} else {
			restWant, restGot = restWant+e, restGot+got[s]
		}
		delete(got, s)
	}
	if restWant >= 8 {
		add(restWant, restGot)
	}
	for s := range got {
		t.Errorf("%s: drew %v, who does not take part", name, s)
	}
	if free := max(kinds-1, 1); chi > free+5*math.Sqrt(2*free) {
		t.Errorf("%s: chi-square %.1f over %v kinds of outcome", name, chi, kinds)
	}
}

func TestSelectionIsProportionalToInverseWeight(t *testing.T) {
	for _, n := range []int{3, 20, selectionWindow} {
		draw := rand.New(rand.NewPCG(uint64(n), 9))
		p := New(benchSettings, 3, &lastSendRecorder{})
		now := Time(1e12)
		p.EndpointsUpdated(now, endpointList(n), true)
		for _, s := range p.endpoints.all {
			s.Load, s.LastReport, s.HasReport, s.firstRiseAt = math.Pow(10, 5*draw.Float64()-3), 1, true, 1
			s.inFlight = draw.IntN(3)
		}
		checkFrequencies(t, "w over five orders", p, now, 40000)
		for i, s := range p.endpoints.all {
			s.backoffUntil = now + Time(i%(n/3+1))*ms
		}
		checkFrequencies(t, "most just rejected", p, now, 40000)
		for i, s := range p.endpoints.all {
			if s.backoffUntil = 0; i != n/2 {
				s.backoffUntil = now + ms
			}
		}
		checkFrequencies(t, "one left", p, now, 200)
		p.endpoints.all[n/2].backoffUntil = now + ms
		if s, _ := p.selectEndpoint(now, anyRequest(p, now)); s != nil {
			t.Errorf("drew %v with none left", s)
		}
	}
}

// In a fleet larger than the window chances still fall as 1/w, since any part of the ranks is like any other.
func TestSelectionInLargeFleetIsProportionalToInverseWeight(t *testing.T) {
	p := New(benchSettings, 3, &lastSendRecorder{})
	now := Time(1e12)
	p.EndpointsUpdated(now, endpointList(4096), true)
	draw := rand.New(rand.NewPCG(1, 9))
	for _, s := range p.endpoints.all {
		s.Zone, s.Load, s.HasReport, s.firstRiseAt = 0, float64(int(1)<<draw.IntN(3)), true, 1
	}
	req, got, have := anyRequest(p, now), map[float64]float64{}, map[float64]float64{}
	for _, s := range p.endpoints.all {
		have[s.Load]++
	}
	for range 60000 {
		ep, _ := p.selectEndpoint(now, req)
		got[ep.Load]++
	}
	for _, w := range []float64{2, 4} {
		if ratio := got[1] / have[1] / (got[w] / have[w]); math.Abs(ratio/w-1) > 0.06 {
			t.Errorf("w of 1 is drawn %.2f times as often as w of %g", ratio, w)
		}
	}
}

// counted counts what is drawn.
type countingSource struct {
	rand.Source
	count int
}

func (c *countingSource) Uint64() uint64 { c.count++; return c.Source.Uint64() }

// Where next to nobody is fit the draw ends after its passes; it must not spin, nor miss the one.
func TestSelectionDrawsFewRandomNumbers(t *testing.T) {
	for name, spoil := range map[string]func(s *endpoint, i int, now Time){
		"just rejected": func(s *endpoint, i int, now Time) { s.backoffUntil = now + ms },
		"ejected": func(s *endpoint, i int, now Time) {
			s.health[0], s.inFlight = classHealth{ejected: true, nextTrialAt: now + ms}, 1
		},
		"too late": func(s *endpoint, i int, now Time) { s.Latency.FirstSum, s.Latency.Weight = 1e6, 20 },
		"cold":     func(s *endpoint, i int, now Time) { s.StartedAt, s.slowStartCredit = now, 0 },
		"silent":   func(s *endpoint, i int, now Time) { s.inFlight, s.HasLatency, s.lastActiveAt = 1, true, now-1e9 },
	} {
		for _, fit := range []int{0, 1} {
			p := New(benchSettings, 1, &lastSendRecorder{})
			now := Time(1e12)
			p.EndpointsUpdated(now, endpointList(4096), true)
			p.estimator.MeanWork, p.estimator.HighLatency = 5e6, 2
			for i, s := range p.endpoints.all {
				if i >= fit {
					spoil(s, i, now)
				}
			}
			c := &countingSource{Source: rand.NewPCG(1, 2)}
			p.random = rand.New(c)
			s, _ := p.selectEndpoint(now, anyRequest(p, now))
			if (s != nil) != (fit == 1) || s != nil && s != p.endpoints.all[0] {
				t.Errorf("%s, %d fit: drew %v", name, fit, s)
			}
			if c.count > 4 {
				t.Errorf("%s, %d fit: %d numbers drawn, want four at most", name, fit, c.count)
			}
		}
	}
}
