// Package emulator runs a scenario on sockets in real time: endpoints, discovery, clients and faults around real
// nodes. It sends to addresses in 127.0.0.0/8 alone, and leaves no process and no socket behind.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Options of a run.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Start    StartFunc
	Direct   bool   // clients ask the servers themselves: the rig is measured without a node
	LogDir   string // where logs of nodes go; a directory of its own, gone at the end, if empty
	Log      *zap.Logger
	Progress func(at, length time.Duration, settled, tasks int)
}

// Emulation is one run.
type Emulation struct {
	scenario   *scenario.Scenario
	plan       *workload.Plan
	start      StartFunc
	log        *zap.Logger
	workDir    string
	logDir     string
	clockStart time.Time
	startedAt  int64 // when the day itself began, after its preparation
	planHash   string
	direct     bool
	history    *invariant.History
	lag        *lagMonitor
	group      errgroup.Group
	done       chan struct{}
	finishOnce sync.Once

	addMu         sync.Mutex // one machine is added at a time, as its index is its place
	endpointList  []*endpoint
	mu            sync.Mutex
	anomalies     map[string]int
	errs          []error
	deduplicators map[dedupKey]*sharedDeduplicator
	slotWaits     map[int]int64
	loads         []trace.LoadSample
	networkOctets [2]int
	discovery     *discovery
	nodes         []*node
	clients       *clients
	badClients    badClients
	links         *links
	views         []trace.MembershipView
	running       []trace.RunningNodes
}

type dedupKey struct {
	class int
	group string
}

type sharedDeduplicator struct {
	mu sync.Mutex
	*model.Deduplicator
}

func (m *sharedDeduplicator) seen(now int64, ticket string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Seen(now, ticket)
}

var runCount atomic.Int64

const (
	readyTimeout = 15 * time.Second
	settleTime   = 2 * time.Second // after the longest hard limit
	stopTimeout  = 6 * time.Second
)

// Run runs a scenario to its end. An error means that it could not run; what went wrong within it is in the trace.
func Run(ctx context.Context, o Options) (played *trace.Trace, err error) {
	if err := o.Scenario.CheckOnSockets(); err != nil {
		return nil, err
	}
	d := &Emulation{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), start: o.Start, log: o.Log, logDir: o.LogDir,
		clockStart: time.Now(),
		history:    &invariant.History{}, done: make(chan struct{}), anomalies: map[string]int{},
		deduplicators: map[dedupKey]*sharedDeduplicator{}, slotWaits: map[int]int64{},
	}
	if d.log == nil {
		d.log = zap.NewNop()
	}
	d.planHash = d.plan.Hash()
	d.lag = &lagMonitor{now: d.now}
	n := (os.Getpid()*61 + int(runCount.Add(1))) % (200 * 250)
	d.networkOctets = [2]int{20 + n/250, 1 + n%250}
	if d.workDir, err = os.MkdirTemp("", "fawnglade-lab-"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(d.workDir) }() // the system clears its temporary directory otherwise
	if d.logDir == "" {
		d.logDir = d.workDir
	} else if err := os.MkdirAll(d.logDir, 0o755); err != nil {
		return nil, err
	}
	// Whatever ends the run, also a panic, its processes and sockets are gone.
	defer func() {
		d.finish()
		if err == nil {
			err = errors.Join(d.errs...)
		}
	}()
	d.direct = o.Direct
	if d.links, err = newLinks(d); err != nil {
		return nil, err
	}
	if err := d.prepare(ctx); err != nil {
		return nil, err
	}
	if err := d.run(ctx, o.Progress); err != nil {
		return nil, err
	}
	return d.trace(), nil
}

func (d *Emulation) now() int64 { return int64(time.Since(d.clockStart)) }

// epoch turns a time of the run into Unix nanoseconds, as the list has starts.
func (d *Emulation) epoch(at int64) int64 { return d.clockStart.UnixNano() + at }

// address is where a part listens for one node: each node has a network of its own.
func (d *Emulation) address(node, part int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", d.networkOctets[0], d.networkOctets[1], 1+2*node+part)
}

func (d *Emulation) zoneOf(node int) string { return d.scenario.Network.Zones[d.nodes[node].zone] }

