// Package baseline owns plain ways to choose a server, to measure the decisions against in virtual time. They keep to the same
// rules on resends, drains and cold servers. It must never be part of a node.
package baseline

import (
	"fawnglade/internal/lab/simulation"
	"fawnglade/internal/rendezvous"
	"fawnglade/policy"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
)

// Kinds are the baselines by name, and where each is from.
var Kinds = map[string]string{
	"random":       "an even draw",
	"round-robin":  "one after another",
	"least":        "fewest own hand-offs out",
	"two-choices":  "the one with fewer out of two drawn (Mitzenmacher, 2001)",
	"peak-ewma":    "the lower of two by peak-sensitive answer time times hand-offs out (Finagle's balancer, as its documentation tells it)",
	"hot-cold":     "the quickest of those not hot by reported load, from a pool of reports (Wydrowski et al., Prequal, NSDI 2024)",
	"bounded-hash": "consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018)",
	"all-seeing":   "the earliest end by the true state of all servers; it declines what would be late",
	"late-seeing":  "the same by the state of half a second ago, drawn by how soon each would end",
}

// Names in order.
func Names() []string {
	var names []string
	for name := range Kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

const (
	second    = 1_000_000_000 // nanoseconds
	lookEach  = second / 4
	lateBy    = second / 2
	decay     = 10e9 // of peak-ewma, nanoseconds
	poolMost  = 16
	poolAge   = second
	hot       = 0.84 // quantile of reported load from which a server is hot
	bound     = 1.25
	listAgain = second
	askLess   = 0.75 // part of what a cold server surely can do that it is offered

	listCookie, lookCookie = 0, 1
)

type endpoint struct {
	policy.EndpointInfo
	inFlight                   int
	latencyPeak                float64 // peak-ewma
	updatedAt                  policy.Time
	seenInFlight, seenCapacity float64 // late-seeing: as it was then
	up                         bool
}

type request struct {
	policy.Request
	tried      []policy.EndpointID
	inFlight   int
	mayHaveRun bool
	done       bool
}

type loadSample struct {
	at       policy.Time
	endpoint policy.EndpointID
	load     float64
	latency  float64
}

// Plain is one node's.
type Policy struct {
	kind        string
	node        int
	set         policy.Settings
	host        policy.Effects
	cluster     simulation.ClusterState
	random      *rand.Rand
	nextInOrder int
	endpoints   []*endpoint
	byID        map[policy.EndpointID]*endpoint
	requests    map[policy.RequestID]*request
	samples     []loadSample
	meanWork    []float64 // by category: running mean of work, in nanoseconds of a core
	snapshots   []snapshot
	started     bool
	asked       int
}

type snapshot struct {
	at    policy.Time
	state map[policy.EndpointID][2]float64 // held, capacity; absent if it is not up
}

// New makes a maker of deciders of a kind.
func New(kind string) simulation.NewDecider {
	return func(node int, set policy.Settings, seed uint64, host policy.Effects, see simulation.ClusterState) simulation.Decider {
		return &Policy{
			kind: kind, node: node, set: set, host: host, cluster: see, random: rand.New(rand.NewPCG(seed, 5)), nextInOrder: int(seed % 7919),
			byID: map[policy.EndpointID]*endpoint{}, requests: map[policy.RequestID]*request{}, meanWork: slices.Repeat([]float64{20e6}, len(set.Classes)),
		}
	}
}

// ListLearned takes the list, or what has changed in it.
func (p *Policy) EndpointsUpdated(now policy.Time, list []policy.EndpointInfo, whole bool) {
	if whole {
		for _, s := range p.endpoints {
			s.State = policy.StateRemoved
		}
	}
	for _, l := range list {
		s := p.byID[l.ID]
		if s == nil {
			s = &endpoint{}
			p.byID[l.ID] = s
			p.endpoints = append(p.endpoints, s)
		}
		if l.StartedAt > s.StartedAt {
			s.latencyPeak = 0
		}
		s.EndpointInfo = l
	}
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int { return int(a.ID) - int(b.ID) })
	if !p.started {
		p.started = true
		if p.set.MustPollList {
			p.host.WatchEndpoints()
		}
		if p.kind == "late-seeing" {
			p.takeSnapshot(now)
		}
	}
}

