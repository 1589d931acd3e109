package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Probe of a real node process that gets its endpoint list from the emulated discovery. CPU time and memory are read
// from the kernel, not from the node.

const (
	methodResident  = "VmRSS of the process"
	methodNodeWork  = "processor time of the process, less what it takes idle"
	methodSinceBoot = "a clock, from the start of the process"
	methodWire      = "bytes that the stand-in wrote"
)

const (
	changePause = 20 * time.Millisecond // between changes that are sent one by one
	// heartbeatBytes is the rate of discovery's empty lines, bytes per second.
	heartbeatBytes = 0.5
	// diskPoll is the interval at which the size of the state on disk is checked until it no longer grows.
	diskPoll = 500 * time.Millisecond
)

func processProbe() Probe {
	return Probe{
		Name: "process", SizeUnit: "servers", MinSize: 10,
		Sizes: []float64{512, 1200, 4096, 12000, 28000, 120000}, QuickSizes: []float64{50, 100, 200, 500},
		DesignSize: func(d *Design) float64 { return d.Endpoints },
		Need:       func(n float64) Need { return Need{Bytes: 30e6 + 8000*n, Processes: 1} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of a node before a list of servers",
				Unit: "bytes", Role: "node", Method: methodResident, Limit: limitMemory,
			},
			{
				Name: "peak", Description: "memory at most until it is ready",
				Unit: "bytes", Role: "node", Method: "VmHWM of the process", Limit: limitMemory,
			},
			{
				Name: "ready", Description: "start from nothing until ready",
				Unit: "s", Role: "node", Method: methodSinceBoot, Limit: limitReady,
			},
			{
				Name: "readycpu", Description: "processor time until ready",
				Unit: "s", Role: "node", Method: methodNodeWork,
			},
			{
				Name: "idle", Description: "while nothing happens",
				Unit: "% of a core", Role: "node", Method: "processor time of the process", Limit: limitCores,
			},
			{
				Name: "change", Description: "one change told, singly",
				Unit: "ms", Role: "node", Method: methodNodeWork, Limit: limitChange,
			},
			{
				Name: "day", Description: "an ordinary day's changes of servers, and idling",
				Unit: "% of a core", Role: "node", Method: "change x their rate + idle", Limit: limitCores,
			},
			{
				Name: "burst", Description: "3,900 changes in one line; with fewer servers, all of them in a line, and so many times as much",
				Unit: "s", Role: "node", Method: methodNodeWork, Limit: limitPropagation,
			},
			{
				Name: "burstdone", Description: "until a line of 3,900 is taken in, or of all servers",
				Unit: "s", Role: "node", Method: "a clock, until the process is idle again", Limit: limitPropagation,
			},
			{
				Name: "singly", Description: "3,900 changes, a line each",
				Unit: "s", Role: "node", Method: methodNodeWork, Limit: limitPropagation,
			},
			{Name: "list", Description: "a whole list", Unit: "bytes", Role: "node", Method: methodWire},
			{
				Name: "changebytes", Description: "one change told, singly",
				Unit: "bytes", Role: "node", Method: methodWire,
			},
			{
				Name: "daybytes", Description: "an ordinary day's changes of servers",
				Unit: "bytes/s", Role: "node", Method: "changebytes x their rate, and an empty line each 2 s", Limit: limitNetwork,
			},
			{Name: "disk", Description: "memory on disk", Unit: "bytes", Role: "node", Method: "sizes of files"},
			{
				Name: "remembered", Description: "servers remembered",
				Unit: "servers", Role: "node", Method: "the node's console",
			},
			{
				Name: "diskready", Description: "start from disk, without discovery, until ready",
				Unit: "s", Role: "node", Method: methodSinceBoot, Limit: limitReady,
			},
			{
				Name: "diskcpu", Description: "processor time until ready from disk",
				Unit: "s", Role: "node", Method: methodNodeWork,
			},
			{
				Name: "diskmemory", Description: "memory after a start from disk",
				Unit: "bytes", Role: "node", Method: methodResident, Limit: limitMemory,
			},
		},
		Measure: measureProcess,
	}
}