func (d *Emulation) endpointAt(i int) *endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointList[i]
}

func (d *Emulation) endpoints() []*endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*endpoint(nil), d.endpointList...)
}

// after runs something after a while, unless the run is over by then.
func (d *Emulation) after(after time.Duration, do func()) {
	if after <= 0 {
		do()
		return
	}
	time.AfterFunc(after, func() {
		if !d.isDone() {
			do()
		}
	})
}

func (d *Emulation) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// sleepUntil waits for a time of the run; false means that the run ended first.
func (d *Emulation) sleepUntil(at int64) bool {
	wait := at - d.now()
	if wait <= 0 {
		return !d.isDone()
	}
	select {
	case <-d.done:
		return false
	case <-time.After(time.Duration(wait)):
		return true
	}
}

// recordAnomaly counts what should not happen and is no violation of a rule by itself.
func (d *Emulation) recordAnomaly(what, detail string) {
	d.mu.Lock()
	d.anomalies[what]++
	n := d.anomalies[what]
	d.mu.Unlock()
	if n <= 5 {
		d.log.Info(what, zap.String("detail", detail), zap.Duration("at", time.Duration(d.now())))
	}
}

// report keeps an error of the emulator itself; the scenario could then not be run as written.
func (d *Emulation) recordError(err error) {
	if err == nil || d.isDone() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errs = append(d.errs, err)
}

// requestID is the ID of a request on the wire; operationOf is its inverse.
func (d *Emulation) requestID(task, try int) string {
	return fmt.Sprintf("%08x%06x%02x", uint32(d.plan.Seed*2654435761), task, try)
}

func (d *Emulation) operationOf(id string) (task *workload.Operation, try int, known bool) {
	if len(id) != 16 || id[:8] != fmt.Sprintf("%08x", uint32(d.plan.Seed*2654435761)) {
		return nil, 0, false
	}
	n, err := strconv.ParseUint(id[8:14], 16, 32)
	k, err2 := strconv.ParseUint(id[14:], 16, 16)
	if err != nil || err2 != nil || int(n) >= len(d.plan.Operations) {
		return nil, 0, false
	}
	return &d.plan.Operations[n], int(k), true
}