// ListFailed asks again a second later.
func (p *Policy) WatchFailed(now policy.Time) { p.host.SetTimer(now+listAgain, listCookie) }

// Woken takes a timer.
func (p *Policy) TimerFired(now policy.Time, cookie uint64) {
	if cookie == listCookie {
		p.host.WatchEndpoints()
		return
	}
	p.takeSnapshot(now)
}

// look notes the true state, to be used later.
func (p *Policy) takeSnapshot(now policy.Time) {
	state := map[policy.EndpointID][2]float64{}
	for _, s := range p.endpoints {
		if held, can, up := p.cluster.Load(p.node, s.ID); up {
			state[s.ID] = [2]float64{float64(held), can}
		}
	}
	p.snapshots = append(p.snapshots, snapshot{now, state})
	for len(p.snapshots) > 1 && p.snapshots[1].at <= now-lateBy {
		p.snapshots = p.snapshots[1:]
	}
	p.host.SetTimer(now+lookEach, lookCookie)
}

// TaskArrived sends a task.
func (p *Policy) RequestArrived(now policy.Time, arrived policy.Request) {
	t := &request{Request: arrived}
	p.requests[t.ID] = t
	if p.kind == "hot-cold" && p.set.MayCheckHealth && len(p.endpoints) > 0 {
		for range 2 {
			p.host.CheckHealth(p.endpoints[p.random.IntN(len(p.endpoints))].ID)
		}
	}
	p.send(now, t)
}

// cold is the part of its capacity that a server surely has.
func (p *Policy) capacityShare(now policy.Time, s *endpoint) float64 {
	if age := now - s.StartedAt; s.StartedAt != 0 && age < policy.Time(p.set.SlowStartWindow) {
		return p.set.SlowStartMinCapacity + (1-p.set.SlowStartMinCapacity)*float64(max(age, 0))/float64(p.set.SlowStartWindow)
	}
	return 1
}

func (p *Policy) send(now policy.Time, t *request) {
	c := &p.set.Classes[t.Class]
	limit := t.Deadline
	var fit []*endpoint
	if now < limit && len(t.tried) < p.set.MaxAttempts && (!t.mayHaveRun || c.Idempotency == policy.Idempotent) {
		for _, s := range p.endpoints {
			if s.State == policy.StateActive && (len(t.tried) == 0 || t.tried[len(t.tried)-1] != s.ID) {
				if part := p.capacityShare(now, s); part == 1 || p.random.Float64() < askLess*part {
					fit = append(fit, s)
				}
			}
		}
	}
	s := p.pick(now, t, fit)
	if s == nil {
		t.done = true
		if c.Idempotency == policy.Idempotent || !t.mayHaveRun {
			p.host.Reject(t.ID, min(p.set.MaxRetryAfter, c.LatencyObjective/4))
		} else {
			p.host.Fail(t.ID)
		}
		delete(p.requests, t.ID)
		return
	}
	t.tried = append(t.tried, s.ID)
	t.inFlight++
	s.inFlight++
	p.host.Send(t.ID, s.ID, limit.Sub(now))
}

func (p *Policy) pick(now policy.Time, t *request, fit []*endpoint) *endpoint {
	if len(fit) == 0 {
		return nil
	}
	any := func() *endpoint { return fit[p.random.IntN(len(fit))] }
	lower := func(cost func(*endpoint) float64) *endpoint {
		a, b := any(), any()
		if cost(b) < cost(a) {
			return b
		}
		return a
	}
	out := func(s *endpoint) float64 { return float64(s.inFlight) }
	switch p.kind {
	case "round-robin":
		p.nextInOrder++
		return fit[p.nextInOrder%len(fit)]
	case "least":
		return p.cheapest(fit, out)
	case "two-choices":
		return lower(out)
	case "peak-ewma":
		return lower(func(s *endpoint) float64 { return p.decayed(now, s) * float64(s.inFlight+1) })
	case "hot-cold":
		return p.hotCold(now, fit, any)
	case "bounded-hash":
		return p.boundedHash(t, fit)
	case "all-seeing", "late-seeing":
		return p.byClusterState(now, t, fit)
	}
	return any()
}

