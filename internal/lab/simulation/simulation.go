// Package simulation runs a scenario in virtual time, as a discrete event simulation. It connects the lab's models of
// endpoints, discovery, network, clients and faults with one instance of the decisions per node. A run is
// deterministic: it reads no clock, starts no goroutine and does not depend on map order, so the same scenario and seed
// give the same trace, byte for byte.
package simulation

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
	"fawnglade/policy"
)

// Decider makes the decisions of one node: a policy.Balancer or a baseline. Times are those of the node's own clock.
type Decider interface {
	EndpointsUpdated(now policy.Time, list []policy.EndpointInfo, complete bool)
	WatchFailed(now policy.Time)
	RequestArrived(now policy.Time, t policy.Request)
	AttemptEnded(now policy.Time, a policy.AttemptResult)
	ClientGone(now policy.Time, id policy.RequestID)
	TimerFired(now policy.Time, cookie uint64)
	HealthChecked(now policy.Time, id policy.EndpointID, o policy.Outcome, r policy.LoadReport)
	GossipReceived(now policy.Time, n policy.GossipMessage)
}

// ClusterState gives baselines access to the true state of all endpoints.
type ClusterState interface {
	// Load returns the number of attempts at an endpoint, its capacity in nanoseconds of work per second, and whether
	// it is up and reachable from a node.
	Load(node int, id policy.EndpointID) (inFlight int, capacity float64, up bool)
	// RoundTrip returns the network round-trip time between a node and an endpoint, in nanoseconds.
	RoundTrip(node int, id policy.EndpointID) int64
}

// NewDecider creates the decider of a node. It is called at each start of the node.
type NewDecider func(node int, settings policy.Settings, seed uint64, effects policy.Effects, state ClusterState) Decider

// NewBalancer creates a policy.Balancer.
func NewBalancer(_ int, settings policy.Settings, seed uint64, effects policy.Effects, _ ClusterState) Decider {
	return policy.New(settings, seed, effects)
}

// Options are the options of a run.
type Options struct {
	Scenario   *scenario.Scenario
	Seed       uint64
	NewDecider NewDecider
	MaxEvents  uint64 // limit after which the run is aborted as endless; 0: 500 million
}

const (
	epochNs = int64(1_700_000_000_000_000_000)
	// receiveDelay is the time from the last byte of a request until the decisions get it.
	receiveDelay       = int64(180 * time.Microsecond)
	sendDelay          = int64(180 * time.Microsecond)
	eventCost          = int64(12 * time.Microsecond) // processor time of a node for each event
	startDelay         = int64(60 * time.Millisecond) // from the start of a process until the front sends to it
	settleTime         = int64(2 * time.Second)
	quietTime          = int64(200 * time.Millisecond) // after the last operation has finished, until the run ends
	sampleInterval     = int64(250 * time.Millisecond)
	maxImmediateTimers = 20_000 // limit on the timers due immediately that a node sets in one second
	defaultMaxEvents   = uint64(500_000_000)
	checkContextEvery  = 1 << 16
)

func epoch(at int64) int64 { return epochNs + at }

// endpointID returns the ID of an endpoint for the decisions. Nodes derive it from the name in the same way.
func endpointID(name string) policy.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return policy.EndpointID(h.Sum32())
}

// Simulation is one run.
type Simulation struct {
	eventQueue
	scenario        *scenario.Scenario
	plan            *workload.Plan
	newDecider      NewDecider
	history         *invariant.History
	random          *rand.Rand
	requestIDPrefix string
	endpoints       []*endpoint
	byID            map[policy.EndpointID]*endpoint
	nodes           []*node
	discovery       *discovery
	clients         *clients
	deduplicators   map[dedupKey]*model.Deduplicator
	slotWaits       map[int]int64
	anomalies       map[string]int
	givenUp         map[string]int // by reason
	loads           []trace.LoadSample
	activity        []trace.FleetActivity
	links           *netfault.Schedule
	messageCounts   map[[2]netfault.End]uint64 // messages on each link
	views           []trace.MembershipView
	running         []trace.RunningNodes
	err             error
}

// Run runs a scenario to its end. An error means that the run could not be completed; failures and violations within
// the run are in the trace.
func Run(ctx context.Context, o Options) (*trace.Trace, error) {
	began := time.Now()
	sim := newSimulation(&o)
	hash := sim.plan.Hash()
	if err := sim.prepare(); err != nil {
		return nil, err
	}
	if err := sim.runEvents(ctx, o.MaxEvents); err != nil {
		return nil, err
	}
	for _, e := range sim.endpoints {
		e.recordSlowStart()
	}
	sim.history.Close()
	r := sim.trace()
	r.PlanHash, r.Elapsed = hash, time.Since(began)
	return r, nil
}

func newSimulation(o *Options) *Simulation {
	sim := &Simulation{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), newDecider: o.NewDecider,
		history: &invariant.History{}, random: rand.New(rand.NewPCG(o.Seed, 11)),
		byID: map[policy.EndpointID]*endpoint{}, deduplicators: map[dedupKey]*model.Deduplicator{},
		slotWaits: map[int]int64{}, anomalies: map[string]int{}, givenUp: map[string]int{}, messageCounts: map[[2]netfault.End]uint64{},
	}
	sim.links = sim.plan.LinkFaults(sim.scenario)
	sim.requestIDPrefix = fmt.Sprintf("%08x", uint32(sim.plan.Seed*2654435761))
	sim.activity = make([]trace.FleetActivity, int(int64(o.Scenario.Length)/1e9)+1)
	return sim
}

