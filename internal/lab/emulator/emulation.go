// Package emulator runs a scenario on sockets in real time: it emulates endpoints, discovery, clients and faults around
// real nodes. It only uses addresses in 127.0.0.0/8, and leaves no process and no socket behind.
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

// Options are the options of a run.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Start    StartFunc
	Direct   bool   // clients send to the endpoints without nodes, to measure the emulator itself
	LogDir   string // for the logs of nodes; if empty, a temporary directory that is removed at the end
	Log      *zap.Logger
	Progress func(at, length time.Duration, finished, operations int)
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
	startedAt  int64 // when the run itself started, after the preparation
	planHash   string
	direct     bool
	history    *invariant.History
	lag        *lagMonitor
	group      errgroup.Group
	done       chan struct{}
	finishOnce sync.Once

	addMu         sync.Mutex // serializes additions, as an endpoint's index is its position in endpointList
	endpointList  []*endpoint
	mu            sync.Mutex
	anomalies     map[string]int
	errs          []error
	deduplicators map[dedupKey]*sharedDeduplicator
	slotWaits     map[int]int64 // active wait faults in nanoseconds, by waitKey
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

// dedupKey identifies a deduplication group of a class.
type dedupKey struct {
	class int
	group string
}

// sharedDeduplicator is a Deduplicator that is safe for concurrent use.
type sharedDeduplicator struct {
	mu sync.Mutex
	*model.Deduplicator
}

func (m *sharedDeduplicator) seen(now int64, idempotencyKey string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Seen(now, idempotencyKey)
}

var runCount atomic.Int64

const (
	readyTimeout = 15 * time.Second
	settleTime   = 2 * time.Second // after the longest deadline
	stopTimeout  = 6 * time.Second
)

// Run runs a scenario to its end. An error means that the run could not be completed; failures and violations within
// the run are in the trace.
func Run(ctx context.Context, o Options) (result *trace.Trace, err error) {
	if err := o.Scenario.CheckOnSockets(); err != nil {
		return nil, err
	}
	run := &Emulation{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), start: o.Start, log: o.Log, logDir: o.LogDir,
		clockStart: time.Now(),
		history:    &invariant.History{}, done: make(chan struct{}), anomalies: map[string]int{},
		deduplicators: map[dedupKey]*sharedDeduplicator{}, slotWaits: map[int]int64{},
	}
	if run.log == nil {
		run.log = zap.NewNop()
	}
	run.planHash = run.plan.Hash()
	run.lag = &lagMonitor{now: run.now}
	n := (os.Getpid()*61 + int(runCount.Add(1))) % (200 * 250)
	run.networkOctets = [2]int{20 + n/250, 1 + n%250}
	if run.workDir, err = os.MkdirTemp("", "fawnglade-lab-"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(run.workDir) }() // on failure, the system cleans up its temporary directory
	if run.logDir == "" {
		run.logDir = run.workDir
	} else if err := os.MkdirAll(run.logDir, 0o755); err != nil {
		return nil, err
	}
	// End all processes and close all sockets however the run ends, including by a panic.
	defer func() {
		run.finish()
		if err == nil {
			err = errors.Join(run.errs...)
		}
	}()
	run.direct = o.Direct
	if run.links, err = newLinks(run); err != nil {
		return nil, err
	}
	if err := run.prepare(ctx); err != nil {
		return nil, err
	}
	if err := run.run(ctx, o.Progress); err != nil {
		return nil, err
	}
	return run.trace(), nil
}

func (run *Emulation) now() int64 { return int64(time.Since(run.clockStart)) }

// epoch converts a time of the run to Unix nanoseconds, the unit of starts in the endpoint list.
func (run *Emulation) epoch(at int64) int64 { return run.clockStart.UnixNano() + at }

// address returns the address at which an endpoint (part 0) or discovery (part 1) listens for one node. Each node has
// its own addresses.
func (run *Emulation) address(node, part int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", run.networkOctets[0], run.networkOctets[1], 1+2*node+part)
}

func (run *Emulation) zoneOf(node int) string {
	return run.scenario.Network.Zones[run.nodes[node].zone]
}