// least is the lowest, one of those drawn where several are.
func (p *Policy) cheapest(fit []*endpoint, cost func(*endpoint) float64) *endpoint {
	var best *endpoint
	lowest, alike := math.Inf(1), 0
	for _, s := range fit {
		switch v := cost(s); {
		case v < lowest:
			best, lowest, alike = s, v, 1
		case v == lowest:
			if alike++; p.random.IntN(alike) == 0 {
				best = s
			}
		}
	}
	return best
}

func (p *Policy) decayed(now policy.Time, s *endpoint) float64 {
	if s.latencyPeak == 0 {
		return 1e6 // unheard: quick, until it shows otherwise
	}
	return s.latencyPeak * math.Exp(-float64(now-s.updatedAt)/decay)
}

func (p *Policy) hotCold(now policy.Time, fit []*endpoint, any func() *endpoint) *endpoint {
	for len(p.samples) > 0 && now-p.samples[0].at > poolAge {
		p.samples = p.samples[1:]
	}
	var loads []float64
	for _, r := range p.samples {
		loads = append(loads, r.load)
	}
	if len(loads) < 2 {
		return any()
	}
	sort.Float64s(loads)
	limit := loads[int(hot*float64(len(loads)-1))]
	best, at, lowest := (*endpoint)(nil), -1, math.Inf(1)
	for i, r := range p.samples {
		s := p.byID[r.endpoint]
		if s == nil || !slices.Contains(fit, s) {
			continue
		}
		v := r.latency + float64(s.inFlight)
		if r.load > limit {
			v = 1e9 + r.load // hot ones only if there is no other, the least loaded first
		}
		if v < lowest {
			best, at, lowest = s, i, v
		}
	}
	if best == nil {
		return any()
	}
	p.samples = append(p.samples[:at:at], p.samples[at+1:]...) // a report is used once, against herding
	return best
}

func (p *Policy) boundedHash(t *request, fit []*endpoint) *endpoint {
	name := t.Key
	if name == "" {
		name = string(t.ID)
	}
	key, sum := rendezvous.HashKey(name), 1
	for _, s := range fit {
		sum += s.inFlight
	}
	most := int(math.Ceil(bound * float64(sum) / float64(len(fit))))
	var best *endpoint
	highest := uint64(0)
	for _, s := range fit {
		if r := rendezvous.Score(key, uint32(s.ID)); s.inFlight < most && (best == nil || r > highest) {
			best, highest = s, r
		}
	}
	return best
}

// seeing is the earliest end by the true state, unless that is too late.
func (p *Policy) byClusterState(now policy.Time, t *request, fit []*endpoint) *endpoint {
	work := p.meanWork[t.Class]
	if t.CostHint > 0 {
		work = float64(t.CostHint)
	}
	state := func(s *endpoint) (held, can float64, up bool) {
		if p.kind == "all-seeing" {
			h, c, up := p.cluster.Load(p.node, s.ID)
			return float64(h), c, up
		}
		if len(p.snapshots) == 0 {
			return 0, 1e9, true
		}
		v, up := p.snapshots[0].state[s.ID]
		return v[0] + float64(s.inFlight), v[1], up
	}
	ends := func(s *endpoint) float64 {
		held, can, up := state(s)
		if !up || can <= 0 {
			return math.Inf(1)
		}
		return float64(p.cluster.RoundTrip(p.node, s.ID)) + (held+1)*work*1e9/can
	}
	if p.kind == "late-seeing" {
		return p.drawWeighted(fit, ends, float64(t.Deadline-now))
	}
	best := p.cheapest(fit, ends)
	if best == nil || ends(best) > float64(t.Deadline-now) {
		return nil
	}
	return best
}

