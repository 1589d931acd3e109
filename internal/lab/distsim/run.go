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
	worstWindow = 10 // seconds, over which the worst rate to a node is taken
	// gcPercent while a run plays: most of what this process holds lives long, and the usual heap would be half
	// garbage.
	gcPercent = 40
)

// run is one run while it plays.
type run struct {
	size       Size
	logf       func(string, ...any)
	startedAt  time.Time
	expected   *expectedState
	processes  *processes
	nodes      *hollowNodes
	changes    []sentChange   // by number; the first is none
	followers  map[string]int // nodes that follow a scope
	baseMemory int64          // of this process before the nodes, bytes
	started    bool           // nodes have started, so that they can be judged
	result     *Result
}

// sentChange is a change with the time at which it was sent to the origin, nanoseconds since the start of the run.
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

// Play plays a run, and calls logf with lines of progress. If a phase cannot be played, it returns the result so far
// beside the error; the result is nil if no phase could begin.
func Run(ctx context.Context, size Size, programs Programs, logf func(format string, args ...any)) (result *Result, err error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r := newRun(size, logf)
	logf("%d records at the origin, %d for a node; about %d MB in all", size.records(), size.recordsPerNode(), size.Memory()>>20)
	r.processes, err = newProcesses(size, programs)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, r.processes.close()) }()
	logf("origin and %d relays run", size.UpperRelays+size.LowerRelays)
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

// runPhase plays one phase, waits until every node holds what is true, and adds the figures to the result.
func (r *run) runPhase(ctx context.Context, p phase) error {
	figures := &Phase{Name: p.name}
	firstChange := len(r.changes)
	r.prepareNodes()
	clients := r.clientStats()
	stopSampling := r.sampleBytes()
	before, ownBefore, began := r.usage(), ownProcessorTime(), time.Now()
	err := p.run(ctx, figures)
	figures.Seconds = time.Since(began).Seconds()
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

// prepareNodes forgets what the nodes noted in the phase before, but for the bytes of its last seconds.
func (r *run) prepareNodes() {
	for _, h := range r.nodes.all {
		h.mu.Lock()
		h.deliveries, h.removals = nil, nil
		h.mu.Unlock()
		h.byteSamples = append(h.byteSamples[max(0, len(h.byteSamples)-worstWindow):], h.bytes.Load())
	}
}

// settlePhase waits until the nodes are right, once they have started.
func (r *run) settlePhase(ctx context.Context, figures *Phase) {
	began := time.Now()
	if r.started {
		figures.NodeMB = float64(residentMemory(os.Getpid())-r.baseMemory) / float64(r.size.Nodes) / (1 << 20)
		r.settle(ctx, figures)
	}
	figures.SettleSeconds = time.Since(began).Seconds()
}

func (r *run) logPhase(figures *Phase) {
	r.logf("%s", figures.row())
	if figures.Leaves != (LeaveCounts{}) {
		r.logf("  relays left by nodes: %+v", figures.Leaves)
	}
	for warning, n := range r.processes.warnings() {
		r.logf("  in the relays' logs, %d times at least: %s", n, warning)
	}
}

// sampleBytes notes the bytes of all nodes each second until the returned function is called, and then once more.
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

// clientStats sums those of all nodes.
func (r *run) clientStats() relay.ClientStats {
	var sum relay.ClientStats
	for _, h := range r.nodes.all {
		sum = addStats(sum, h.stats())
	}
	return sum
}

// totalBytes sums those of all nodes.
func (r *run) totalBytes() int64 {
	var sum int64
	for _, h := range r.nodes.all {
		sum += h.bytes.Load()
	}
	return sum
}

// usage is what was used up to a moment.
type usage struct {
	processor map[int]int64 // by process ID, nanoseconds
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
