package emulator

// The emulated endpoints: their incarnations, load reports and network delays. Package model decides how fast endpoints
// work and when they reject or crash.

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// endpointFaults are the active faults of an endpoint that its model does not cover.
type endpointFaults struct {
	unresponsive        bool
	fail, reject, reset float64 // fractions of the attempts
	corrupt             string  // kind of corruption; empty for none
	corruptShare        float64 // fraction of the responses
}

// endpoint is one emulated endpoint. Each start begins a new incarnation.
type endpoint struct {
	run   *Emulation
	spec  workload.Endpoint
	fleet *scenario.Fleet

	mu           sync.Mutex
	incarnation  int
	startedAt    int64 // Unix nanoseconds; 0 for an endpoint that has always been warm
	model        *model.Endpoint
	random       *rand.Rand
	jobs         map[int64]*attempt
	lastID       int64
	reports      []loadSample
	nextReportAt int64 // when the load is sampled next
	faults       endpointFaults
	draining     bool
	connections  int

	listeners []*listener
	wakeup    chan struct{}
}

// loadSample is the load of an endpoint at one time.
type loadSample struct {
	sampledAt int64
	figures   model.LoadFigures
}

// newEndpoint starts an endpoint that listens for each node. With addresses, it listens at those of an endpoint that it
// replaces.
func newEndpoint(run *Emulation, spec workload.Endpoint, cold bool, addresses []string) (*endpoint, error) {
	e := &endpoint{
		run: run, spec: spec, fleet: &run.scenario.Fleets[spec.Fleet], jobs: map[int64]*attempt{},
		random: rand.New(rand.NewPCG(spec.Seed, 3)), wakeup: make(chan struct{}, 1),
	}
	for node := range run.scenario.Nodes.Count {
		address := run.address(node, 0)
		if addresses != nil {
			address = addresses[node]
		}
		e.listeners = append(e.listeners, &listener{
			endpoint: e, node: node, address: address, conns: map[*connection]struct{}{},
		})
	}
	if err := e.start(cold); err != nil {
		e.stop()
		return nil, err
	}
	for _, one := range e.listeners {
		var err error
		one.advertised, err = run.links.proxyStream(netfault.End{
			Kind: netfault.Node, Index: one.node,
		}, netfault.End{Kind: netfault.Endpoint, Index: spec.Index},
			func() string { return one.address })
		if err != nil {
			e.stop()
			return nil, err
		}
	}
	run.group.Go(func() error { e.work(); return nil })
	return e, nil
}

// start starts an incarnation: in slow start if cold, else warm.
func (e *endpoint) start(cold bool) error {
	e.mu.Lock()
	now := e.run.now()
	e.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if e.startedAt = 0; cold {
		// The list has a resolution of 1 ms.
		started, e.startedAt = now, e.run.epoch(now)/1e6*1e6
	}
	e.incarnation++
	e.model = model.NewEndpoint(
		model.SpecOf(e.run.scenario, e.fleet, e.spec.Speed), started, now, e.spec.Seed+uint64(e.incarnation),
	)
	e.jobs, e.faults, e.draining, e.reports, e.nextReportAt, e.connections = map[int64]*attempt{}, endpointFaults{}, false, nil, now, 0
	e.mu.Unlock()
	for _, listener := range e.listeners {
		if err := listener.open(); err != nil {
			return err
		}
	}
	return nil
}

// recordSlowStart records the slow start of the incarnation that ends. The caller holds the lock.
func (e *endpoint) recordSlowStart() {
	if e.model != nil {
		e.run.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: e.spec.Index, Incarnation: e.incarnation, StartedAt: e.startedAt, MeanWork: e.model.MeanWork,
			Window: e.model.CrashWindow, Arrivals: e.model.SlowStartArrivals(),
		})
	}
}

// stop ends an incarnation: its connections are reset and new ones are refused.
func (e *endpoint) stop() {
	e.mu.Lock()
	if e.model != nil {
		e.model.Crash()
	}
	e.jobs = map[int64]*attempt{}
	e.mu.Unlock()
	for _, listener := range e.listeners {
		listener.close()
	}
	e.wake()
}

func (e *endpoint) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// work responds to the attempts whose jobs have ended, and samples the load, until the run ends.
func (e *endpoint) work() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.run.done:
			return
		case <-e.wakeup:
		case <-timer.C:
		}
		e.mu.Lock()
		now := e.run.now()
		done := e.model.Advance(now)
		if e.nextReportAt <= now {
			e.reports = append(e.reports, loadSample{now, e.model.Sample(now)})
			if len(e.reports) > 8 {
				e.reports = e.reports[1:]
			}
			e.nextReportAt = now + int64(e.run.scenario.Reports.Period)
		}
		next := min(e.model.Next(), e.nextReportAt)
		finished, expired := make([]*attempt, 0, 8), []*attempt(nil)
		for _, d := range done {
			a := e.jobs[d.Job.ID]
			if a == nil {
				continue // its incarnation has ended, or it was canceled
			}
			delete(e.jobs, d.Job.ID)
			if d.Expired {
				expired = append(expired, a)
				continue
			}
			e.run.history.Update(func() { a.record.Executed = true })
			finished = append(finished, a)
		}
		e.mu.Unlock()
		for _, a := range finished {
			a.finish()
		}
		for _, a := range expired {
			a.reject()
		}
		timer.Reset(time.Duration(max(next-e.run.now(), 0)))
	}
}

// report returns a load report from the newest sample that is old enough to be reported.
func (e *endpoint) report(now int64) string {
	r := &e.run.scenario.Reports
	if len(r.Fields) == 0 {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].sampledAt+int64(r.Delay) <= now {
			return string(encodeLoadReport(nil, r.Fields, e.reports[i].figures.Noisy(e.random.Float64, r.Noise)))
		}
	}
	return ""
}

// oneWay draws a one-way network delay between a node and the endpoint.
func (e *endpoint) oneWay(node int) time.Duration {
	n := &e.run.scenario.Network
	base := n.SameZone
	if e.run.zoneOf(node) != e.spec.Zone {
		base = n.CrossZone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(base) * (1 + n.Jitter*e.random.Float64()))
}