func (run *Emulation) endpointAt(i int) *endpoint {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.endpointList[i]
}

func (run *Emulation) endpoints() []*endpoint {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]*endpoint(nil), run.endpointList...)
}

// after calls do after a delay, unless the run has ended by then.
func (run *Emulation) after(after time.Duration, do func()) {
	if after <= 0 {
		do()
		return
	}
	time.AfterFunc(after, func() {
		if !run.isDone() {
			do()
		}
	})
}

func (run *Emulation) isDone() bool {
	select {
	case <-run.done:
		return true
	default:
		return false
	}
}

// sleepUntil waits until a time of the run. It returns false if the run ended first.
func (run *Emulation) sleepUntil(at int64) bool {
	wait := at - run.now()
	if wait <= 0 {
		return !run.isDone()
	}
	select {
	case <-run.done:
		return false
	case <-time.After(time.Duration(wait)):
		return true
	}
}

// recordAnomaly counts an anomaly that is no violation of a rule in itself, and logs the first few of each kind.
func (run *Emulation) recordAnomaly(kind, detail string) {
	run.mu.Lock()
	run.anomalies[kind]++
	n := run.anomalies[kind]
	run.mu.Unlock()
	if n <= 5 {
		run.log.Info(kind, zap.String("detail", detail), zap.Duration("at", time.Duration(run.now())))
	}
}

