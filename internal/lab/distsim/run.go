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
type Run struct {
	size    Size
	say     func(string, ...any)
	began   time.Time
	world   *world
	procs   *processes
	nodes   *nodes
	sent    []int64 // of each change, since the run began, ns
	what    []Change
	count   map[string]int // nodes that follow a scope
	base    int64          // memory of this process before the nodes
	started bool           // nodes have begun, so that they can be judged
	out     *Result
}

const (
	mostRun  = 230 * time.Second
	beat     = 20 * time.Millisecond  // changes go to the origin so often
	restarts = time.Second            // an endpoint is back so long after its drain began
	replaced = 3 * time.Second        // and another machine in a failed one's place
	lookAt   = 250 * time.Millisecond // at the nodes, while an act settles
	worstOf  = 10                     // seconds
	// A relay that was started anew has nothing for so long: time for nodes to come, and less than makes a relay leave its upstream.
	nothingFor = 1200 * time.Millisecond
)

// Play plays a size and tells the result; an error where it could not be played.
func Play(ctx context.Context, size Size, programs Programs, say func(string, ...any)) (*Result, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, mostRun)
	defer cancel()
	// Most of what this process holds lives long; a heap of twice that would be half of it for nothing.
	defer debug.SetGCPercent(debug.SetGCPercent(40))
	r := &Run{size: size, say: say, began: time.Now(), sent: []int64{0}, what: []Change{{}}, count: map[string]int{}, out: &Result{Size: size, Day: time.Now().UTC().Format("2006-01-02"), Cores: runtime.NumCPU()}}
	r.out.Load.Begin = load()
	say("%d records at the origin, %d for a node; about %d MB in all", size.Endpoints+size.Routes+size.Tenants, size.perNode(), size.Memory()>>20)
	r.world = newWorld(size)
	for i := range size.Nodes {
		for _, scope := range size.follows(i) {
			r.count[scope]++
		}
	}
	var err error
	if r.procs, err = newProcesses(size, programs); err != nil {
		return nil, err
	}
	defer r.procs.close()
	say("origin and %d relays run", size.Upper+size.Lower)
	r.nodes = newNodes(size, r.began, r.procs.group)
	defer each(r.nodes.all, (*hollow).stop)
	runtime.GC()
	debug.FreeOSMemory()
	r.base = memoryOf(os.Getpid())
	defer func() { r.out.Seconds, r.out.Load.End = time.Since(r.began).Seconds(), load() }()
	for _, act := range r.acts() {
		if err := r.act(ctx, act.name, act.play); err != nil {
			return r.out, fmt.Errorf("%s: %w", act.name, err)
		}
	}
	return r.out, nil
}

type act struct {
	name string
	play func(ctx context.Context, a *Act) error
}