func measureProcess(ctx context.Context, e *Env, size float64) (m Measurement, err error) {
	p := &processMeasurement{ctx: ctx, env: e, endpoints: int(size), version: 1, values: Values{}}
	m.Values = p.values
	if len(e.NodeCommand) == 0 {
		m.Note = "no node program found"
		return m, nil
	}
	p.dir, err = os.MkdirTemp(e.Dir, "process-")
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(p.dir)) }()
	p.timeout = pick(e, readyTimeout, quickReadyTimeout)
	p.idleTime = pick(e, 3*time.Second, 300*time.Millisecond)
	p.discovery, err = newDiscovery(p.endpoints)
	if err != nil {
		return m, err
	}
	defer p.discovery.close()
	p.values["list"] = float64(len(p.discovery.initialUpdate))
	for _, step := range []func() (string, error){p.measureFromDiscovery, p.measureFromDisk} {
		m.Note, err = step()
		if err != nil || m.Note != "" {
			return m, err
		}
	}
	return m, nil
}

// processMeasurement measures one node process at a time, with the emulated discovery.
type processMeasurement struct {
	ctx       context.Context
	env       *Env
	endpoints int
	dir       string
	timeout   time.Duration // for the node to become ready
	idleTime  time.Duration // duration of the measurement of an idle node
	discovery *discovery
	version   int64 // current version of the endpoint list
	node      *nodeProcess
	idle      float64 // fraction of a core that the idle node uses
	values    Values
}

// measureFromDiscovery measures a node without a state directory.
func (p *processMeasurement) measureFromDiscovery() (note string, err error) {
	p.node, err = startNodeAtFreeAddresses(p.env, p.dir, p.discovery.address(), "")
	if err != nil {
		return "", err
	}
	defer p.node.kill()
	ready, err := p.node.waitUntilReady(p.ctx, p.timeout)
	if err != nil {
		return p.notReadyNote(err), nil
	}
	p.values["ready"] = ready
	p.values["readycpu"] = p.node.processorSeconds()
	memory, err := readResident(p.node.PID())
	if err != nil {
		return "", err
	}
	p.values["peak"] = memory.peak
	for _, step := range []func() error{p.measureIdle, p.measureChanges, p.measureBurst, p.measureSingly} {
		if err := step(); err != nil {
			return "", err
		}
	}
	return "", nil
}

// notReadyNote describes the activity of a node that did not become ready in time.
func (p *processMeasurement) notReadyNote(reason error) string {
	elapsed := time.Since(p.node.startedAt).Seconds()
	stats := p.discovery.readStats()
	memory, err := readResident(p.node.PID())
	if err != nil {
		memory = residentMemory{} // the process has ended
	}
	return fmt.Sprintf("%v: %d calls of discovery, %s bytes told, %.0f%% of a core, %.0f MB",
		reason, stats.calls, formatShort(stats.bytes), 100*p.node.processorSeconds()/elapsed, memory.now/1e6)
}

func (p *processMeasurement) measureIdle() error {
	time.Sleep(min(time.Second, p.idleTime))
	p.idle = p.node.idleShare(p.idleTime)
	p.values["idle"] = 100 * p.idle
	memory, err := readResident(p.node.PID())
	p.values["memory"] = memory.now
	return err
}

// nextChange returns an update with one change: it drains an endpoint if i is even, and restarts it if i is odd.
func (p *processMeasurement) nextChange(i int) []byte {
	p.version++
	endpoint := i / 2 * scatter % p.endpoints
	if i%2 == 0 {
		return updateText(p.version, false, entryText(endpoint, "draining", 0))
	}
	return updateText(p.version, false, entryText(endpoint, "up", time.Now().UnixMilli()))
}

// measureChanges sends changes with a pause after each.
func (p *processMeasurement) measureChanges() error {
	changes := pick(p.env, 100, 10)
	meter := p.node.newWorkMeter(p.idle)
	bytes := 0.0
	for i := range changes {
		update := p.nextChange(i)
		bytes += float64(len(update))
		if err := p.discovery.send(update); err != nil {
			return err
		}
		time.Sleep(changePause)
	}
	used := meter.waitUntilIdle(p.timeout).processor
	rate := p.env.Design.EndpointChangesPerSecond()
	p.values["change"] = 1e3 * used / float64(changes)
	p.values["changebytes"] = bytes / float64(changes)
	p.values["day"] = 100*used/float64(changes)*rate + p.values["idle"]
	p.values["daybytes"] = p.values["changebytes"]*rate + heartbeatBytes
	return nil
}