// recordError records an error of the emulator itself, which means that the scenario could not be run as written.
func (run *Emulation) recordError(err error) {
	if err == nil || run.isDone() {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.errs = append(run.errs, err)
}

// requestID returns the ID of a request on the wire. operationOf is the inverse.
func (run *Emulation) requestID(operation, number int) string {
	return fmt.Sprintf("%08x%06x%02x", uint32(run.plan.Seed*2654435761), operation, number)
}

func (run *Emulation) operationOf(id string) (o *workload.Operation, number int, known bool) {
	if len(id) != 16 || id[:8] != fmt.Sprintf("%08x", uint32(run.plan.Seed*2654435761)) {
		return nil, 0, false
	}
	n, err := strconv.ParseUint(id[8:14], 16, 32)
	k, err2 := strconv.ParseUint(id[14:], 16, 16)
	if err != nil || err2 != nil || int(n) >= len(run.plan.Operations) {
		return nil, 0, false
	}
	return &run.plan.Operations[n], int(k), true
}

func (run *Emulation) deduplicatorOf(e *endpoint, class int) *sharedDeduplicator {
	c := &run.scenario.Classes[class]
	k := dedupKey{class, ""}
	switch c.DedupGroup {
	case "zone":
		k.group = e.spec.Zone
	case "pod":
		k.group = strconv.Itoa(e.spec.Pod)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.deduplicators[k] == nil {
		run.deduplicators[k] = &sharedDeduplicator{Deduplicator: model.NewDeduplicator(int64(c.DedupWindow))}
	}
	return run.deduplicators[k]
}

func (run *Emulation) setListed(e *endpoint, state model.State, delay time.Duration) {
	e.mu.Lock()
	started := e.startedAt
	e.mu.Unlock()
	run.discovery.set(model.ListEntry{Endpoint: e.spec.Index, State: state, StartedAt: started}, delay)
}

// endpointCrashed ends an endpoint that was overloaded in slow start. It is not restarted.
func (run *Emulation) endpointCrashed(e *endpoint, incarnation int, crash *model.Crash) {
	e.mu.Lock()
	started := e.startedAt
	e.mu.Unlock()
	run.history.RecordCrash(invariant.Crash{Endpoint: e.spec.Index, Incarnation: incarnation, StartedAt: started, Crash: *crash})
	run.recordAnomaly("a cold server was pushed over", e.spec.Name)
	run.group.Go(func() error { e.stop(); return nil })
	run.setListed(e, model.Removed, time.Duration(run.scenario.Discovery.ChangeDelay))
}

// addEndpoint adds an endpoint in slow start. With addresses, it listens at those of an endpoint that it replaces.
func (run *Emulation) addEndpoint(spec workload.Endpoint, name string, addresses []string, delay time.Duration) error {
	run.addMu.Lock()
	defer run.addMu.Unlock()
	spec.Index, spec.Name = len(run.endpoints()), name
	e, err := newEndpoint(run, spec, true, addresses)
	if err != nil {
		return err
	}
	run.mu.Lock()
	run.endpointList = append(run.endpointList, e)
	run.mu.Unlock()
	run.setListed(e, model.Up, delay)
	return nil
}

// prepare starts endpoints, discovery and nodes, and waits until the nodes are ready.
func (run *Emulation) prepare(ctx context.Context) error {
	for _, spec := range run.plan.Endpoints {
		e, err := newEndpoint(run, spec, run.scenario.Fleets[spec.Fleet].StartsCold, nil)
		if err != nil {
			return fmt.Errorf("server %s: %w", spec.Name, err)
		}
		run.endpointList = append(run.endpointList, e)
	}
	for i := range run.scenario.Nodes.Count {
		n := &node{
			run: run, index: i, zone: i % len(run.scenario.Network.Zones),
			config:  filepath.Join(run.workDir, fmt.Sprintf("n%d.json", i)),
			address: fmt.Sprintf("127.%d.%d.%d:8443", run.networkOctets[0], run.networkOctets[1], 200+i),
			usage:   trace.NodeUsage{Node: i},
		}
		if zones := run.scenario.Nodes.Zones; len(zones) > 0 {
			for z, name := range run.scenario.Network.Zones {
				if name == zones[i] {
					n.zone = z
				}
			}
		}
		err := os.Mkdir(n.stateDir(), 0o700)
		if err != nil {
			return err
		}
		if n.log, err = os.Create(filepath.Join(run.logDir, fmt.Sprintf("node-%d.log", i))); err != nil {
			return err
		}
		run.nodes = append(run.nodes, n)
	}
	var err error
	if run.discovery, err = newDiscovery(run); err != nil {
		return err
	}
	for _, e := range run.endpointList {
		run.setListed(e, model.Up, 0)
	}
	run.discovery.keepInitial()
	if run.clients, err = newClients(run); err != nil {
		return err
	}
	for i, n := range run.nodes {
		if run.direct {
			n.address, n.admitted = run.endpointList[i%len(run.endpointList)].listeners[i].address, true
			continue
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range run.nodes {
		for !n.isAdmitted() {
			n.mu.Lock()
			process := n.handle
			n.mu.Unlock()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-process.Done(): // each node that was started has a process
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

// run runs the plan. The run starts now: the times of the plan are shifted, so that the preparation does not count.
func (run *Emulation) run(ctx context.Context, progress func(at, length time.Duration, finished, operations int)) error {
	run.startedAt = run.now()
	run.plan.Shift(run.startedAt)
	run.links.start()
	if err := run.snapshotState(); err != nil {
		return err
	}
	run.group.Go(func() error { run.lag.run(run.done); return nil })
	run.group.Go(func() error { run.clients.sendAll(); return nil })
	run.group.Go(func() error { run.recordError(run.startFaults()); return nil })
	run.group.Go(func() error { run.badClients.run(run); return nil })
	run.group.Go(func() error { run.sample(); return nil })
	run.group.Go(func() error { run.recordViews(); return nil })
	length := time.Duration(run.scenario.Length)
	longest := time.Duration(0)
	for _, c := range run.scenario.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	end := time.After(length + longest + settleTime)
	allFinished := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-tick.C:
			run.clients.mu.Lock()
			unfinished := run.clients.unfinished
			run.clients.mu.Unlock()
			if progress != nil {
				progress(
					time.Duration(run.now()-run.startedAt), length, len(run.plan.Operations)-unfinished, len(run.plan.Operations),
				)
			}
			if run.now()-run.startedAt < int64(length) {
				continue
			}
			if unfinished == 0 && allFinished {
				return nil
			}
			allFinished = unfinished == 0 // wait one more tick for events after the last response
		}
	}
}

// sample periodically records the resource usage of nodes and the attempts in flight at endpoints.
func (run *Emulation) sample() {
	for n := int64(1); run.sleepUntil(run.startedAt + n*int64(250*time.Millisecond)); n++ {
		s := trace.LoadSample{At: run.now() - run.startedAt}
		for _, e := range run.endpoints() {
			e.mu.Lock()
			s.InFlight = append(s.InFlight, e.model.InFlight())
			e.mu.Unlock()
		}
		for _, one := range run.nodes {
			one.sampleUsage()
		}
		run.mu.Lock()
		run.loads = append(run.loads, s)
		run.mu.Unlock()
	}
}

// finish ends all processes, sockets and goroutines of the run, whatever its state is.
func (run *Emulation) finish() {
	run.finishOnce.Do(func() {
		run.history.Close()
		close(run.done)
		for _, n := range run.nodes {
			n.mu.Lock()
			process := n.handle
			n.mu.Unlock()
			if process != nil {
				signal(process, os.Interrupt)
			}
		}
		if run.clients != nil {
			run.clients.close()
		}
		deadline := time.After(stopTimeout)
		for _, n := range run.nodes {
			n.mu.Lock()
			process := n.handle
			n.mu.Unlock()
			if process == nil {
				continue
			}
			select {
			case <-process.Done():
			case <-deadline:
			}
			signal(process, os.Kill)
			<-process.Done()
		}
		for _, e := range run.endpoints() {
			e.stop()
		}
		if run.discovery != nil {
			run.discovery.close()
		}
		if run.links != nil {
			run.links.close()
		}
		stopped := make(chan struct{})
		go func() {
			_ = run.group.Wait() // its functions return no errors
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(stopTimeout):
			run.errs = append(run.errs, errors.New("goroutines of the emulator did not end before the timeout; this is a bug in the emulator"))
		}
		for _, n := range run.nodes {
			if n.log != nil {
				n.log.Close()
			}
		}
	})
}

// trace closes the history, checks the rules and returns the trace of the run.
func (run *Emulation) trace() *trace.Trace {
	for _, n := range run.nodes {
		n.sampleUsage()
	}
	for _, e := range run.endpoints() {
		e.mu.Lock()
		e.recordSlowStart()
		e.mu.Unlock()
	}
	run.history.Close()
	void, late := run.lag.isVoid()
	r := &trace.Trace{
		Plan: run.plan, PlanHash: run.planHash, StartedAt: run.startedAt, History: run.history, Void: void,
		Lag: time.Duration(late), Anomalies: map[string]int{}, Elapsed: time.Duration(run.now() - run.startedAt),
		BadClients: trace.BadClientCounts{
			Connected: run.badClients.connected.Load(), Unanswered: run.badClients.unanswered.Load(),
			Served: run.badClients.served.Load(),
		},
	}
	run.clients.mu.Lock()
	r.Outcomes = append(r.Outcomes, run.clients.outcomes...)
	run.clients.mu.Unlock()
	trace.ExcuseCutLinks(run.scenario, run.plan, run.history)
	r.Reach = trace.ReachOf(run.scenario, run.links.schedule, run.startedAt)
	rules := trace.RulesOf(run.scenario, run.links.schedule, run.startedAt, socketSlack, run.lag.allowanceAt)
	r.Violations = run.history.Check(trace.Classes(run.scenario), rules)
	r.Peaks.All, r.Peaks.Known = run.history.Peaks(rules)
	for i := range r.Violations {
		r.Violations[i].At -= run.startedAt
	}
	for _, e := range run.endpoints() {
		r.Endpoints = append(r.Endpoints, e.spec.Name)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for kind, n := range run.anomalies {
		r.Anomalies[kind] = n
	}
	r.Loads, r.Views, r.Running = run.loads, run.views, run.running
	for _, n := range run.nodes {
		n.mu.Lock()
		n.usage.LastLogLine = lastLine(n.log.Name())
		r.Nodes = append(r.Nodes, n.usage)
		n.mu.Unlock()
	}
	return r
}

// socketSlack is the tolerance that the protocol adds to each time limit on sockets.
const socketSlack = int64(50 * time.Millisecond)

// lastLine returns the last line of a log file, or an empty string.
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
