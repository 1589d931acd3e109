package simulation

// This file owns the day as a whole: who takes part, its beginning and its end, and the record that it leaves.

import (
	"context"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
	"fawnglade/policy"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"
)

// Decider is what decides at one node: the module, or a baseline. Times are Unix nanoseconds of the node's own clock.
type Decider interface {
	EndpointsUpdated(now policy.Time, list []policy.EndpointInfo, whole bool)
	WatchFailed(now policy.Time)
	RequestArrived(now policy.Time, t policy.Request)
	AttemptEnded(now policy.Time, a policy.AttemptResult)
	ClientGone(now policy.Time, id policy.RequestID)
	TimerFired(now policy.Time, cookie uint64)
	HealthChecked(now policy.Time, server policy.EndpointID, o policy.Outcome, r policy.LoadReport)
	GossipReceived(now policy.Time, n policy.GossipMessage)
}

// Truth is the state of all servers, for deciders that are there to measure against.
type ClusterState interface {
	// Holds is how many tasks a server holds, what it can do in a second, in nanoseconds of work, and whether it is up and can be
	// reached from a node.
	Load(node int, server policy.EndpointID) (held int, capacity float64, up bool)
	// Way is the time to a server and back, in nanoseconds.
	RoundTrip(node int, server policy.EndpointID) int64
}

// Maker makes the decider of one node at each of its starts.
type NewDecider func(node int, set policy.Settings, seed uint64, host policy.Effects, see ClusterState) Decider

// Module is the project's own.
func NewBalancer(_ int, set policy.Settings, seed uint64, host policy.Effects, _ ClusterState) Decider {
	return policy.New(set, seed, host)
}

// Options of a day.
type Options struct {
	Scenario   *scenario.Scenario
	Seed       uint64
	NewDecider NewDecider
	MaxEvents  uint64 // events, after which the day is given up as one that does not end; 0: 500 million
}

const (
	epochNs           = int64(1_700_000_000_000_000_000)
	receiveDelay      = int64(180 * time.Microsecond) // from a task's last byte to the decisions, as measured on sockets
	sendDelay         = int64(180 * time.Microsecond)
	eventCost         = int64(12 * time.Microsecond) // of a node's processor, for each event
	startDelay        = int64(60 * time.Millisecond) // a node's process, until the front lets it in
	settleTime        = int64(2 * time.Second)
	sampleInterval    = int64(250 * time.Millisecond)
	maxTimersAtOnce   = 20_000 // times in a second that an instance may ask to be woken at once
	defaultMaxEvents  = uint64(500_000_000)
	checkContextEvery = 1 << 16
)

func epoch(at int64) int64 { return epochNs + at }

// serverID is a server's number for the decisions, as the node makes it of the name.
func endpointID(name string) policy.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return policy.EndpointID(h.Sum32())
}

// Day is one run.
type Simulation struct {
	clock
	scenario      *scenario.Scenario
	plan          *workload.Plan
	newDecider    NewDecider
	history       *invariant.History
	random        *rand.Rand
	idPrefix      string
	endpoints     []*endpoint
	byID          map[policy.EndpointID]*endpoint
	nodes         []*node
	discovery     *discovery
	clients       *clients
	deduplicators map[dedupKey]*model.Deduplicator
	waits         map[int]int64
	oddities      map[string]int
	loads         []trace.LoadSample
	activity      []trace.FleetActivity
	links         *netfault.Schedule
	messageCounts map[[2]netfault.End]uint64 // messages on each troubled way
	views         []trace.MembershipView
	running       []trace.RunningNodes
	err           error
}