// measureBurst sends the changes of a zone in one update.
func (p *processMeasurement) measureBurst() error {
	var entries [][]byte
	for i := range min(p.endpoints, int(p.env.Design.ZoneEndpoints)) {
		entries = append(entries, entryText(i, "draining", 0))
	}
	p.version++
	meter := p.node.newWorkMeter(p.idle)
	if err := p.discovery.send(updateText(p.version, false, entries...)); err != nil {
		return err
	}
	done := meter.waitUntilIdle(p.timeout)
	p.values["burst"] = done.processor * p.env.Design.ZoneEndpoints / float64(len(entries))
	p.values["burstdone"] = done.elapsed
	return nil
}

// measureSingly sends the changes of a zone as one update each, without pauses.
func (p *processMeasurement) measureSingly() error {
	changes := pick(p.env, int(p.env.Design.ZoneEndpoints), 100)
	meter := p.node.newWorkMeter(p.idle)
	for i := range changes {
		if err := p.discovery.send(p.nextChange(i)); err != nil {
			return err
		}
	}
	done := meter.waitUntilIdle(3 * p.timeout)
	p.values["singly"] = done.processor * p.env.Design.ZoneEndpoints / float64(changes)
	return nil
}

// measureFromDisk lets a node store its state, and measures a start from that state without discovery.
func (p *processMeasurement) measureFromDisk() (note string, err error) {
	stateDir := filepath.Join(p.dir, "state")
	note, err = p.storeState(stateDir)
	if err != nil || note != "" {
		return note, err
	}
	address := p.discovery.address()
	p.discovery.close()
	p.node, err = startNodeAtFreeAddresses(p.env, p.dir, address, stateDir)
	if err != nil {
		return "", err
	}
	defer p.node.kill()
	ready, err := p.node.waitUntilReady(p.ctx, p.timeout)
	if err != nil {
		return "from disk: " + err.Error(), nil
	}
	p.values["diskready"] = ready
	p.values["diskcpu"] = p.node.processorSeconds()
	time.Sleep(min(time.Second, p.idleTime))
	memory, err := readResident(p.node.PID())
	if err != nil {
		return "", err
	}
	p.values["diskmemory"] = memory.now
	if remembered := p.values["remembered"]; remembered < float64(p.endpoints) {
		note = fmt.Sprintf("the node remembers %s of them", formatCount(remembered))
	}
	return note, nil
}

// storeState runs a node until its state on disk no longer grows, and then kills it.
func (p *processMeasurement) storeState(dir string) (note string, err error) {
	p.node, err = startNodeAtFreeAddresses(p.env, p.dir, p.discovery.address(), dir)
	if err != nil {
		return "", err
	}
	defer p.node.kill()
	if _, err := p.node.waitUntilReady(p.ctx, p.timeout); err != nil {
		return "with a memory: " + err.Error(), nil
	}
	state, err := p.waitUntilStored(dir)
	if err != nil {
		return "with a memory: " + err.Error(), nil
	}
	p.values["disk"] = state.bytes
	p.values["remembered"] = state.Endpoints
	return "", nil
}

// storedState is what a node has written to its state directory.
type storedState struct {
	bytes          float64 // sizes of the files
	Endpoints      float64 `json:"servers"`
	BatchesWritten int64   `json:"batches_written"`
}

// isSettled reports whether nothing was written since an earlier look. Files alone do not tell that anything was: a
// store that has just been opened has one with a header.
func (s storedState) isSettled(before storedState) bool {
	return s.BatchesWritten > 0 && s.bytes == before.bytes
}

// waitUntilStored waits until the node's state on disk no longer grows. It returns an error if that takes too long.
func (p *processMeasurement) waitUntilStored(dir string) (state storedState, err error) {
	for began := time.Now(); time.Since(began) < 3*p.timeout; time.Sleep(min(p.idleTime, diskPoll)) {
		before := state
		if err := adminGet(p.node.admin, "/state", &state); err != nil {
			return state, err
		}
		state.bytes = sizeOfFiles(dir)
		if state.isSettled(before) {
			return state, nil
		}
	}
	return state, fmt.Errorf("not stored within %v", 3*p.timeout)
}