// runEvents runs events until all operations have finished, but no longer than the longest deadline and settleTime
// after the end of the scenario.
func (sim *Simulation) runEvents(ctx context.Context, maxEvents uint64) error {
	if maxEvents == 0 {
		maxEvents = defaultMaxEvents
	}
	longest := int64(0)
	for _, c := range sim.scenario.Classes {
		longest = max(longest, int64(c.Deadline))
	}
	end := int64(sim.scenario.Length) + longest + settleTime
	for sim.err == nil && sim.step(end) {
		if sim.handled%checkContextEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if sim.handled > maxEvents {
			sim.err = fmt.Errorf(
				"run aborted: more than %d events by %.3f s of the run, so it would not end", maxEvents, float64(sim.now)/1e9,
			)
		}
		quiet := sim.clients.lastFinishedAt+quietTime < sim.now
		if sim.clients.unfinished == 0 && sim.now > int64(sim.scenario.Length) && quiet {
			break
		}
	}
	return sim.err
}

// trace checks the rules and returns the trace of the run.
func (sim *Simulation) trace() *trace.Trace {
	trace.ExcuseCutLinks(sim.scenario, sim.plan, sim.history)
	rules := trace.RulesOf(sim.scenario, sim.links, 0, 0, nil)
	r := &trace.Trace{
		Plan: sim.plan, Virtual: true, Outcomes: sim.clients.outcomes, History: sim.history,
		Violations: sim.history.Check(trace.Classes(sim.scenario), rules),
		Loads:      sim.loads, Activity: sim.activity, Reach: trace.ReachOf(sim.scenario, sim.links, 0),
		Views: sim.views, Running: sim.running, Anomalies: sim.anomalies, GivenUp: sim.givenUp,
	}
	r.Peaks.All, r.Peaks.Known = sim.history.Peaks(rules)
	for _, e := range sim.endpoints {
		r.Endpoints = append(r.Endpoints, e.spec.Name)
	}
	for _, n := range sim.nodes {
		r.Nodes = append(r.Nodes, n.usage)
	}
	return r
}

func (sim *Simulation) prepare() error {
	for _, spec := range sim.plan.Endpoints {
		sim.addEndpoint(spec, sim.scenario.Fleets[spec.Fleet].StartsCold)
	}
	sim.discovery = newDiscovery(sim)
	for _, e := range sim.endpoints {
		sim.discovery.set(e, model.Up, 0)
	}
	sim.discovery.initial = sim.discovery.list.Complete()
	for i := range sim.scenario.Nodes.Count {
		n, err := newNode(sim, i)
		if err != nil {
			return err
		}
		sim.nodes = append(sim.nodes, n)
	}
	sim.clients = newClients(sim)
	for _, n := range sim.nodes {
		n.start()
		n.admitted = true // all nodes are ready when the run starts
	}
	for i := range sim.plan.Faults {
		f := &sim.plan.Faults[i]
		sim.at(int64(f.At), func() { sim.startFault(f) })
	}
	sim.after(sampleInterval, sim.sample)
	sim.scheduleLinkResets()
	if sim.scenario.Nodes.Membership {
		sim.after(viewInterval, sim.recordViews)
	}
	return nil
}

// sample periodically records the attempts in flight at each endpoint.
func (sim *Simulation) sample() {
	s := trace.LoadSample{At: sim.now}
	for _, e := range sim.endpoints {
		inFlight := 0
		if e.up {
			inFlight = e.model.InFlight()
		}
		s.InFlight = append(s.InFlight, inFlight)
	}
	sim.loads = append(sim.loads, s)
	if sim.now < int64(sim.scenario.Length) {
		sim.after(sampleInterval, sim.sample)
	}
}

// count updates the activity of all nodes in the current second.
func (sim *Simulation) count(update func(*trace.FleetActivity)) {
	if second := int(sim.now / 1e9); second < len(sim.activity) {
		update(&sim.activity[second])
	}
}

func (sim *Simulation) recordAnomaly(kind string) { sim.anomalies[kind]++ }

// requestID returns the ID of a request, in the same form as the emulator.
func (sim *Simulation) requestID(operation, request int) string {
	b := append(make([]byte, 0, 16), sim.requestIDPrefix...)
	for _, field := range [][2]int{{operation, 6}, {request, 2}} {
		text := strconv.FormatInt(int64(field[0]), 16)
		for range field[1] - len(text) {
			b = append(b, '0')
		}
		b = append(b, text...)
	}
	return string(b)
}

// endpointCrashed ends an endpoint that was overloaded in slow start. It is not restarted.
func (sim *Simulation) endpointCrashed(e *endpoint, crash *model.Crash) {
	sim.history.RecordCrash(invariant.Crash{
		Endpoint: e.spec.Index, Incarnation: e.incarnation, StartedAt: e.startedAt, Crash: *crash,
	})
	sim.recordAnomaly("a cold server was pushed over")
	e.die()
	sim.discovery.set(e, model.Removed, int64(sim.scenario.Discovery.ChangeDelay))
}

// Load implements ClusterState.
func (sim *Simulation) Load(node int, id policy.EndpointID) (inFlight int, capacity float64, up bool) {
	e := sim.byID[id]
	if e == nil || !e.up || e.isCutFrom(node) || e.faults.unresponsive || e.draining || e.faults.fail > 0.5 ||
		e.faults.reject > 0.5 || e.faults.reset > 0.5 {
		return 0, 0, false
	}
	return e.model.InFlight(), e.capacity() * 1e9, true
}

// RoundTrip implements ClusterState.
func (sim *Simulation) RoundTrip(node int, id policy.EndpointID) int64 {
	n := &sim.scenario.Network
	if e := sim.byID[id]; e != nil && n.Zones[sim.nodes[node].zone] != e.spec.Zone {
		return 2 * int64(n.CrossZone)
	}
	return 2 * int64(n.SameZone)
}