// drawn takes one with a chance by how soon it ends: nodes that see one and the same old state and all took its
// best would pile up there.
func (p *Policy) drawWeighted(fit []*endpoint, ends func(*endpoint) float64, most float64) *endpoint {
	var chances []float64
	sum := 0.0
	for _, s := range fit {
		chance := 0.0
		if at := ends(s); at <= most {
			chance = 1 / at
		}
		sum += chance
		chances = append(chances, chance)
	}
	dice := p.random.Float64() * sum
	for i, chance := range chances {
		if dice -= chance; dice < 0 {
			return fit[i]
		}
	}
	return nil
}

// HandOffAnswered takes the end of a hand-off.
func (p *Policy) AttemptEnded(now policy.Time, a policy.AttemptResult) {
	if s := p.byID[a.Endpoint]; s != nil {
		s.inFlight--
		p.observeLatency(now, s, a)
	}
	t := p.requests[a.Request]
	if t == nil {
		return
	}
	t.inFlight--
	if a.Outcome != policy.OutcomeRejected && a.Outcome != policy.OutcomeConnectFailed && a.Outcome != policy.OutcomeNotSent {
		t.mayHaveRun = true
	}
	switch {
	case t.done || a.RequestDone || a.Outcome == policy.OutcomeSucceeded:
		delete(p.requests, t.ID)
	default:
		p.send(now, t)
	}
}

func (p *Policy) observeLatency(now policy.Time, s *endpoint, a policy.AttemptResult) {
	took := float64(a.Elapsed)
	if a.Outcome == policy.OutcomeSucceeded || a.Outcome == policy.OutcomeTimedOut {
		old := p.decayed(now, s)
		if s.latencyPeak == 0 || took > old {
			s.latencyPeak = took // peaks count at once
		} else {
			w := math.Exp(-float64(now-s.updatedAt) / decay)
			s.latencyPeak = s.latencyPeak*w + took*(1-w)
		}
		s.updatedAt = now
	}
	if t := p.requests[a.Request]; t != nil && a.Outcome == policy.OutcomeSucceeded {
		if held, can, up := p.cluster.Load(p.node, s.ID); up && p.kind == "all-seeing" || up && p.kind == "late-seeing" {
			alone := (took - float64(p.cluster.RoundTrip(p.node, s.ID))) * can / 1e9 / float64(held+1)
			p.meanWork[t.Class] += (max(alone, 0) - p.meanWork[t.Class]) / 64
		}
	}
	if a.Report.QueueLength >= 0 || a.Report.Utilization >= 0 {
		p.observeLoad(now, s, a.Report, took)
	}
}

func (p *Policy) observeLoad(now policy.Time, s *endpoint, r policy.LoadReport, took float64) {
	load := max(r.QueueLength, 0) + max(r.Utilization, 0) + float64(s.inFlight)
	if r.ServiceTime >= 0 {
		took = r.ServiceTime * 1e6
	}
	if p.samples = append(p.samples, loadSample{now, s.ID, load, took}); len(p.samples) > poolMost {
		p.samples = p.samples[1:]
	}
}

// TaskWithdrawn takes the news that the client has gone.
func (p *Policy) ClientGone(_ policy.Time, id policy.RequestID) {
	t := p.requests[id]
	if t == nil {
		return
	}
	if t.done = true; p.set.MayCancel {
		for n := range t.tried {
			p.host.Cancel(id, n)
		}
	}
	if t.inFlight == 0 {
		delete(p.requests, id)
	}
}

// Probed takes what a probe brought.
func (p *Policy) HealthChecked(now policy.Time, id policy.EndpointID, o policy.Outcome, r policy.LoadReport) {
	if s := p.byID[id]; s != nil && o == policy.OutcomeSucceeded {
		p.observeLoad(now, s, r, s.latencyPeak)
	}
}

// Told passes news over: no baseline heeds any.
func (p *Policy) GossipReceived(policy.Time, policy.GossipMessage) {}