func (d *Emulation) deduplicatorOf(m *endpoint, category int) *sharedDeduplicator {
	c := &d.scenario.Classes[category]
	k := dedupKey{category, ""}
	switch c.DedupGroup {
	case "zone":
		k.group = m.spec.Zone
	case "pod":
		k.group = strconv.Itoa(m.spec.Pod)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deduplicators[k] == nil {
		d.deduplicators[k] = &sharedDeduplicator{Deduplicator: model.NewDeduplicator(int64(c.DedupWindow))}
	}
	return d.deduplicators[k]
}

func (d *Emulation) setListed(m *endpoint, h model.State, notice time.Duration) {
	m.mu.Lock()
	started := m.startedAt
	m.mu.Unlock()
	d.discovery.set(model.ListEntry{Endpoint: m.spec.Index, State: h, StartedAt: started}, notice)
}

// endpointCrashed ends an endpoint that was overloaded in slow start. It stays down.
func (d *Emulation) endpointCrashed(m *endpoint, life int, f *model.Crash) {
	m.mu.Lock()
	started := m.startedAt
	m.mu.Unlock()
	d.history.RecordCrash(invariant.Crash{Endpoint: m.spec.Index, Incarnation: life, StartedAt: started, Crash: *f})
	d.recordAnomaly("a cold server was pushed over", m.spec.Name)
	d.group.Go(func() error { m.stop(); return nil })
	d.setListed(m, model.Removed, time.Duration(d.scenario.Discovery.ChangeDelay))
}

// addEndpoint adds an endpoint in slow start, at addresses that another left if there are any.
func (d *Emulation) addEndpoint(spec workload.Endpoint, name string, addresses []string, notice time.Duration) error {
	d.addMu.Lock()
	defer d.addMu.Unlock()
	spec.Index, spec.Name = len(d.endpoints()), name
	m, err := newEndpoint(d, spec, true, addresses)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.endpointList = append(d.endpointList, m)
	d.mu.Unlock()
	d.setListed(m, model.Up, notice)
	return nil
}

// prepare starts endpoints, discovery and nodes, and waits until the nodes are ready.
func (d *Emulation) prepare(ctx context.Context) error {
	for _, spec := range d.plan.Endpoints {
		m, err := newEndpoint(d, spec, d.scenario.Fleets[spec.Fleet].StartsCold, nil)
		if err != nil {
			return fmt.Errorf("server %s: %w", spec.Name, err)
		}
		d.endpointList = append(d.endpointList, m)
	}
	for i := range d.scenario.Nodes.Count {
		n := &node{
			run: d, index: i, zone: i % len(d.scenario.Network.Zones),
			config:  filepath.Join(d.workDir, fmt.Sprintf("n%d.json", i)),
			address: fmt.Sprintf("127.%d.%d.%d:8443", d.networkOctets[0], d.networkOctets[1], 200+i),
			usage:   trace.NodeUsage{Node: i},
		}
		if zones := d.scenario.Nodes.Zones; len(zones) > 0 {
			for z, name := range d.scenario.Network.Zones {
				if name == zones[i] {
					n.zone = z
				}
			}
		}
		err := os.Mkdir(n.stateDir(), 0o700)
		if err != nil {
			return err
		}
		if n.log, err = os.Create(filepath.Join(d.logDir, fmt.Sprintf("node-%d.log", i))); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	var err error
	if d.discovery, err = newDiscovery(d); err != nil {
		return err
	}
	for _, m := range d.endpointList {
		d.setListed(m, model.Up, 0)
	}
	d.discovery.keepInitial()
	if d.clients, err = newClients(d); err != nil {
		return err
	}
	for i, n := range d.nodes {
		if d.direct {
			n.address, n.admitted = d.endpointList[i%len(d.endpointList)].listeners[i].address, true
			continue
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.nodes {
		for !n.isAdmitted() {
			n.mu.Lock()
			p := n.handle
			n.mu.Unlock()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-p.Done(): // a node that is in has a process, so one that is not yet has too
				return fmt.Errorf("node %d ended before it was ready: %s", n.index, lastLine(n.log.Name()))
			case <-time.After(5 * time.Millisecond):
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node %d not ready within %v", n.index, readyTimeout)
			}
		}
	}
	return nil
}

// run is the run itself. Its time starts anew: what came before was preparation.
func (d *Emulation) run(ctx context.Context, progress func(at, length time.Duration, settled, tasks int)) error {
	d.startedAt = d.now()
	d.plan.Shift(d.startedAt)
	d.links.start()
	if err := d.snapshotState(); err != nil {
		return err
	}
	d.group.Go(func() error { d.lag.run(d.done); return nil })
	d.group.Go(func() error { d.clients.sendAll(); return nil })
	d.group.Go(func() error { d.recordError(d.startFaults()); return nil })
	d.group.Go(func() error { d.badClients.run(d); return nil })
	d.group.Go(func() error { d.sample(); return nil })
	d.group.Go(func() error { d.recordViews(); return nil })
	length := time.Duration(d.scenario.Length)
	longest := time.Duration(0)
	for _, c := range d.scenario.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	end := time.After(length + longest + settleTime)
	settled := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-tick.C:
			d.clients.mu.Lock()
			left := d.clients.unfinished
			d.clients.mu.Unlock()
			if progress != nil {
				progress(
					time.Duration(d.now()-d.startedAt), length, len(d.plan.Operations)-left, len(d.plan.Operations),
				)
			}
			if d.now()-d.startedAt < int64(length) {
				continue
			}
			if left == 0 && settled {
				return nil
			}
			settled = left == 0 // one more tick, for what comes after the last answer
		}
	}
}

// sample records what nodes use and what is in flight at endpoints.
func (d *Emulation) sample() {
	for n := int64(1); d.sleepUntil(d.startedAt + n*int64(250*time.Millisecond)); n++ {
		s := trace.LoadSample{At: d.now() - d.startedAt}
		for _, m := range d.endpoints() {
			m.mu.Lock()
			s.InFlight = append(s.InFlight, m.model.InFlight())
			m.mu.Unlock()
		}
		for _, one := range d.nodes {
			one.sampleUsage()
		}
		d.mu.Lock()
		d.loads = append(d.loads, s)
		d.mu.Unlock()
	}
}

// finish ends all that the run began, in whatever state it is.
func (d *Emulation) finish() {
	d.finishOnce.Do(func() {
		d.history.Close()
		close(d.done)
		for _, n := range d.nodes {
			n.mu.Lock()
			p := n.handle
			n.mu.Unlock()
			if p != nil {
				signal(p, os.Interrupt)
			}
		}
		if d.clients != nil {
			d.clients.close()
		}
		deadline := time.After(stopTimeout)
		for _, n := range d.nodes {
			n.mu.Lock()
			p := n.handle
			n.mu.Unlock()
			if p == nil {
				continue
			}
			select {
			case <-p.Done():
			case <-deadline:
			}
			signal(p, os.Kill)
			<-p.Done()
		}
		for _, m := range d.endpoints() {
			m.stop()
		}
		if d.discovery != nil {
			d.discovery.close()
		}
		if d.links != nil {
			d.links.close()
		}
		gone := make(chan struct{})
		go func() {
			_ = d.group.Wait() // its parts return no errors
			close(gone)
		}()
		select {
		case <-gone:
		case <-time.After(stopTimeout):
			d.errs = append(d.errs, errors.New("parts of the rig did not end; this is a fault of the rig"))
		}
		for _, n := range d.nodes {
			if n.log != nil {
				n.log.Close()
			}
		}
	})
}

// trace closes the history and checks the rules.
func (d *Emulation) trace() *trace.Trace {
	for _, n := range d.nodes {
		n.sampleUsage()
	}
	for _, m := range d.endpoints() {
		m.mu.Lock()
		m.recordSlowStart()
		m.mu.Unlock()
	}
	d.history.Close()
	void, late := d.lag.isVoid()
	r := &trace.Trace{
		Plan: d.plan, PlanHash: d.planHash, StartedAt: d.startedAt, History: d.history, Void: void,
		Lag: time.Duration(late), Anomalies: map[string]int{}, Elapsed: time.Duration(d.now() - d.startedAt),
		BadClients: trace.BadClientCounts{
			Connected: d.badClients.connected.Load(), Unanswered: d.badClients.unanswered.Load(),
			Served: d.badClients.served.Load(),
		},
	}
	d.clients.mu.Lock()
	r.Outcomes = append(r.Outcomes, d.clients.outcomes...)
	d.clients.mu.Unlock()
	trace.ExcuseCutLinks(d.scenario, d.plan, d.history)
	r.Reach = trace.ReachOf(d.scenario, d.links.schedule, d.startedAt)
	rules := trace.RulesOf(d.scenario, d.links.schedule, d.startedAt, socketSlack, d.lag.allowanceAt)
	r.Violations = d.history.Check(trace.Classes(d.scenario), rules)
	r.Peaks.All, r.Peaks.Known = d.history.Peaks(rules)
	for i := range r.Violations {
		r.Violations[i].At -= d.startedAt
	}
	for _, m := range d.endpoints() {
		r.Endpoints = append(r.Endpoints, m.spec.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for what, n := range d.anomalies {
		r.Anomalies[what] = n
	}
	r.Loads, r.Views, r.Running = d.loads, d.views, d.running
	for _, n := range d.nodes {
		n.mu.Lock()
		n.usage.LastLogLine = lastLine(n.log.Name())
		r.Nodes = append(r.Nodes, n.usage)
		n.mu.Unlock()
	}
	return r
}

// socketSlack is what each time limit is longer by on sockets, by the protocol.
const socketSlack = int64(50 * time.Millisecond)

// lastLine of a log, to show beside what the emulator saw.
func lastLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		if _, err := f.Seek(max(0, size-2000), io.SeekStart); err != nil {
			return ""
		}
	}
	text, err := io.ReadAll(f)
	if err != nil {
		return ""
	}
	end := len(text)
	for end > 0 && text[end-1] == '\n' {
		end--
	}
	begin := end
	for begin > 0 && text[begin-1] != '\n' {
		begin--
	}
	return string(text[begin:end])
}
