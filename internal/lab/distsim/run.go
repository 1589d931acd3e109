package distsim

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"fawnglade/internal/relay"
)

const (
	maxRunTime  = 230 * time.Second
	worstWindow = 10 // seconds over which the highest rate of a node is computed
	// gcPercent during a run: most objects of this process live long, and with the default of 100 half of the heap
	// would be garbage.
	gcPercent = 40
)

// run is the state of a run in progress.
type run struct {
	size       Size
	logf       func(string, ...any)
	startedAt  time.Time
	expected   *expectedState
	processes  *processes
	nodes      *hollowNodes
	changes    []sentChange   // by number; index 0 is unused
	followers  map[string]int // number of nodes by scope
	baseMemory int64          // of this process before the nodes were started, bytes
	started    bool           // nodes have been started and can be compared with the expected state
	result     *Result
}

// sentChange is a change with the time when it was sent to the origin, in nanoseconds since the start of the run.
type sentChange struct {
	Change
	sentAt int64
}

func newRun(size Size, logf func(string, ...any)) *run {
	load := loadAverage()
	r := &run{
		size: size, logf: logf, startedAt: time.Now(), expected: newExpectedState(size), changes: make([]sentChange, 1), followers: map[string]int{},
		result: &Result{Size: size, Day: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), Load: LoadAverages{Begin: load}},
	}
	for i := range size.Nodes {
		for _, scope := range size.scopesOf(i) {
			r.followers[scope]++
		}
	}
	return r
}

// Run executes a run and reports progress to logf. If a phase fails, it returns the result so far together with the
// error; the result is nil if no phase could begin.
func Run(ctx context.Context, size Size, programs Programs, logf func(format string, args ...any)) (result *Result, err error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r := newRun(size, logf)
	logf("%d records at the origin, %d per node; about %d MB of memory in total", size.records(), size.recordsPerNode(), size.Memory()>>20)
	r.processes, err = newProcesses(size, programs)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, r.processes.close()) }()
	logf("origin and %d relays are running", size.UpperRelays+size.LowerRelays)
	r.nodes = newHollowNodes(size, r.startedAt, r.processes.relaysOf)
	defer forEachNode(r.nodes.all, (*hollowNode).stop)
	runtime.GC()
	debug.FreeOSMemory()
	r.baseMemory = residentMemory(os.Getpid())
	err = r.runPhases(ctx)
	r.result.Seconds = time.Since(r.startedAt).Seconds()
	r.result.Load.End = loadAverage()
	return r.result, err
}

func (r *run) runPhases(ctx context.Context) error {
	for _, p := range r.phases() {
		if err := r.runPhase(ctx, p); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// runPhase runs one phase, waits until every node has the expected records, and adds the figures to the result.
func (r *run) runPhase(ctx context.Context, p phase) error {
	figures := &Phase{Name: p.name}
	firstChange := len(r.changes)
	r.prepareNodes()
	clients := r.clientStats()
	stopSampling := r.sampleBytes()
	before, ownBefore, startedAt := r.usage(), ownProcessorTime(), time.Now()
	err := p.execute(ctx, figures)
	figures.Seconds = time.Since(startedAt).Seconds()
	figures.NodeCPU = 100 * float64(ownProcessorTime()-ownBefore) / 1e9 / figures.Seconds / float64(r.size.Nodes)
	r.addProcesses(figures, before)
	bytes := r.totalBytes() - before.bytes
	if err == nil {
		r.settlePhase(ctx, figures)
	}
	stopSampling()
	if err != nil {
		return err
	}
	r.addClients(figures, clients)
	r.addTraffic(figures, bytes)
	r.addDeliveries(figures, firstChange)
	r.result.Phases = append(r.result.Phases, figures)
	r.logPhase(figures)
	return ctx.Err()
}

// prepareNodes discards what the nodes recorded in the previous phase, except for the byte samples of its last seconds.
func (r *run) prepareNodes() {
	for _, h := range r.nodes.all {
		h.mu.Lock()
		h.deliveries, h.removals = nil, nil
		h.mu.Unlock()
		h.byteSamples = append(h.byteSamples[max(0, len(h.byteSamples)-worstWindow):], h.bytes.Load())
	}
}

// settlePhase waits until the nodes have the expected records, if nodes have been started.
func (r *run) settlePhase(ctx context.Context, figures *Phase) {
	startedAt := time.Now()
	if r.started {
		figures.NodeMB = float64(residentMemory(os.Getpid())-r.baseMemory) / float64(r.size.Nodes) / (1 << 20)
		r.settle(ctx, figures)
	}
	figures.SettleSeconds = time.Since(startedAt).Seconds()
}

func (r *run) logPhase(figures *Phase) {
	r.logf("%s", figures.row())
	if figures.Leaves != (LeaveCounts{}) {
		r.logf("  nodes left relays, by reason: %+v", figures.Leaves)
	}
	for warning, n := range r.processes.warnings() {
		r.logf("  relay logs, at least %d times: %s", n, warning)
	}
}

// sampleBytes samples the byte counters of all nodes every second until stop is called, and then once more.
func (r *run) sampleBytes() (stop func()) {
	stopped := make(chan struct{})
	var marking sync.WaitGroup
	marking.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for last := false; !last; {
			select {
			case <-stopped:
				last = true
			case <-tick.C:
			}
			for _, h := range r.nodes.all {
				h.byteSamples = append(h.byteSamples, h.bytes.Load())
			}
		}
	})
	return func() {
		close(stopped)
		marking.Wait()
	}
}

// clientStats returns the sums of the client counters over all nodes.
func (r *run) clientStats() relay.ClientStats {
	var sum relay.ClientStats
	for _, h := range r.nodes.all {
		sum = addStats(sum, h.stats())
	}
	return sum
}

// totalBytes returns the sum of the byte counters over all nodes.
func (r *run) totalBytes() int64 {
	var sum int64
	for _, h := range r.nodes.all {
		sum += h.bytes.Load()
	}
	return sum
}

// usage holds the resources used up to some time.
type usage struct {
	processor map[int]int64 // CPU time by process ID, nanoseconds
	bytes     int64         // of all nodes
}

func (r *run) usage() usage {
	origin := r.processes.origin.Process.Pid
	processor := map[int]int64{origin: processorTime(origin)}
	for _, p := range r.processes.running() {
		processor[p.process.PID()] = processorTime(p.process.PID())
	}
	return usage{processor, r.totalBytes()}
}
