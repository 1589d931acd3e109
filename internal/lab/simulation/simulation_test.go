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

func runScenario(t *testing.T, s *scenario.Scenario, newDecider NewDecider) *trace.Trace {
	t.Helper()
	r, err := Run(context.Background(), Options{Scenario: s, Seed: s.Seed, NewDecider: newDecider})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// encodeTrace returns a trace as JSON, without the elapsed real time.
func encodeTrace(t *testing.T, r *trace.Trace) string {
	t.Helper()
	r.Elapsed = 0
	out, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// Guards against floating-point sums that depend on map order, and against state that concurrent runs share.
func TestSameSeedSameTrace(t *testing.T) {
	runOnce := func() string { return encodeTrace(t, runScenario(t, readScenario(t, "month-end", 20), NewBalancer)) }
	first := runOnce()
	before := runtime.GOMAXPROCS(8)
	defer runtime.GOMAXPROCS(before)
	results := make(chan string)
	for range 4 {
		go func() { results <- runOnce() }()
	}
	for range 4 {
		if <-results != first {
			t.Error("a run in parallel with others gives another trace than the same run alone")
		}
	}
}

func TestEventsAtSameTimeKeepOrder(t *testing.T) {
	var queue eventQueue
	var got []int
	for i := range 50 {
		queue.at(int64(i%3), func() {
			if got = append(got, i); i == 0 {
				queue.at(-5, func() { got = append(got, 100) }) // in the past: runs now, after the events that are already due
			}
		})
	}
	for queue.step(10) {
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
	if !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

// endlessTimers is a balancer that sets another timer for the current time whenever a timer fires.
type endlessTimers struct {
	Decider
	host policy.Effects
	past bool
}

func (e *endlessTimers) TimerFired(now policy.Time, cookie uint64) {
	if e.past {
		e.past = false
		e.host.SetTimer(now-1e9, cookie)
		return
	}
	e.host.SetTimer(now, cookie)
}

func TestEndlessTimersAreReported(t *testing.T) {
	_, err := Run(context.Background(), Options{
		Scenario: readScenario(t, "calm", 3), Seed: 1,
		NewDecider: func(node int, settings policy.Settings, seed uint64, effects policy.Effects, state ClusterState) Decider {
			d := NewBalancer(node, settings, seed, effects, state)
			if node != 1 {
				return d
			}
			return &endlessTimers{Decider: d, host: effects}
		},
	})
	if err == nil || !strings.HasPrefix(err.Error(), "node 1 at ") ||
		!strings.HasSuffix(err.Error(), "s of the run: aborted, because too many timers in one second were due immediately") {
		t.Errorf("got error %v, want that node 1 sets too many immediate timers", err)
	}
	if _, err := Run(context.Background(), Options{Scenario: readScenario(t, "calm", 3), Seed: 1, NewDecider: NewBalancer, MaxEvents: 1000}); err == nil {
		t.Error("a run with more than MaxEvents events ended without an error")
	}
}

// onePastTimer is a balancer that sets one timer in the past, when the first timer fires.
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
		node int, settings policy.Settings, seed uint64, effects policy.Effects, state ClusterState,
	) Decider {
		return &onePastTimer{Decider: NewBalancer(node, settings, seed, effects, state), host: effects}
	})
	if len(r.Violations) > 0 || countState(r, trace.Succeeded) < len(r.Outcomes)*99/100 {
		t.Errorf("got %d of %d operations succeeded and violations %v; want nearly all and none", countState(r, trace.Succeeded), len(r.Outcomes), r.Violations)
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

// A killed node loses the requests that it holds, and events that are scheduled for it are dropped. Neither may count
// as a violation of a rule.
func TestKilledNodeWithEventsInFlightViolatesNoRule(t *testing.T) {
	s := readScenario(t, "nodes-killed", 12)
	for at := range 30 {
		s.Faults = append(s.Faults, scenario.Fault{
			Kind: "kill", At: scenario.Duration(2e9 + int64(at)*2e8), For: 3e8, Nodes: []int{at % 12},
		})
	}
	r := runScenario(t, s, NewBalancer)
	if len(r.Violations) > 0 {
		t.Errorf("got violation %v, want none", r.Violations[0])
	}
	if n := countState(r, trace.Lost); n == 0 {
		t.Error("got no lost operations although nodes were killed 30 times")
	}
	if n := countState(r, trace.Pending); n > 0 {
		t.Errorf("got %d operations without an outcome, want 0", n)
	}
}

// Clock skew beyond all time limits must not matter: a node uses only its own clock, and the only times that it gets
// from others are the starts of endpoints.
func TestClockSkewViolatesNoRule(t *testing.T) {
	s := readScenario(t, "rolling-restart", 6)
	s.Nodes.ClockSkew = scenario.Duration(2e9)
	if r := runScenario(t, s, NewBalancer); len(r.Violations) > 0 || countState(r, trace.Succeeded) < len(r.Outcomes)*95/100 {
		t.Errorf("got %d of %d operations succeeded and violations %v; want nearly all and none", countState(r, trace.Succeeded), len(r.Outcomes), r.Violations)
	}
}

// The rule checker must find violations in simulated runs too: by a node that never sends requests to endpoints, and by
// one that sends each request twice.
func TestRuleCheckerFindsViolations(t *testing.T) {
	for rule, misbehave := range map[int]func(policy.Effects) policy.Effects{
		1: func(h policy.Effects) policy.Effects { return &neverSender{Effects: h} },
		2: func(h policy.Effects) policy.Effects { return &doubleSender{Effects: h} },
	} {
		r := runScenario(t, readScenario(t, "calm", 2), func(
			node int, settings policy.Settings, seed uint64, effects policy.Effects, state ClusterState,
		) Decider {
			return NewBalancer(node, settings, seed, misbehave(effects), state)
		})
		if len(r.Violations) == 0 || r.Violations[0].Rule != rule {
			t.Errorf("rule %d is violated by each request: got %d violations, want the first of that rule", rule, len(r.Violations))
		}
	}
}

// doubleSender sends each attempt twice.
type doubleSender struct{ policy.Effects }

func (t *doubleSender) Send(id policy.RequestID, s policy.EndpointID, wait time.Duration) {
	t.Effects.Send(id, s, wait)
	t.Effects.Send(id, s, wait)
}

// neverSender sends no attempts.
type neverSender struct{ policy.Effects }

func (s *neverSender) Send(policy.RequestID, policy.EndpointID, time.Duration) {}

// Health checks, gossip and membership all take place in a simulated run, and the run stays deterministic with them.
func TestGossipHealthChecksAndMembershipAreSimulated(t *testing.T) {
	s := readScenario(t, "fail-fast", 12)
	s.Nodes.Membership, s.Reports.HealthChecked = true, true
	var total trace.FleetActivity
	r := runScenario(t, s, NewBalancer)
	for _, second := range r.Activity {
		total.HealthChecks, total.Gossip, total.Members = total.HealthChecks+second.HealthChecks, total.Gossip+second.Gossip, total.Members+second.Members
	}
	if total.HealthChecks == 0 || total.Gossip == 0 || total.Members == 0 || len(r.Views) == 0 {
		t.Errorf(
			"got %d health checks, %d gossip messages, %d membership datagrams, %d views, want some of each", total.HealthChecks, total.Gossip, total.Members,
			len(r.Views),
		)
	}
	if again := runScenario(t, s, NewBalancer); encodeTrace(t, again) != encodeTrace(t, r) {
		t.Error("two runs with the same seed give different traces")
	}
}
