package distsim

// This file owns the order of a run: its acts, and what is measured in each. It must never go on for longer than mostRun, and judges
// by numbers and versions; times are told, not judged.

import (
	"context"
	"fawnglade/internal/relay"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"
)

// Run is one run, while it plays.
type run struct {
	size       Size
	logf       func(string, ...any)
	began      time.Time
	world      *truth
	processes  *processes
	nodes      *hollowNodes
	sentAt     []int64 // of each change, since the run began, ns
	changes    []Change
	followers  map[string]int // nodes that follow a scope
	baseMemory int64          // memory of this process before the nodes
	started    bool           // nodes have begun, so that they can be judged
	result     *Result
}

const (
	maxRunTime      = 230 * time.Second
	changeInterval  = 20 * time.Millisecond  // changes go to the origin so often
	restartTime     = time.Second            // a server is back so long after its drain began
	replacementTime = 3 * time.Second        // and another machine in a failed one's place
	settlePoll      = 250 * time.Millisecond // at the nodes, while an act settles
	worstWindow     = 10                     // seconds
	// A relay that was started anew has nothing for so long: time for nodes to come, and less than makes a relay leave its upstream.
	emptyRelayTime = 1200 * time.Millisecond
)

// Play plays a size and tells the result; an error where it could not be played.
func Play(ctx context.Context, size Size, programs Programs, say func(string, ...any)) (*Result, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	// Most of what this process holds lives long; a heap of twice that would be half of it for nothing.
	defer debug.SetGCPercent(debug.SetGCPercent(40))
	r := &run{size: size, logf: say, began: time.Now(), sentAt: []int64{0}, changes: []Change{{}}, followers: map[string]int{}, result: &Result{Size: size, Day: time.Now().UTC().Format("2006-01-02"), Cores: runtime.NumCPU()}}
	r.result.Load.Begin = loadAverage()
	say("%d records at the origin, %d for a node; about %d MB in all", size.Endpoints+size.Routes+size.Tenants, size.recordsPerNode(), size.Memory()>>20)
	r.world = newTruth(size)
	for i := range size.Nodes {
		for _, scope := range size.scopesOf(i) {
			r.followers[scope]++
		}
	}
	var err error
	if r.processes, err = newProcesses(size, programs); err != nil {
		return nil, err
	}
	defer r.processes.close()
	say("origin and %d relays run", size.UpperRelays+size.LowerRelays)
	r.nodes = newNodes(size, r.began, r.processes.relaysOf)
	defer forEachNode(r.nodes.all, (*hollowNode).stop)
	runtime.GC()
	debug.FreeOSMemory()
	r.baseMemory = residentMemory(os.Getpid())
	defer func() { r.result.Seconds, r.result.Load.End = time.Since(r.began).Seconds(), loadAverage() }()
	for _, act := range r.phases() {
		if err := r.playPhase(ctx, act.name, act.play); err != nil {
			return r.result, fmt.Errorf("%s: %w", act.name, err)
		}
	}
	return r.result, nil
}

type phase struct {
	name string
	play func(ctx context.Context, a *Phase) error
}

