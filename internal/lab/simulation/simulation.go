// Package simulation runs a scenario in virtual time: the lab's models of endpoints, discovery, network, clients and
// faults around instances of the decisions, one for each node, as a sequence of events. It reads no clock, starts no
// goroutine, and no order of a map reaches what happens: the same scenario and seed give the same trace, byte for byte.
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

// Decider decides at one node: policy.Balancer, or a baseline. Times are of the node's own clock.
type Decider interface {
	EndpointsUpdated(now policy.Time, list []policy.EndpointInfo, whole bool)
	WatchFailed(now policy.Time)
	RequestArrived(now policy.Time, t policy.Request)
	AttemptEnded(now policy.Time, a policy.AttemptResult)
	ClientGone(now policy.Time, id policy.RequestID)
	TimerFired(now policy.Time, cookie uint64)
	HealthChecked(now policy.Time, id policy.EndpointID, o policy.Outcome, r policy.LoadReport)
	GossipReceived(now policy.Time, n policy.GossipMessage)
}

// ClusterState is the true state of all endpoints, for baselines.
type ClusterState interface {
	// Load is how many attempts an endpoint has, its capacity in nanoseconds of work a second, and whether it is up and
	// can be reached from a node.
	Load(node int, id policy.EndpointID) (inFlight int, capacity float64, up bool)
	// RoundTrip is the time to an endpoint and back, in nanoseconds.
	RoundTrip(node int, id policy.EndpointID) int64
}

// NewDecider makes the decider of one node at each of its starts.
type NewDecider func(node int, set policy.Settings, seed uint64, host policy.Effects, see ClusterState) Decider

// NewBalancer makes the project's own decider.
func NewBalancer(_ int, set policy.Settings, seed uint64, host policy.Effects, _ ClusterState) Decider {
	return policy.New(set, seed, host)
}

// Options of a run.
type Options struct {
	Scenario   *scenario.Scenario
	Seed       uint64
	NewDecider NewDecider
	MaxEvents  uint64 // after which the run is given up as one that does not end; 0: 500 million
}

const (
	epochNs = int64(1_700_000_000_000_000_000)
	// from a request's last byte to the decisions, as measured on sockets
	receiveDelay       = int64(180 * time.Microsecond)
	sendDelay          = int64(180 * time.Microsecond)
	eventCost          = int64(12 * time.Microsecond) // of a node's processor, for each event
	startDelay         = int64(60 * time.Millisecond) // of a node's process, until the front sends to it
	settleTime         = int64(2 * time.Second)
	quietTime          = int64(200 * time.Millisecond) // after the last operation
	sampleInterval     = int64(250 * time.Millisecond)
	maxImmediateTimers = 20_000 // timers that are due at once, in a second, that a node may set
	defaultMaxEvents   = uint64(500_000_000)
	checkContextEvery  = 1 << 16
)

func epoch(at int64) int64 { return epochNs + at }

// endpointID is an endpoint's ID for the decisions, as the node makes it of the name.
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

// Run runs a scenario to its end. An error means that it could not be run; what went wrong within it is in the trace.
func Run(ctx context.Context, o Options) (*trace.Trace, error) {
	began := time.Now()
	d := newSimulation(&o)
	hash := d.plan.Hash()
	if err := d.prepare(); err != nil {
		return nil, err
	}
	if err := d.runEvents(ctx, o.MaxEvents); err != nil {
		return nil, err
	}
	for _, m := range d.endpoints {
		m.recordSlowStart()
	}
	d.history.Close()
	r := d.trace()
	r.PlanHash, r.Elapsed = hash, time.Since(began)
	return r, nil
}

func newSimulation(o *Options) *Simulation {
	d := &Simulation{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), newDecider: o.NewDecider,
		history: &invariant.History{}, random: rand.New(rand.NewPCG(o.Seed, 11)),
		byID: map[policy.EndpointID]*endpoint{}, deduplicators: map[dedupKey]*model.Deduplicator{},
		slotWaits: map[int]int64{}, anomalies: map[string]int{}, givenUp: map[string]int{}, messageCounts: map[[2]netfault.End]uint64{},
	}
	d.links = d.plan.LinkFaults(d.scenario)
	d.requestIDPrefix = fmt.Sprintf("%08x", uint32(d.plan.Seed*2654435761))
	d.activity = make([]trace.FleetActivity, int(int64(o.Scenario.Length)/1e9)+1)
	return d
}

// runEvents handles events until all operations have ended, or the latest time at which they may.
func (d *Simulation) runEvents(ctx context.Context, maxEvents uint64) error {
	if maxEvents == 0 {
		maxEvents = defaultMaxEvents
	}
	longest := int64(0)
	for _, c := range d.scenario.Classes {
		longest = max(longest, int64(c.Deadline))
	}
	end := int64(d.scenario.Length) + longest + settleTime
	for d.err == nil && d.step(end) {
		if d.handled%checkContextEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		if d.handled > maxEvents {
			d.err = fmt.Errorf(
				"more than %d events by %.3f s of the day: it does not end", maxEvents, float64(d.now)/1e9,
			)
		}
		quiet := d.clients.lastFinishedAt+quietTime < d.now
		if d.clients.unfinished == 0 && d.now > int64(d.scenario.Length) && quiet {
			break
		}
	}
	return d.err
}

