package simulation

import (
	"context"
	"encoding/json"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/policy"
)

func readScenario(t *testing.T, name string, nodes int) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("../../../lab/scenarios/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	if nodes > 0 {
		if err := s.WithNodes(nodes); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func runScenario(t *testing.T, s *scenario.Scenario, maker NewDecider) *trace.Trace {
	t.Helper()
	r, err := Run(context.Background(), Options{Scenario: s, Seed: s.Seed, NewDecider: maker})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// text is all that a day left behind but how long it took to play.
func encodeTrace(t *testing.T, r *trace.Trace) string {
	t.Helper()
	r.Elapsed = 0
	out, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// Guards against a float that hangs on the order of a map, and against anything shared between days.
func TestSameSeedSameTrace(t *testing.T) {
	day := func() string { return encodeTrace(t, runScenario(t, readScenario(t, "month-end", 20), NewBalancer)) }
	first := day()
	before := runtime.GOMAXPROCS(8)
	defer runtime.GOMAXPROCS(before)
	results := make(chan string)
	for range 4 {
		go func() { results <- day() }()
	}
	for range 4 {
		if <-results != first {
			t.Error("the same day played beside others is another")
		}
	}
}

func TestEventsAtSameTimeKeepOrder(t *testing.T) {
	var c eventQueue
	var came []int
	for i := range 50 {
		c.at(int64(i%3), func() {
			if came = append(came, i); i == 0 {
				c.at(-5, func() { came = append(came, 100) }) // in the past: now, after what is due now
			}
		})
	}
	for c.step(10) {
	}
	want := []int{}
	for at := range 3 {
		for i := at; i < 50; i += 3 {
			want = append(want, i)
		}
		if at == 0 {
			want = append(want, 100)
		}
	}
	if !slices.Equal(came, want) {
		t.Errorf("came %v, expected %v", came, want)
	}
}

// restless is the module, but asks to be woken at once whenever it is.
type endlessTimers struct {
	Decider
	host policy.Effects
	past bool
}

func (r *endlessTimers) TimerFired(now policy.Time, cookie uint64) {
	if r.past {
		r.past = false
		r.host.SetTimer(now-1e9, cookie)
		return
	}
	r.host.SetTimer(now, cookie)
}

func TestEndlessTimersAreReported(t *testing.T) {
	_, err := Run(context.Background(), Options{
		Scenario: readScenario(t, "calm", 3), Seed: 1,
		NewDecider: func(node int, set policy.Settings, seed uint64, host policy.Effects, see ClusterState) Decider {
			d := NewBalancer(node, set, seed, host, see)
			if node != 1 {
				return d
			}
			return &endlessTimers{Decider: d, host: host}
		},
	})
	if err == nil || !strings.HasPrefix(err.Error(), "node 1 asks at ") ||
		!strings.HasSuffix(err.Error(), "to be woken at once, over and over") {
		t.Errorf("ended with %v", err)
	}
	if _, err := Run(context.Background(), Options{Scenario: readScenario(t, "calm", 3), Seed: 1, NewDecider: NewBalancer, MaxEvents: 1000}); err == nil {
		t.Error("a day of more events than allowed came to its end")
	}
}

// once wakes in the past a single time and then is the module.
type onePastTimer struct {
	Decider
	host policy.Effects
	done bool
}

func (o *onePastTimer) TimerFired(now policy.Time, cookie uint64) {
	if !o.done {
		o.done = true
		o.host.SetTimer(now-5e9, cookie)
		return
	}
	o.Decider.TimerFired(now, cookie)
}

func TestTimerInPastFiresImmediately(t *testing.T) {
	r := runScenario(t, readScenario(t, "calm", 2), func(
		node int, set policy.Settings, seed uint64, host policy.Effects, see ClusterState,
	) Decider {
		return &onePastTimer{Decider: NewBalancer(node, set, seed, host, see), host: host}
	})
	if len(r.Violations) > 0 || countState(r, trace.Succeeded) < len(r.Outcomes)*99/100 {
		t.Errorf("%d of %d satisfied, breaks %v", countState(r, trace.Succeeded), len(r.Outcomes), r.Violations)
	}
}

func countState(r *trace.Trace, s trace.State) (n int) {
	for _, o := range r.Outcomes {
		if o.State == s {
			n++
		}
	}
	return n
}

// A node that dies takes what it holds with it, and what was on its way to it reaches nobody; no rule is broken by
// that.
func TestKilledNodeWithEventsInFlightViolatesNoRule(t *testing.T) {
	s := readScenario(t, "nodes-killed", 12)
	for at := range 30 {
		s.Faults = append(s.Faults, scenario.Fault{
			Kind: "kill", At: scenario.Duration(2e9 + int64(at)*2e8), For: 3e8, Nodes: []int{at % 12},
		})
	}
	r := runScenario(t, s, NewBalancer)
	if len(r.Violations) > 0 {
		t.Errorf("rules broken: %v", r.Violations[0])
	}
	if n := countState(r, trace.Lost); n == 0 {
		t.Error("nothing was lost with nodes that were killed 30 times")
	}
	if n := countState(r, trace.Pending); n > 0 {
		t.Errorf("%d tasks have no end", n)
	}
}

// Clocks of nodes that differ by more than any limit must not matter: a node goes by its own, and starts of servers
// are the one moment that it is told.
func TestClockSkewViolatesNoRule(t *testing.T) {
	s := readScenario(t, "rolling-restart", 6)
	s.Nodes.ClockSkew = scenario.Duration(2e9)
	if r := runScenario(t, s, NewBalancer); len(r.Violations) > 0 || countState(r, trace.Succeeded) < len(r.Outcomes)*95/100 {
		t.Errorf("%d of %d satisfied, breaks %v", countState(r, trace.Succeeded), len(r.Outcomes), r.Violations)
	}
}

// The judge has to be able to say no here as well: one that sends exclusive tasks twice, and one that keeps them.
func TestRuleCheckerFindsViolations(t *testing.T) {
	for rule, wrong := range map[int]func(policy.Effects) policy.Effects{
		1: func(h policy.Effects) policy.Effects { return &neverSender{Effects: h} },
		2: func(h policy.Effects) policy.Effects { return &doubleSender{Effects: h} },
	} {
		r := runScenario(t, readScenario(t, "calm", 2), func(
			node int, set policy.Settings, seed uint64, host policy.Effects, see ClusterState,
		) Decider {
			return NewBalancer(node, set, seed, wrong(host), see)
		})
		if len(r.Violations) == 0 || r.Violations[0].Rule != rule {
			t.Errorf("rule %d was broken all day; the judge found %d breaks", rule, len(r.Violations))
		}
	}
}

type doubleSender struct{ policy.Effects }

func (t *doubleSender) Send(id policy.RequestID, s policy.EndpointID, wait time.Duration) {
	t.Effects.Send(id, s, wait)
	t.Effects.Send(id, s, wait)
}

type neverSender struct{ policy.Effects }

func (s *neverSender) Send(policy.RequestID, policy.EndpointID, time.Duration) {}

// TestGossipHealthChecksAndMembershipAreSimulated has what nodes may say to one another, and ask of servers, be sent and heard.
func TestGossipHealthChecksAndMembershipAreSimulated(t *testing.T) {
	s := readScenario(t, "fail-fast", 12)
	s.Nodes.Membership, s.Reports.HealthChecked = true, true
	var all trace.FleetActivity
	r := runScenario(t, s, NewBalancer)
	for _, one := range r.Activity {
		all.HealthChecks, all.Gossip, all.Members = all.HealthChecks+one.HealthChecks, all.Gossip+one.Gossip, all.Members+one.Members
	}
	if all.HealthChecks == 0 || all.Gossip == 0 || all.Members == 0 || len(r.Views) == 0 {
		t.Errorf(
			"%d probes, %d news, %d datagrams of members, %d beliefs", all.HealthChecks, all.Gossip, all.Members,
			len(r.Views),
		)
	}
	if again := runScenario(t, s, NewBalancer); encodeTrace(t, again) != encodeTrace(t, r) {
		t.Error("not the same twice")
	}
}