func (r *Run) acts() []act {
	pairs := r.size.pairs()
	first, second, upper := r.procs.lower[0], r.procs.lower[pairs], r.procs.upper[0]
	other := r.procs.lower[1%pairs] // of another group, so that nodes still follow it
	during := func(begin func() error, then func(context.Context) error) func(context.Context, *Act) error {
		return func(ctx context.Context, _ *Act) error {
			if err := r.day(ctx, r.size.Pace, r.size.Day/5); err != nil {
				return err
			}
			if err := begin(); err != nil {
				return err
			}
			if err := r.day(ctx, r.size.Pace, r.size.Day*4/5); err != nil {
				return err
			}
			return then(ctx)
		}
	}
	nothing := func(context.Context) error { return nil }
	return []act{
		{"relays fill, from nothing", r.fill},
		{"all nodes start at once, from nothing", func(ctx context.Context, a *Act) error { return r.start(ctx, a, r.nodes.all) }},
		{"a true day's pace", func(ctx context.Context, _ *Act) error { return r.day(ctx, 1, r.size.True) }},
		{fmt.Sprintf("a day at %g times", r.size.Pace), func(ctx context.Context, _ *Act) error { return r.day(ctx, r.size.Pace, r.size.Day) }},
		{fmt.Sprintf("%d of a zone go", r.size.Burst), func(ctx context.Context, _ *Act) error { return r.burst(ctx) }},
		{"a relay is killed", during(func() error { r.procs.kill(first); return nil }, nothing)},
		{"a relay anew with nothing, another killed", during(func() error {
			// Nodes come to it while it has nothing, and while it fills: what is above stands still for a moment.
			for _, u := range r.procs.upper {
				r.procs.freeze(u)
				defer r.procs.thaw(u)
			}
			err := r.procs.start(first)
			r.procs.kill(second)
			time.Sleep(nothingFor)
			return err
		}, func(context.Context) error { return r.procs.start(second) })},
		{"a relay is frozen, and thawed", during(func() error { r.procs.freeze(other); return nil }, func(ctx context.Context) error {
			r.procs.thaw(other)
			return r.day(ctx, r.size.Pace, r.size.Day/5)
		})},
		{"an upper relay is killed", during(func() error { r.procs.kill(upper); return nil }, func(context.Context) error { return r.procs.start(upper) })},
		{"a region's nodes start at once, from nothing", func(ctx context.Context, a *Act) error {
			var some []*hollow
			for _, h := range r.nodes.all {
				if h.index%r.size.Regions == 0 {
					some = append(some, h)
				}
			}
			return r.start(ctx, a, some)
		}},
		{"all lose their connection at once", func(ctx context.Context, a *Act) error {
			each(r.nodes.all, (*hollow).stop)
			for _, h := range r.nodes.all {
				h.connect()
			}
			return r.day(ctx, r.size.Pace, r.size.Day/3)
		}},
	}
}

// act plays one act, waits until every node has what is true, and enters its figures.
func (r *Run) act(ctx context.Context, name string, play func(context.Context, *Act) error) error {
	a := &Act{Name: name}
	first := len(r.sent)
	for _, h := range r.nodes.all {
		h.mu.Lock()
		h.came, h.ended = nil, nil
		h.mu.Unlock()
		h.marks = append(h.marks[max(0, len(h.marks)-worstOf):], h.bytes.Load())
	}
	clients := r.clients()
	stop := make(chan struct{})
	var marking sync.WaitGroup
	marking.Go(func() { r.mark(stop) })
	before, self, at := r.costs(), selfCPU(), time.Now()
	err := play(ctx, a)
	a.Seconds = time.Since(at).Seconds()
	a.NodeCPU = 100 * float64(selfCPU()-self) / 1e9 / a.Seconds / float64(r.size.Nodes)
	r.cost(a, before)
	bytes := r.bytes()
	if err == nil {
		from := time.Now()
		if r.started {
			a.NodeMB = float64(memoryOf(os.Getpid())-r.base) / float64(r.size.Nodes) / (1 << 20)
			r.settle(ctx, a)
		}
		a.Settled = time.Since(from).Seconds()
	}
	close(stop)
	marking.Wait()
	if err != nil {
		return err
	}
	then := r.clients()
	a.Connects, a.Returned = int(then.Connects-clients.Connects), int(then.Failbacks-clients.Failbacks)
	a.Left = Left{int(then.Silent - clients.Silent), int(then.Closed - clients.Closed), int(then.Lagging - clients.Lagging), int(then.Invalid - clients.Invalid)}
	r.traffic(a, bytes-before.bytes)
	r.harvest(a, first)
	r.out.Acts = append(r.out.Acts, a)
	r.say("%s", a.line())
	if a.Left != (Left{}) {
		r.say("  relays left by nodes: %+v", a.Left)
	}
	for what, n := range r.procs.complaints() {
		r.say("  in the relays' logs, %d times at least: %s", n, what)
	}
	return ctx.Err()
}