// trace is what the run leaves behind.
func (d *Simulation) trace() *trace.Trace {
	trace.ExcuseCutLinks(d.scenario, d.plan, d.history)
	rules := trace.RulesOf(d.scenario, d.links, 0, 0, nil)
	r := &trace.Trace{
		Plan: d.plan, Virtual: true, Outcomes: d.clients.outcomes, History: d.history,
		Violations: d.history.Check(trace.Classes(d.scenario), rules),
		Loads:      d.loads, Activity: d.activity, Reach: trace.ReachOf(d.scenario, d.links, 0),
		Views: d.views, Running: d.running, Anomalies: d.anomalies, GivenUp: d.givenUp,
	}
	r.Peaks.All, r.Peaks.Known = d.history.Peaks(rules)
	for _, m := range d.endpoints {
		r.Endpoints = append(r.Endpoints, m.spec.Name)
	}
	for _, n := range d.nodes {
		r.Nodes = append(r.Nodes, n.usage)
	}
	return r
}

func (d *Simulation) prepare() error {
	for _, spec := range d.plan.Endpoints {
		d.addEndpoint(spec, d.scenario.Fleets[spec.Fleet].StartsCold)
	}
	d.discovery = newDiscovery(d)
	for _, m := range d.endpoints {
		d.discovery.set(m, model.Up, 0)
	}
	d.discovery.initial = d.discovery.list.Complete()
	for i := range d.scenario.Nodes.Count {
		n, err := newNode(d, i)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	d.clients = newClients(d)
	for _, n := range d.nodes {
		n.start()
		n.admitted = true // the run begins when all are ready
	}
	for i := range d.plan.Faults {
		f := &d.plan.Faults[i]
		d.at(int64(f.At), func() { d.startFault(f) })
	}
	d.after(sampleInterval, d.sample)
	d.scheduleLinkResets()
	if d.scenario.Nodes.Membership {
		d.after(viewInterval, d.recordViews)
	}
	return nil
}

// sample records what is in flight at endpoints.
func (d *Simulation) sample() {
	s := trace.LoadSample{At: d.now}
	for _, m := range d.endpoints {
		held := 0
		if m.up {
			held = m.model.InFlight()
		}
		s.InFlight = append(s.InFlight, held)
	}
	d.loads = append(d.loads, s)
	if d.now < int64(d.scenario.Length) {
		d.after(sampleInterval, d.sample)
	}
}

// count adds to the activity of all nodes in this second.
func (d *Simulation) count(what func(*trace.FleetActivity)) {
	if second := int(d.now / 1e9); second < len(d.activity) {
		what(&d.activity[second])
	}
}

func (d *Simulation) recordAnomaly(what string) { d.anomalies[what]++ }

// requestID has the same form as on sockets.
func (d *Simulation) requestID(operation, request int) string {
	b := append(make([]byte, 0, 16), d.requestIDPrefix...)
	for _, part := range [][2]int{{operation, 6}, {request, 2}} {
		text := strconv.FormatInt(int64(part[0]), 16)
		for range part[1] - len(text) {
			b = append(b, '0')
		}
		b = append(b, text...)
	}
	return string(b)
}

// endpointCrashed ends an endpoint that was overloaded in slow start. It stays down.
func (d *Simulation) endpointCrashed(m *endpoint, f *model.Crash) {
	d.history.RecordCrash(invariant.Crash{
		Endpoint: m.spec.Index, Incarnation: m.incarnation, StartedAt: m.startedAt, Crash: *f,
	})
	d.recordAnomaly("a cold server was pushed over")
	m.die()
	d.discovery.set(m, model.Removed, int64(d.scenario.Discovery.ChangeDelay))
}

// Load implements ClusterState.
func (d *Simulation) Load(node int, id policy.EndpointID) (inFlight int, capacity float64, up bool) {
	m := d.byID[id]
	if m == nil || !m.up || m.isCutFrom(node) || m.faults.unresponsive || m.draining || m.faults.fail > 0.5 ||
		m.faults.reject > 0.5 || m.faults.reset > 0.5 {
		return 0, 0, false
	}
	return m.model.InFlight(), m.capacity() * 1e9, true
}

// RoundTrip implements ClusterState.
func (d *Simulation) RoundTrip(node int, id policy.EndpointID) int64 {
	n := &d.scenario.Network
	if m := d.byID[id]; m != nil && n.Zones[d.nodes[node].zone] != m.spec.Zone {
		return 2 * int64(n.CrossZone)
	}
	return 2 * int64(n.SameZone)
}
