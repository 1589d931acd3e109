package scale

// This file owns the costs of one real node process that is told its list by a stand-in: memory, processor time, time until it is
// ready. It must never leave a process behind, nor take a node's word for what it costs.

import (
	"context"
	"encoding/json"
	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/fleet"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// nodeSettings are those of one node of a large fleet, with its zones.
func nodeSettings(nodes, position int, talk bool) string {
	var zones []string
	for i := range 31 {
		zones = append(zones, fmt.Sprintf("%q", fmt.Sprintf("z%02d", i)))
	}
	return fmt.Sprintf(`{"discovery":"push","family_info":{},"goal":{"whole":0.5},"group_size":%d,"position":%d,
"limits":{"cancelling":true,"connect_timeout_us":75000,"idle_close_us":60000000,"max_retry_after_us":1500000,"peer_messages":%t,
"may_duplicate":false,"retry_after":true,"try_limit":3},"profiles":[{"deadline_us":2000000,"name":"view","objective_us":1000000,"repeat":"safe"},
{"deadline_us":2000000,"name":"pay","objective_us":1000000,"repeat":"unsafe"}],
"quantum_us":2000,"report":{"fields":["queue"],"how":"inline"},"rules":{"stop_sending_within_us":500000,"ask_within_us":10000000,"cold_from":0.2,"warm_within_us":20000000},
"weights":"off","zone":0,"zones":[%s]}`, nodes, position, talk, strings.Join(zones, ","))
}

// nodeConfig is a node's configuration; talk: it may send to other nodes.
func nodeConfig(i int, listen, console, discovery string, talk bool) string {
	news := "{}"
	if talk {
		news = `{"listen":"127.0.0.1:0"}`
	}
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"console":%q,"seed":"%x","news":%s,"settings":%s}`, i, listen, discovery, console, i+1, news,
		nodeSettings(int(TheDesign.Nodes), i, talk))
}

// process is one real node.
type process struct {
	emulator.Process
	console string
	began   time.Time
}

// start begins one at addresses that nobody listens at; state may be empty.
func start(e *Env, dir, discovery, state string) (*process, error) {
	at, err := places(2)
	if err != nil {
		return nil, err
	}
	return startAt(e, dir, discovery, state, "", 17, at[0], at[1])
}

func startAt(e *Env, dir, discovery, state, features string, number int, listen, console string) (*process, error) {
	p := &process{console: console}
	config := filepath.Join(dir, "node.json")
	if err := os.WriteFile(config, []byte(nodeConfig(number, listen, console, discovery, features != "")), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "node.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	env := []string{"NODE_CONFIG=" + config, "NODE_FEATURES=" + features, "NODE_STATE=" + state, "NODE_CONSOLE=", "TMPDIR=" + dir}
	p.began = time.Now()
	p.Process, err = emulator.Command(e.Node)("", env, io.Writer(log))
	return p, err
}

func (p *process) kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// ready waits until the node takes requests, and returns after how long; an error: it did not.
func (p *process) ready(ctx context.Context, within time.Duration) (float64, error) {
	for time.Since(p.began) < within {
		if status, _, err := fleet.Ask(p.console, "GET", "/ready"); err == nil && status == 200 {
			return time.Since(p.began).Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-p.Done():
			return 0, fmt.Errorf("the node ended by itself")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return 0, fmt.Errorf("not ready within %v", within)
}

// idle is what a process uses while nothing happens, in seconds a second.
func (p *process) idle(long time.Duration) float64 {
	before, from := p.cpu(), time.Now()
	time.Sleep(long)
	return (p.cpu() - before) / time.Since(from).Seconds()
}

func (p *process) cpu() float64 {
	t, err := processorTime(p.PID())
	if err != nil {
		return 0
	}
	return t
}

// quiet waits until the process has done what it was given, and returns what that took beyond idling, and when it was done.
func (p *process) quiet(before float64, from time.Time, idle float64, within time.Duration) (used, done float64) {
	const step = 20 * time.Millisecond
	window := 50 // steps: on a busy machine a process may be kept from the processor for a while
	if within <= quickWithin {
		window = 5
	}
	var seen []float64
	for {
		seen = append(seen, p.cpu())
		since := time.Since(from).Seconds()
		if n := len(seen); n > window && seen[n-1]-seen[n-1-window] < max(0.003, 2*idle*float64(window)*step.Seconds()) || since > within.Seconds() {
			return max(seen[n-1]-before-idle*since, 0), max(since-float64(window)*step.Seconds(), 0)
		}
		time.Sleep(step)
	}
}

const (
	readyWithin = 20 * time.Second
	quickWithin = 5 * time.Second
)

const (
	residentNow = "VmRSS of the process"
	rusage      = "processor time of the process, less what it takes idle"
	byClock     = "a clock, from the start of the process"
	onWire      = "bytes that the stand-in wrote"
)

func processProbe() Probe {
	return Probe{
		Name: "process", Size: "servers", Sizes: []float64{512, 1200, 4096, 12000, 28000, 120000}, Quick: []float64{50, 100, 200, 500}, Least: 10,
		At:   func(d *Design) float64 { return d.Servers },
		Need: func(n float64) Need { return Need{Bytes: 30e6 + 8000*n, Processes: 1} },
		Figures: []Figure{
			{Name: "memory", What: "memory of a node before a list of servers", Unit: "bytes", Role: "node", Method: residentNow, Limit: limitBytes},
			{Name: "peak", What: "memory at most until it is ready", Unit: "bytes", Role: "node", Method: "VmHWM of the process", Limit: limitBytes},
			{Name: "ready", What: "start from nothing until ready", Unit: "s", Role: "node", Method: byClock, Limit: limitReady},
			{Name: "readycpu", What: "processor time until ready", Unit: "s", Role: "node", Method: rusage},
			{Name: "idle", What: "while nothing happens", Unit: "% of a core", Role: "node", Method: "processor time of the process", Limit: limitCores},
			{Name: "change", What: "one change told, singly", Unit: "ms", Role: "node", Method: rusage, Limit: limitChange},
			{Name: "day", What: "an ordinary day's changes of servers, and idling", Unit: "% of a core", Role: "node", Method: "change x their rate + idle", Limit: limitCores},
			{Name: "burst", What: "3,900 changes in one line; with fewer servers, all of them in a line, and so many times as much", Unit: "s", Role: "node", Method: rusage, Limit: limitInForce},
			{Name: "burstdone", What: "until a line of 3,900 is taken in, or of all servers", Unit: "s", Role: "node", Method: "a clock, until the process is idle again", Limit: limitInForce},
			{Name: "singly", What: "3,900 changes, a line each", Unit: "s", Role: "node", Method: rusage, Limit: limitInForce},
			{Name: "list", What: "a whole list", Unit: "bytes", Role: "node", Method: onWire},
			{Name: "changebytes", What: "one change told, singly", Unit: "bytes", Role: "node", Method: onWire},
			{Name: "daybytes", What: "an ordinary day's changes of servers", Unit: "bytes/s", Role: "node", Method: "changebytes x their rate, and an empty line each 2 s", Limit: limitNetwork},
			{Name: "disk", What: "memory on disk", Unit: "bytes", Role: "node", Method: "sizes of files"},
			{Name: "remembered", What: "servers remembered", Unit: "servers", Role: "node", Method: "the node's console"},
			{Name: "diskready", What: "start from disk, without discovery, until ready", Unit: "s", Role: "node", Method: byClock, Limit: limitReady},
			{Name: "diskcpu", What: "processor time until ready from disk", Unit: "s", Role: "node", Method: rusage},
			{Name: "diskmemory", What: "memory after a start from disk", Unit: "bytes", Role: "node", Method: residentNow, Limit: limitBytes},
		},
		Measure: measureProcess,
	}
}

func measureProcess(ctx context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
	v = map[string]float64{}
	if len(e.Node) == 0 {
		return v, "no node program found", nil
	}
	dir, err := os.MkdirTemp(e.Dir, "process-")
	if err != nil {
		return v, "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := newDiscovery(int(size))
	if err != nil {
		return v, "", err
	}
	defer func() { d.close() }()
	v["list"] = float64(len(d.first))
	p, err := start(e, dir, d.address(), "")
	if err != nil {
		return v, "", err
	}
	defer func() { p.kill() }()
	within, watch, singles, many := readyWithin, 3*time.Second, 100, int(e.Design.ZoneServers)
	if e.Quick {
		within, watch, singles, many = quickWithin, 300*time.Millisecond, 10, 100
	}
	if v["ready"], err = p.ready(ctx, within); err != nil {
		delete(v, "ready")
		took := time.Since(p.began).Seconds()
		calls, _, sent := d.figures()
		now, _, _ := resident(p.PID())
		return v, fmt.Sprintf("%v: %d calls of discovery, %s bytes told, %.0f%% of a core, %.0f MB", err, calls, short(sent), 100*p.cpu()/took, now/1e6), nil
	}
	v["readycpu"] = p.cpu()
	if _, v["peak"], err = resident(p.PID()); err != nil {
		return v, "", err
	}
	time.Sleep(min(time.Second, watch))
	idle := p.idle(watch)
	v["idle"] = 100 * idle
	if v["memory"], _, err = resident(p.PID()); err != nil {
		return v, "", err
	}
	n, version := int(size), int64(1)
	one := func(i int) []byte {
		version++
		if i%2 == 0 {
			return lineText(version, false, entryText(nil, i/2*7919%n, "draining", 0))
		}
		return lineText(version, false, entryText(nil, i/2*7919%n, "up", time.Now().UnixMilli()))
	}
	before, from, bytes := p.cpu(), time.Now(), 0.0
	for i := range singles {
		text := one(i)
		bytes += float64(len(text))
		if err := d.tell(text); err != nil {
			return v, "", err
		}
		time.Sleep(20 * time.Millisecond)
	}
	used, _ := p.quiet(before, from, idle, within)
	v["change"], v["changebytes"] = 1e3*used/float64(singles), bytes/float64(singles)
	v["day"] = 100*used/float64(singles)*e.Design.Endpoints() + v["idle"]
	v["daybytes"] = v["changebytes"]*e.Design.Endpoints() + 0.5

	var entries [][]byte
	for i := range min(n, int(e.Design.ZoneServers)) {
		entries = append(entries, entryText(nil, i, "draining", 0))
	}
	version++
	before, from = p.cpu(), time.Now()
	if err := d.tell(lineText(version, false, entries...)); err != nil {
		return v, "", err
	}
	v["burst"], v["burstdone"] = p.quiet(before, from, idle, within)
	v["burst"] *= e.Design.ZoneServers / float64(len(entries))
	before, from = p.cpu(), time.Now()
	for i := range many {
		if err := d.tell(one(i)); err != nil {
			return v, "", err
		}
	}
	used, _ = p.quiet(before, from, idle, 3*within)
	v["singly"] = used * e.Design.ZoneServers / float64(many)
	p.kill()

	state := filepath.Join(dir, "state")
	if p, err = start(e, dir, d.address(), state); err != nil {
		return v, "", err
	}
	if _, err = p.ready(ctx, within); err != nil {
		return v, "with a memory: " + err.Error(), nil
	}
	for was := -1.0; ; time.Sleep(min(watch, 500*time.Millisecond)) {
		if v["disk"] = onDisk(state); v["disk"] == was && was > 0 {
			break
		}
		was = v["disk"]
	}
	var told struct{ Servers float64 }
	if status, text, err := fleet.Ask(p.console, "GET", "/state"); err == nil && status == 200 && json.Unmarshal(text, &told) == nil {
		v["remembered"] = told.Servers
	}
	p.kill()
	at := d.address()
	d.close()
	if p, err = start(e, dir, at, state); err != nil {
		return v, "", err
	}
	if v["diskready"], err = p.ready(ctx, within); err != nil {
		delete(v, "diskready")
		return v, "from disk: " + err.Error(), nil
	}
	v["diskcpu"] = p.cpu()
	time.Sleep(min(time.Second, watch))
	if v["diskmemory"], _, err = resident(p.PID()); err != nil {
		return v, "", err
	}
	if v["remembered"] < size {
		note = fmt.Sprintf("the node remembers %s of them", count(v["remembered"]))
	}
	return v, note, nil
}

// onDisk is the length of all files below a directory.
func onDisk(dir string) (sum float64) {
	_ = filepath.WalkDir(dir, func(_ string, f os.DirEntry, err error) error {
		if err == nil && f.Type().IsRegular() {
			if info, err := f.Info(); err == nil {
				sum += float64(info.Size())
			}
		}
		return nil
	})
	return sum
}
