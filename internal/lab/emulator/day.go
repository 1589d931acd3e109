// Package emulator plays a day on sockets in real time: servers, discovery, clients and faults around real nodes. It must
// never send a byte to any address but those in 127.0.0.0/8, and must leave no process and no socket behind.
package emulator

import (
	"context"
	"errors"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Options of a run.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Start    Start
	Direct   bool   // clients ask the servers themselves: the rig is measured without a node
	Out      string // where logs of nodes go; a directory of its own, gone at the end, if empty
	Log      *zap.Logger
	Progress func(at, length time.Duration, settled, tasks int)
}

// Day is one run.
type Day struct {
	scenario *scenario.Scenario
	plan     *workload.Plan
	start    Start
	log      *zap.Logger
	dir      string
	out      string
	t0       time.Time
	base     int64 // when the day itself began, after its preparation
	hash     string
	direct   bool
	ledger   *invariant.History
	gauge    *gauge
	group    errgroup.Group
	over     chan struct{}
	ended    sync.Once

	adding    sync.Mutex // one machine is added at a time, as its index is its place
	listed    []*machine
	mu        sync.Mutex
	oddities  map[string]int
	problems  []error
	memories  map[memoryKey]*sharedMemory
	holds     map[int]int64
	loads     []trace.LoadSample
	octets    [2]int
	discovery *discovery
	nodes     []*node
	clients   *clients
	bad       badClients
	between   *between
	beliefs   []trace.MembershipView
	runs      []trace.RunningNodes
}

type memoryKey struct {
	category int
	group    string
}

type sharedMemory struct {
	mu sync.Mutex
	*model.Deduplicator
}

func (m *sharedMemory) seen(now int64, ticket string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Seen(now, ticket)
}

var daysRun atomic.Int64

const (
	readyWithin = 15 * time.Second
	settleIn    = 2 * time.Second // after the longest hard limit
	stopWithin  = 6 * time.Second
)

// Play runs a day to its end. An error means that it could not run; what went wrong within it is in the record.
func Play(ctx context.Context, o Options) (played *trace.Trace, err error) {
	if err := o.Scenario.OnSockets(); err != nil {
		return nil, err
	}
	d := &Day{
		scenario: o.Scenario, plan: workload.Draw(o.Scenario, o.Seed), start: o.Start, log: o.Log, out: o.Out, t0: time.Now(),
		ledger: &invariant.History{}, over: make(chan struct{}), oddities: map[string]int{}, memories: map[memoryKey]*sharedMemory{}, holds: map[int]int64{},
	}
	if d.log == nil {
		d.log = zap.NewNop()
	}
	d.hash = d.plan.Hash()
	d.gauge = &gauge{now: d.now}
	n := (os.Getpid()*61 + int(daysRun.Add(1))) % (200 * 250)
	d.octets = [2]int{20 + n/250, 1 + n%250}
	if d.dir, err = os.MkdirTemp("", "fawnglade-lab-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(d.dir)
	if d.out == "" {
		d.out = d.dir
	} else if err := os.MkdirAll(d.out, 0o755); err != nil {
		return nil, err
	}
	// Whatever ends the day, also a panic of the rig, its processes and sockets are gone.
	defer func() {
		d.finish()
		if err == nil {
			err = errors.Join(d.problems...)
		}
	}()
	d.direct = o.Direct
	if d.between, err = newBetween(d); err != nil {
		return nil, err
	}
	if err := d.prepare(ctx); err != nil {
		return nil, err
	}
	if err := d.play(ctx, o.Progress); err != nil {
		return nil, err
	}
	return d.record(), nil
}

func (d *Day) now() int64 { return int64(time.Since(d.t0)) }

// epoch turns a moment of the day into Unix nanoseconds, as the list tells starts.
func (d *Day) epoch(at int64) int64 { return d.t0.UnixNano() + at }

// address is where a node's view of one part of the day listens: its own network for each node.
func (d *Day) address(node, part int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", d.octets[0], d.octets[1], 1+2*node+part)
}

func (d *Day) zoneOf(node int) string { return d.scenario.Network.Zones[d.nodes[node].zone] }

func (d *Day) machineAt(i int) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed[i]
}

func (d *Day) machines() []*machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*machine(nil), d.listed...)
}

// later does something after a while, unless the day is over by then.
func (d *Day) later(after time.Duration, do func()) {
	if after <= 0 {
		do()
		return
	}
	time.AfterFunc(after, func() {
		if !d.isOver() {
			do()
		}
	})
}

func (d *Day) isOver() bool {
	select {
	case <-d.over:
		return true
	default:
		return false
	}
}

// sleepUntil waits for a moment of the day; false means that the day ended first.
func (d *Day) sleepUntil(at int64) bool {
	wait := at - d.now()
	if wait <= 0 {
		return !d.isOver()
	}
	select {
	case <-d.over:
		return false
	case <-time.After(time.Duration(wait)):
		return true
	}
}

