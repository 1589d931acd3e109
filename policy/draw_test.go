package policy

import (
	"fawnglade/internal/ewma"
	"math"
	"math/rand/v2"
	"testing"
)

func anyTask(p *Balancer, now Time) *task {
	return &task{
		Request: Request{Deadline: now + 900*ms, CostHint: 5e6}, category: &p.set.Classes[0], limit: now + 900*ms, soft: now + 900*ms,
		kinds: p.lags.Of(0, 0),
	}
}

// taking returns who takes part in a draw, with w.
func taking(p *Balancer, now Time) map[*server]float64 {
	out := map[*server]float64{}
	if p.draw(now, anyTask(p, now)) != nil {
		for i, s := range p.drawn {
			out[s] = p.weights[i]
		}
	}
	return out
}

// w of one server with each exception in turn, beside one with a load of 2 that has been heard to rise; worked by hand.
func TestWeightsWorkedByHand(t *testing.T) {
	const now = Time(1e12)
	for name, c := range map[string]struct {
		change func(s *server)
		want   float64
	}{
		"as reported":           {func(s *server) { s.Load = 4 }, 4},
		"idle":                  {func(s *server) { s.Load = 0 }, 1. / 20}, // a twentieth of the mean, which is 1
		"never heard":           {func(s *server) { s.Load, s.HasReport = 0, false }, 2},
		"rising for two":        {func(s *server) { s.Load, s.risingFrom = 1, now.Add(-2*recalculate) }, 1.5},
		"above while rising":    {func(s *server) { s.Load, s.risingFrom = 6, now.Add(-2*recalculate) }, 6},
		"twice as slow":         {func(s *server) { s.Load, s.Latency.A, s.Latency.Weight = 1, 3, 1 }, 4},
		"in a pod twice slower": {func(s *server) { s.Load, s.pod = 1, &ewma.Pair{A: 3, Weight: 1} }, 4},
		"of twice the size":     {func(s *server) { s.Load, s.Weight = 4, 2 }, 2},
		"with two out":          {func(s *server) { s.Load, s.out = 2, 2 }, 18},
		"in another zone":       {func(s *server) { s.Load, s.Zone = 2, 1 }, 12},
		"cold, and has earned":  {func(s *server) { s.Load, s.StartedAt, s.credit = 4, now-1e9, 1 }, 4. / 400},
	} {
		set := benchSettings
		set.WeightIsSize = true
		p := New(set, 1, &quiet{})
		p.EndpointsUpdated(now, listOf(2), true)
		for _, s := range p.servers {
			s.Zone, s.Load, s.HasReport, s.risingFrom = 0, 2, true, 1
		}
		c.change(p.servers[0])
		if got := taking(p, now)[p.servers[0]]; math.Abs(got/c.want-1) > 1e-9 {
			t.Errorf("%s: w is %g, want %g", name, got, c.want)
		}
	}
}

// worked compares how often each is drawn with 1/w over the sum, by chi-square: for k kinds
// of outcome it lies about k-1, and under that plus five of its own deviations all but once in a million.
func worked(t *testing.T, name string, p *Balancer, now Time, draws int) {
	t.Helper()
	task := anyTask(p, now)
	want, sum := taking(p, now), 0.0
	for _, w := range want {
		sum += 1 / w
	}
	got := map[*server]int{}
	for range draws {
		got[p.draw(now, task)]++
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

func TestDrawIsProportionalToOneOverW(t *testing.T) {
	for _, n := range []int{3, 20, window} {
		draw := rand.New(rand.NewPCG(uint64(n), 9))
		p := New(benchSettings, 3, &quiet{})
		now := Time(1e12)
		p.EndpointsUpdated(now, listOf(n), true)
		for _, s := range p.servers {
			s.Load, s.LastReport, s.HasReport, s.risingFrom = math.Pow(10, 5*draw.Float64()-3), 1, true, 1
			s.out = draw.IntN(3)
		}
		worked(t, "w over five orders", p, now, 40000)
		for i, s := range p.servers {
			s.fullTill = now + Time(i%(n/3+1))*ms
		}
		worked(t, "most just turned away", p, now, 40000)
		for i, s := range p.servers {
			if s.fullTill = 0; i != n/2 {
				s.fullTill = now + ms
			}
		}
		worked(t, "one left", p, now, 200)
		p.servers[n/2].fullTill = now + ms
		if s := p.draw(now, anyTask(p, now)); s != nil {
			t.Errorf("drew %v with none left", s)
		}
	}
}

// In a fleet larger than the window chances still fall as 1/w, since any part of the ranks is like any other.
func TestDrawInALargeFleetFollowsOneOverW(t *testing.T) {
	p := New(benchSettings, 3, &quiet{})
	now := Time(1e12)
	p.EndpointsUpdated(now, listOf(4096), true)
	draw := rand.New(rand.NewPCG(1, 9))
	for _, s := range p.servers {
		s.Zone, s.Load, s.HasReport, s.risingFrom = 0, float64(int(1)<<draw.IntN(3)), true, 1
	}
	task, got, have := anyTask(p, now), map[float64]float64{}, map[float64]float64{}
	for _, s := range p.servers {
		have[s.Load]++
	}
	for range 60000 {
		got[p.draw(now, task).Load]++
	}
	for _, w := range []float64{2, 4} {
		if ratio := got[1] / have[1] / (got[w] / have[w]); math.Abs(ratio/w-1) > 0.06 {
			t.Errorf("w of 1 is drawn %.2f times as often as w of %g", ratio, w)
		}
	}
}