func (r *run) phases() []phase {
	pairs := r.size.relayGroups()
	first, second, upper := r.processes.lower[0], r.processes.lower[pairs], r.processes.upper[0]
	other := r.processes.lower[1%pairs] // of another group, so that nodes still follow it
	during := func(begin func() error, then func(context.Context) error) func(context.Context, *Phase) error {
		return func(ctx context.Context, _ *Phase) error {
			if err := r.day(ctx, r.size.Speedup, r.size.PhaseTime/5); err != nil {
				return err
			}
			if err := begin(); err != nil {
				return err
			}
			if err := r.day(ctx, r.size.Speedup, r.size.PhaseTime*4/5); err != nil {
				return err
			}
			return then(ctx)
		}
	}
	nothing := func(context.Context) error { return nil }
	return []phase{
		{"relays fill, from nothing", r.fill},
		{"all nodes start at once, from nothing", func(ctx context.Context, a *Phase) error { return r.start(ctx, a, r.nodes.all) }},
		{"a true day's pace", func(ctx context.Context, _ *Phase) error { return r.day(ctx, 1, r.size.OrdinaryTime) }},
		{fmt.Sprintf("a day at %g times", r.size.Speedup), func(ctx context.Context, _ *Phase) error { return r.day(ctx, r.size.Speedup, r.size.PhaseTime) }},
		{fmt.Sprintf("%d of a zone go", r.size.ZoneLoss), func(ctx context.Context, _ *Phase) error { return r.burst(ctx) }},
		{"a relay is killed", during(func() error { r.processes.kill(first); return nil }, nothing)},
		{"a relay anew with nothing, another killed", during(func() error {
			// Nodes come to it while it has nothing, and while it fills: what is above stands still for a moment.
			for _, u := range r.processes.upper {
				r.processes.freeze(u)
				defer r.processes.thaw(u)
			}
			err := r.processes.start(first)
			r.processes.kill(second)
			time.Sleep(emptyRelayTime)
			return err
		}, func(context.Context) error { return r.processes.start(second) })},
		{"a relay is frozen, and thawed", during(func() error { r.processes.freeze(other); return nil }, func(ctx context.Context) error {
			r.processes.thaw(other)
			return r.day(ctx, r.size.Speedup, r.size.PhaseTime/5)
		})},
		{"an upper relay is killed", during(func() error { r.processes.kill(upper); return nil }, func(context.Context) error { return r.processes.start(upper) })},
		{"a region's nodes start at once, from nothing", func(ctx context.Context, a *Phase) error {
			var some []*hollowNode
			for _, h := range r.nodes.all {
				if h.index%r.size.Regions == 0 {
					some = append(some, h)
				}
			}
			return r.start(ctx, a, some)
		}},
		{"all lose their connection at once", func(ctx context.Context, a *Phase) error {
			forEachNode(r.nodes.all, (*hollowNode).stop)
			for _, h := range r.nodes.all {
				h.connect()
			}
			return r.day(ctx, r.size.Speedup, r.size.PhaseTime/3)
		}},
	}
}

// act plays one act, waits until every node has what is true, and enters its figures.
func (r *run) playPhase(ctx context.Context, name string, play func(context.Context, *Phase) error) error {
	a := &Phase{Name: name}
	first := len(r.sentAt)
	for _, h := range r.nodes.all {
		h.mu.Lock()
		h.deliveries, h.removals = nil, nil
		h.mu.Unlock()
		h.marks = append(h.marks[max(0, len(h.marks)-worstWindow):], h.bytes.Load())
	}
	clients := r.clientStats()
	stop := make(chan struct{})
	var marking sync.WaitGroup
	marking.Go(func() { r.markBytes(stop) })
	before, self, at := r.processorTimes(), ownProcessorTime(), time.Now()
	err := play(ctx, a)
	a.Seconds = time.Since(at).Seconds()
	a.NodeCPU = 100 * float64(ownProcessorTime()-self) / 1e9 / a.Seconds / float64(r.size.Nodes)
	r.addCosts(a, before)
	bytes := r.totalBytes()
	if err == nil {
		from := time.Now()
		if r.started {
			a.NodeMB = float64(residentMemory(os.Getpid())-r.baseMemory) / float64(r.size.Nodes) / (1 << 20)
			r.settle(ctx, a)
		}
		a.SettleSeconds = time.Since(from).Seconds()
	}
	close(stop)
	marking.Wait()
	if err != nil {
		return err
	}
	then := r.clientStats()
	a.Connects, a.Failbacks = int(then.Connects-clients.Connects), int(then.Failbacks-clients.Failbacks)
	a.Leaves = LeaveCounts{int(then.Silent - clients.Silent), int(then.Closed - clients.Closed), int(then.Lagging - clients.Lagging), int(then.Invalid - clients.Invalid)}
	r.addTraffic(a, bytes-before.bytes)
	r.addDeliveries(a, first)
	r.result.Phases = append(r.result.Phases, a)
	r.logf("%s", a.row())
	if a.Leaves != (LeaveCounts{}) {
		r.logf("  relays left by nodes: %+v", a.Leaves)
	}
	for what, n := range r.processes.warnings() {
		r.logf("  in the relays' logs, %d times at least: %s", n, what)
	}
	return ctx.Err()
}

// send has changes made at the origin.
func (r *run) send(changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	at := r.nodes.now()
	for _, c := range changes {
		for len(r.sentAt) <= c.number {
			r.sentAt, r.changes = append(r.sentAt, 0), append(r.changes, Change{})
		}
		r.sentAt[c.number], r.changes[c.number] = at, c
	}
	_, err := r.processes.send(changes)
	return err
}