// Play plays a day to its end. An error means that it could not be played; what went wrong within it is in the record.
func Run(ctx context.Context, o Options) (*trace.Trace, error) {
	began := time.Now()
	d := &Simulation{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), newDecider: o.NewDecider, history: &invariant.History{},
		random: rand.New(rand.NewPCG(o.Seed, 11)), byID: map[policy.EndpointID]*endpoint{}, deduplicators: map[dedupKey]*model.Deduplicator{},
		waits: map[int]int64{}, oddities: map[string]int{}, messageCounts: map[[2]netfault.End]uint64{},
	}
	d.links = d.plan.LinkFaults(d.scenario)
	d.idPrefix = fmt.Sprintf("%08x", uint32(d.plan.Seed*2654435761))
	d.activity = make([]trace.FleetActivity, int(int64(o.Scenario.Length)/1e9)+1)
	hash := d.plan.Hash()
	if err := d.prepare(); err != nil {
		return nil, err
	}
	longest := int64(0)
	for _, c := range d.scenario.Classes {
		longest = max(longest, int64(c.Deadline))
	}
	end, most := int64(d.scenario.Length)+longest+settleTime, o.MaxEvents
	if most == 0 {
		most = defaultMaxEvents
	}
	for d.err == nil && d.step(end) {
		if d.handled%checkContextEvery == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if d.handled > most {
			d.err = fmt.Errorf("more than %d events by %.3f s of the day: it does not end", most, float64(d.now)/1e9)
		}
		if d.clients.unfinished == 0 && d.now > int64(d.scenario.Length) && d.clients.lastFinishedAt+int64(200*time.Millisecond) < d.now {
			break
		}
	}
	if d.err != nil {
		return nil, d.err
	}
	for _, m := range d.endpoints {
		m.recordSlowStart()
	}
	d.history.Close()
	r := &trace.Trace{
		Plan: d.plan, PlanHash: hash, Virtual: true, Outcomes: d.clients.outcomes, History: d.history, Loads: d.loads, Activity: d.activity,
		Oddities: d.oddities, Elapsed: time.Since(began),
	}
	r.Reach, r.Views, r.Running = trace.ReachOf(d.scenario, d.links, 0), d.views, d.running
	trace.ExcuseCutLinks(d.scenario, d.plan, d.history)
	rules := trace.RulesOf(d.scenario, d.links, 0, 0, nil)
	r.Violations = d.history.Check(trace.Classes(d.scenario), rules)
	r.Peaks.All, r.Peaks.Known = d.history.Peaks(rules)
	for _, m := range d.endpoints {
		r.Endpoints = append(r.Endpoints, m.spec.Name)
	}
	for _, n := range d.nodes {
		r.Nodes = append(r.Nodes, n.usage)
	}
	return r, nil
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
		n.admitted = true // the day begins when all are ready
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

// sample takes what servers hold.
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

// count adds to what all nodes do together in this second.
func (d *Simulation) count(what func(*trace.FleetActivity)) {
	if second := int(d.now / 1e9); second < len(d.activity) {
		what(&d.activity[second])
	}
}

func (d *Simulation) noteOddity(what string) { d.oddities[what]++ }

// idOf is the id of a try on the wire, of the same form as on sockets.
func (d *Simulation) requestID(task, try int) string {
	b := append(make([]byte, 0, 16), d.idPrefix...)
	for _, part := range [][2]int{{task, 6}, {try, 2}} {
		text := strconv.FormatInt(int64(part[0]), 16)
		for range part[1] - len(text) {
			b = append(b, '0')
		}
		b = append(b, text...)
	}
	return string(b)
}

// fell ends a cold server that was pushed over. It stays down.
func (d *Simulation) endpointCrashed(m *endpoint, f *model.Crash) {
	d.history.RecordCrash(invariant.Crash{Endpoint: m.spec.Index, Incarnation: m.incarnation, StartedAt: m.startedAt, Crash: *f})
	d.noteOddity("a cold server was pushed over")
	m.die()
	d.discovery.set(m, model.Removed, int64(d.scenario.Discovery.ChangeDelay))
}

// Holds and Way make the day the Truth.
func (d *Simulation) Load(node int, server policy.EndpointID) (held int, capacity float64, up bool) {
	m := d.byID[server]
	if m == nil || !m.up || m.isCutFrom(node) || m.faults.silent || m.draining || m.faults.fail > 0.5 || m.faults.reject > 0.5 || m.faults.reset > 0.5 {
		return 0, 0, false
	}
	return m.model.InFlight(), m.workRate() * 1e9, true
}

func (d *Simulation) RoundTrip(node int, server policy.EndpointID) int64 {
	n := &d.scenario.Network
	if m := d.byID[server]; m != nil && n.Zones[d.nodes[node].zone] != m.spec.Zone {
		return 2 * int64(n.CrossZone)
	}
	return 2 * int64(n.SameZone)
}