// send has changes made at the origin.
func (r *Run) send(changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	at := r.nodes.now()
	for _, c := range changes {
		for len(r.sent) <= c.n {
			r.sent, r.what = append(r.sent, 0), append(r.what, Change{})
		}
		r.sent[c.n], r.what[c.n] = at, c
	}
	_, err := r.procs.order(changes)
	return err
}

// day plays an ordinary day's changes at a pace for a while, and what they leave to be mended.
func (r *Run) day(ctx context.Context, pace float64, long time.Duration) error {
	type due struct {
		at time.Time
		i  int
	}
	var late []due
	var owed [3]float64
	each := [3]float64{dayConfiguration, dayRestarts, dayFailures}
	began := time.Now()
	last := began
	tick := time.NewTicker(beat)
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
						c := r.world.drain()
						batch, late = append(batch, c), append(late, due{now.Add(restarts), c.mend})
					case 2:
						c := r.world.fail()
						batch, late = append(batch, c), append(late, due{now.Add(replaced), c.mend})
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
			batch = append(batch, r.world.back(d.i))
		}
		late = kept
		if err := r.send(batch); err != nil {
			return err
		}
	}
	return nil
}

// burst has a zone's endpoints go in one step.
func (r *Run) burst(ctx context.Context) error {
	changes := r.world.zone(int(r.size.Seed)%r.size.Zones, r.size.Burst)
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
func (r *Run) fill(ctx context.Context, a *Act) error {
	var probes []*hollow
	from := r.nodes.now()
	for i, p := range r.procs.lower {
		probe := &hollow{index: 2 * (i % r.size.pairs()), run: &nodes{size: r.size, began: r.began, log: r.nodes.log}}
		probe.run.size.Take = 1
		probe.run.lower = func(int) []string { return []string{p.address} }
		probe.start()
		defer probe.stop()
		probes = append(probes, probe)
	}
	return r.whole(ctx, a, probes, from)
}

// start has nodes begin with nothing, all at once, and waits until each was whole once.
func (r *Run) start(ctx context.Context, a *Act, some []*hollow) error {
	each(some, (*hollow).stop)
	from := r.nodes.now()
	each(some, (*hollow).start)
	r.started = true
	return r.whole(ctx, a, some, from)
}

// whole waits until nodes have been so once.
func (r *Run) whole(ctx context.Context, a *Act, some []*hollow, from int64) error {
	for {
		var whole []float64
		for _, h := range some {
			h.mu.Lock()
			if h.whole > 0 {
				whole = append(whole, float64(h.whole-from)/1e9)
			}
			h.mu.Unlock()
		}
		if len(whole) == len(some) {
			a.Whole = timesOf(whole, len(some))
			return nil
		}
		if r.nodes.now()-from > int64(3*r.size.Settle) {
			a.Whole = timesOf(whole, len(some))
			return nil // the verdict tells who is not
		}
		if err := wait(ctx, lookAt/5); err != nil {
			return err
		}
	}
}

// mark notes the bytes of all nodes each second, and at the end.
func (r *Run) mark(stop chan struct{}) {
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

func (r *Run) clients() (all relay.ClientStats) {
	for _, h := range r.nodes.all {
		all = add(all, h.stats())
	}
	return all
}

func (r *Run) bytes() (n int64) {
	for _, h := range r.nodes.all {
		n += h.bytes.Load()
	}
	return n
}

// costs are what all had taken at a moment.
type costs struct {
	cpu   map[int]int64 // of processes, ns
	bytes int64
}

func (r *Run) costs() costs {
	all := map[int]int64{r.procs.origin.Process.Pid: cpuOf(r.procs.origin.Process.Pid)}
	for _, p := range r.procs.running() {
		all[p.proc.PID()] = cpuOf(p.proc.PID())
	}
	return costs{all, r.bytes()}
}

// load is the machine's over the last minute.
func load() (l float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscan(string(text), &l)
	}
	return l
}

func selfCPU() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