// day plays an ordinary day's changes at a pace for a while, and what they leave to be mended.
func (r *run) day(ctx context.Context, pace float64, long time.Duration) error {
	type due struct {
		at time.Time
		i  int
	}
	var late []due
	var owed [3]float64
	each := [3]float64{configurationChangesPerDay, restartsPerDay, failuresPerDay}
	began := time.Now()
	last := began
	tick := time.NewTicker(changeInterval)
	defer tick.Stop()
	for now := began; now.Before(began.Add(long)) || len(late) > 0; {
		select {
		case now = <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		var batch []Change
		if now.Before(began.Add(long)) {
			for kind := range owed {
				owed[kind] += each[kind] / daySeconds * pace * now.Sub(last).Seconds()
				for ; owed[kind] >= 1; owed[kind]-- {
					switch kind {
					case 0:
						batch = append(batch, r.world.configure())
					case 1:
						c := r.world.drainRandom()
						batch, late = append(batch, c), append(late, due{now.Add(restartTime), c.endpoint})
					case 2:
						c := r.world.removeRandom()
						batch, late = append(batch, c), append(late, due{now.Add(replacementTime), c.endpoint})
					}
				}
			}
		}
		last = now
		kept := late[:0]
		for _, d := range late {
			if d.at.After(now) {
				kept = append(kept, d)
				continue
			}
			batch = append(batch, r.world.restore(d.i))
		}
		late = kept
		if err := r.send(batch); err != nil {
			return err
		}
	}
	return nil
}

// burst has a zone's endpoints go in one step.
func (r *run) burst(ctx context.Context) error {
	changes := r.world.removeZone(int(r.size.Seed)%r.size.Zones, r.size.ZoneLoss)
	if err := r.send(changes); err != nil {
		return err
	}
	return wait(ctx, 5*time.Second)
}

func wait(ctx context.Context, long time.Duration) error {
	select {
	case <-time.After(long):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fill waits until every lower relay has what it follows: a probe that follows a scope of its own there is whole.
func (r *run) fill(ctx context.Context, a *Phase) error {
	var probes []*hollowNode
	from := r.nodes.now()
	for i, p := range r.processes.lower {
		probe := &hollowNode{index: 2 * (i % r.size.relayGroups()), run: &hollowNodes{size: r.size, began: r.began, log: r.nodes.log}}
		probe.run.size.ServicesPerNode = 1
		probe.run.upstreams = func(int) []string { return []string{p.address} }
		probe.start()
		defer probe.stop()
		probes = append(probes, probe)
	}
	return r.waitUntilComplete(ctx, a, probes, from)
}

// start has nodes begin with nothing, all at once, and waits until each was whole once.
func (r *run) start(ctx context.Context, a *Phase, some []*hollowNode) error {
	forEachNode(some, (*hollowNode).stop)
	from := r.nodes.now()
	forEachNode(some, (*hollowNode).start)
	r.started = true
	return r.waitUntilComplete(ctx, a, some, from)
}

// whole waits until nodes have been so once.
func (r *run) waitUntilComplete(ctx context.Context, a *Phase, some []*hollowNode, from int64) error {
	for {
		var whole []float64
		for _, h := range some {
			h.mu.Lock()
			if h.completeAt > 0 {
				whole = append(whole, float64(h.completeAt-from)/1e9)
			}
			h.mu.Unlock()
		}
		if len(whole) == len(some) {
			a.Complete = delaysOf(whole, len(some))
			return nil
		}
		if r.nodes.now()-from > int64(3*r.size.SettleTimeout) {
			a.Complete = delaysOf(whole, len(some))
			return nil // the verdict tells who is not
		}
		if err := wait(ctx, settlePoll/5); err != nil {
			return err
		}
	}
}

// mark notes the bytes of all nodes each second, and at the end.
func (r *run) markBytes(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for over := false; !over; {
		select {
		case <-stop:
			over = true
		case <-tick.C:
		}
		for _, h := range r.nodes.all {
			h.marks = append(h.marks, h.bytes.Load())
		}
	}
}

func (r *run) clientStats() (all relay.ClientStats) {
	for _, h := range r.nodes.all {
		all = addStats(all, h.stats())
	}
	return all
}

func (r *run) totalBytes() (n int64) {
	for _, h := range r.nodes.all {
		n += h.bytes.Load()
	}
	return n
}

// costs are what all had taken at a moment.
type usage struct {
	cpu   map[int]int64 // of processes, ns
	bytes int64
}

func (r *run) processorTimes() usage {
	all := map[int]int64{r.processes.origin.Process.Pid: processorTime(r.processes.origin.Process.Pid)}
	for _, p := range r.processes.running() {
		all[p.process.PID()] = processorTime(p.process.PID())
	}
	return usage{all, r.totalBytes()}
}

// load is the machine's over the last minute.
func loadAverage() (l float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(text), &l)
	}
	return l
}

func ownProcessorTime() int64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