// odd counts what should not happen and is no break of a rule by itself.
func (d *Day) odd(what, detail string) {
	d.mu.Lock()
	d.oddities[what]++
	n := d.oddities[what]
	d.mu.Unlock()
	if n <= 5 {
		d.log.Info(what, zap.String("detail", detail), zap.Duration("at", time.Duration(d.now())))
	}
}

// report keeps a problem of the rig itself; the run could then not be played as told.
func (d *Day) report(err error) {
	if err == nil || d.isOver() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, err)
}

// idOf is the id of a try on the wire; taskOf is its inverse.
func (d *Day) idOf(task, try int) string {
	return fmt.Sprintf("%08x%06x%02x", uint32(d.plan.Seed*2654435761), task, try)
}

func (d *Day) taskOf(id string) (task *workload.Operation, try int, known bool) {
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

func (d *Day) memoryOf(m *machine, category int) *sharedMemory {
	c := &d.scenario.Classes[category]
	k := memoryKey{category, ""}
	switch c.DedupGroup {
	case "zone":
		k.group = m.spec.Zone
	case "pod":
		k.group = strconv.Itoa(m.spec.Pod)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.memories[k] == nil {
		d.memories[k] = &sharedMemory{Deduplicator: model.NewDeduplicator(int64(c.DedupWindow))}
	}
	return d.memories[k]
}

func (d *Day) list(m *machine, h model.State, notice time.Duration) {
	m.mu.Lock()
	started := m.started
	m.mu.Unlock()
	d.discovery.set(model.ListEntry{Endpoint: m.spec.Index, State: h, StartedAt: started}, notice)
}

// fell ends a cold server that was pushed over. It stays down.
func (d *Day) fell(m *machine, life int, f *model.Crash) {
	m.mu.Lock()
	started := m.started
	m.mu.Unlock()
	d.ledger.RecordCrash(invariant.Crash{Endpoint: m.spec.Index, Incarnation: life, StartedAt: started, Crash: *f})
	d.odd("a cold server was pushed over", m.spec.Name)
	d.group.Go(func() error { m.stop(); return nil })
	d.list(m, model.Removed, time.Duration(d.scenario.Discovery.ChangeDelay))
}

// addMachine brings a machine in, cold, at addresses that another left if there are any.
func (d *Day) addMachine(spec workload.Endpoint, name string, addresses []string, notice time.Duration) error {
	d.adding.Lock()
	defer d.adding.Unlock()
	spec.Index, spec.Name = len(d.machines()), name
	m, err := newMachine(d, spec, true, addresses)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listed = append(d.listed, m)
	d.mu.Unlock()
	d.list(m, model.Up, notice)
	return nil
}

// prepare starts servers, discovery and nodes, and waits until the nodes are ready.
func (d *Day) prepare(ctx context.Context) error {
	for _, spec := range d.plan.Endpoints {
		m, err := newMachine(d, spec, d.scenario.Fleets[spec.Fleet].StartsCold, nil)
		if err != nil {
			return fmt.Errorf("server %s: %w", spec.Name, err)
		}
		d.listed = append(d.listed, m)
	}
	for i := range d.scenario.Nodes.Count {
		n := &node{
			day: d, index: i, zone: i % len(d.scenario.Network.Zones), config: filepath.Join(d.dir, fmt.Sprintf("n%d.json", i)),
			address: fmt.Sprintf("127.%d.%d.%d:8443", d.octets[0], d.octets[1], 200+i), figures: trace.NodeUsage{Node: i},
		}
		if zones := d.scenario.Nodes.Zones; len(zones) > 0 {
			for z, name := range d.scenario.Network.Zones {
				if name == zones[i] {
					n.zone = z
				}
			}
		}
		err := os.Mkdir(n.tmp(), 0o700)
		if err != nil {
			return err
		}
		if n.log, err = os.Create(filepath.Join(d.out, fmt.Sprintf("node-%d.log", i))); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	var err error
	if d.discovery, err = newDiscovery(d); err != nil {
		return err
	}
	for _, m := range d.listed {
		d.list(m, model.Up, 0)
	}
	d.discovery.keepFirst()
	if d.clients, err = newClients(d); err != nil {
		return err
	}
	for i, n := range d.nodes {
		if d.direct {
			n.address, n.in = d.listed[i%len(d.listed)].doors[i].address, true
			continue
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyWithin)
	for _, n := range d.nodes {
		for !n.takes() {
			n.mu.Lock()
			p := n.proc
			n.mu.Unlock()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-p.Done(): // a node that is in has a process, so one that is not yet has too
				return fmt.Errorf("node %d ended before it was ready: %s", n.index, lastLine(n.log.Name()))
			case <-time.After(5 * time.Millisecond):
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node %d not ready within %v", n.index, readyWithin)
			}
		}
	}
	return nil
}

// play is the day itself. Its time starts anew: what came before was preparation.
func (d *Day) play(ctx context.Context, progress func(at, length time.Duration, settled, tasks int)) error {
	d.base = d.now()
	d.plan.Shift(d.base)
	d.between.begin()
	if err := d.keepState(); err != nil {
		return err
	}
	d.group.Go(func() error { d.gauge.run(d.over); return nil })
	d.group.Go(func() error { d.clients.run(); return nil })
	d.group.Go(func() error { d.report(d.timeline()); return nil })
	d.group.Go(func() error { d.bad.run(d); return nil })
	d.group.Go(func() error { d.sample(); return nil })
	d.group.Go(func() error { d.believe(); return nil })
	length := time.Duration(d.scenario.Length)
	longest := time.Duration(0)
	for _, c := range d.scenario.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	end := time.After(length + longest + settleIn)
	settled := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-tick.C:
			d.clients.mu.Lock()
			left := d.clients.left
			d.clients.mu.Unlock()
			if progress != nil {
				progress(time.Duration(d.now()-d.base), length, len(d.plan.Operations)-left, len(d.plan.Operations))
			}
			if d.now()-d.base < int64(length) {
				continue
			}
			if left == 0 && settled {
				return nil
			}
			settled = left == 0 // one more tick, for what comes after the last answer
		}
	}
}

// sample takes what nodes use and servers hold.
func (d *Day) sample() {
	for n := int64(1); d.sleepUntil(d.base + n*int64(250*time.Millisecond)); n++ {
		s := trace.LoadSample{At: d.now() - d.base}
		for _, m := range d.machines() {
			m.mu.Lock()
			s.InFlight = append(s.InFlight, m.model.InFlight())
			m.mu.Unlock()
		}
		for _, one := range d.nodes {
			one.sample()
		}
		d.mu.Lock()
		d.loads = append(d.loads, s)
		d.mu.Unlock()
	}
}

// finish ends all that the day began, in whatever state it is.
func (d *Day) finish() {
	d.ended.Do(func() {
		d.ledger.Close()
		close(d.over)
		for _, n := range d.nodes {
			n.mu.Lock()
			p := n.proc
			n.mu.Unlock()
			if p != nil {
				p.Signal(os.Interrupt)
			}
		}
		if d.clients != nil {
			d.clients.close()
		}
		deadline := time.After(stopWithin)
		for _, n := range d.nodes {
			n.mu.Lock()
			p := n.proc
			n.mu.Unlock()
			if p == nil {
				continue
			}
			select {
			case <-p.Done():
			case <-deadline:
			}
			p.Signal(os.Kill)
			<-p.Done()
		}
		for _, m := range d.machines() {
			m.stop()
		}
		if d.discovery != nil {
			d.discovery.close()
		}
		if d.between != nil {
			d.between.close()
		}
		gone := make(chan struct{})
		go func() {
			d.group.Wait()
			close(gone)
		}()
		select {
		case <-gone:
		case <-time.After(stopWithin):
			d.problems = append(d.problems, errors.New("parts of the rig did not end; this is a fault of the rig"))
		}
		for _, n := range d.nodes {
			if n.log != nil {
				n.log.Close()
			}
		}
	})
}

// record closes the day's books and judges them.
func (d *Day) record() *trace.Trace {
	for _, n := range d.nodes {
		n.sample()
	}
	for _, m := range d.machines() {
		m.mu.Lock()
		m.warmed()
		m.mu.Unlock()
	}
	d.ledger.Close()
	void, late := d.gauge.void()
	r := &trace.Trace{
		Plan: d.plan, PlanHash: d.hash, StartedAt: d.base, History: d.ledger, Void: void, Lag: time.Duration(late), Oddities: map[string]int{}, Elapsed: time.Duration(d.now() - d.base),
		BadClients: trace.BadClientCounts{Came: d.bad.came.Load(), Unanswered: d.bad.unanswered.Load(), Served: d.bad.served.Load()},
	}
	d.clients.mu.Lock()
	r.Outcomes = append(r.Outcomes, d.clients.outcomes...)
	d.clients.mu.Unlock()
	trace.ExcuseCutLinks(d.scenario, d.plan, d.ledger)
	r.Reach = trace.ReachOf(d.scenario, d.between.ways, d.base)
	rules := trace.RulesOf(d.scenario, d.between.ways, d.base, socketSlack, d.gauge.late)
	r.Violations = d.ledger.Check(trace.Classes(d.scenario), rules)
	r.Peaks.All, r.Peaks.Known = d.ledger.Peaks(rules)
	for i := range r.Violations {
		r.Violations[i].At -= d.base
	}
	for _, m := range d.machines() {
		r.Endpoints = append(r.Endpoints, m.spec.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for what, n := range d.oddities {
		r.Oddities[what] = n
	}
	r.Loads, r.Views, r.Running = d.loads, d.beliefs, d.runs
	for _, n := range d.nodes {
		n.mu.Lock()
		n.figures.LastLogLine = lastLine(n.log.Name())
		r.Nodes = append(r.Nodes, n.figures)
		n.mu.Unlock()
	}
	return r
}

// socketSlack is what each time limit is longer by on sockets, by the protocol.
const socketSlack = int64(50 * time.Millisecond)

// lastLine of a log, to show beside what the rig saw.
func lastLine(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		f.Seek(max(0, size-2000), io.SeekStart)
	}
	text, _ := io.ReadAll(f)
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
