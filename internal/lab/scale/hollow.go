package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

const methodNodeCount = "the node's own count"

func hollowProbe() Probe {
	return Probe{
		Name: "hollow", SizeUnit: "hollow nodes", MinSize: 2, MaxSize: maxMembers - 1,
		Sizes: []float64{10, 30, 100, 200}, QuickSizes: []float64{2, 4, 10, 20},
		DesignSize: func(d *Design) float64 { return d.Nodes },
		Need:       func(n float64) Need { return Need{Bytes: 60e6 + n*(8e6+500*n), Processes: 2} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of the process of so many, each before 1,200 servers",
				Unit: "bytes", Role: "lab", Method: methodResident,
			},
			{
				Name: "real", Description: "memory of the real one beside them",
				Unit: "bytes", Role: "node", Method: methodResident, Limit: limitMemory,
			},
			{
				Name: "memoryratio", Description: "hollow over real, memory: a real one has a runtime of its own",
				Unit: "1", Role: "lab", Method: "memory over its nodes / real",
			},
			{
				Name: "idle", Description: "a hollow one, nothing happening",
				Unit: "% of a core", Role: "lab", Method: "processor time of the process over its nodes",
			},
			{
				Name: "realidle", Description: "the real one, nothing happening",
				Unit: "% of a core", Role: "node", Method: "processor time of the process", Limit: limitCores,
			},
			{
				Name: "idleratio", Description: "hollow over real, nothing happening",
				Unit: "1", Role: "lab", Method: "idle / realidle",
			},
			{
				Name: "change", Description: "one change told to a hollow one",
				Unit: "ms", Role: "lab", Method: methodNodeWork + ", over its nodes",
			},
			{
				Name: "realchange", Description: "one change told to the real one",
				Unit: "ms", Role: "node", Method: methodNodeWork, Limit: limitChange,
			},
			{
				Name: "changeratio", Description: "hollow over real, one change",
				Unit: "1", Role: "lab", Method: "change / realchange",
			},
			{
				Name: "bytes", Description: "datagrams that a hollow one sends",
				Unit: "bytes/s", Role: "lab", Method: methodNodeCount,
			},
			{
				Name: "realbytes", Description: "datagrams that the real one sends",
				Unit: "bytes/s", Role: "node", Method: methodNodeCount, Limit: limitNetwork,
			},
			{
				Name: "bytesratio", Description: "hollow over real, bytes",
				Unit: "1", Role: "lab", Method: "bytes / realbytes",
			},
		},
		Measure: measureHollow,
	}
}

func measureHollow(ctx context.Context, e *Env, size float64) (m Measurement, err error) {
	h := &hollowMeasurement{env: e, size: size, endpoints: pick(e, fixedEndpoints, 50), values: Values{}}
	m.Values = h.values
	if len(e.NodeCommand) == 0 || len(e.HollowCommand) == 0 {
		m.Note = "no node program found"
		return m, nil
	}
	h.fleet.Dir, err = os.MkdirTemp(e.Dir, "hollow-")
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(h.fleet.Dir)) }()
	h.discovery, err = newDiscovery(h.endpoints)
	if err != nil {
		return m, err
	}
	defer h.discovery.close()
	if err := h.assignAddresses(); err != nil {
		return m, err
	}
	h.hollow, err = startHollow(e, &h.fleet)
	if err != nil {
		return m, err
	}
	defer h.hollow.kill()
	h.real, err = h.startReal()
	if err != nil {
		return m, err
	}
	defer h.real.kill()
	if _, err := h.real.waitUntilReady(ctx, readyTimeout); err != nil {
		return m, err
	}
	// Wait until the nodes have gossiped one another's start.
	time.Sleep(pick(e, 5*time.Second+time.Duration(size)*100*time.Millisecond, 0))
	return m, h.measure()
}

// hollowMeasurement is a process of hollow nodes and a real node process in the same fleet.
type hollowMeasurement struct {
	env       *Env
	size      float64 // number of hollow nodes
	endpoints int
	fleet     hollowFleet
	discovery *discovery
	hollow    *nodeProcess
	real      *nodeProcess
	values    Values
}

// assignAddresses chooses free addresses for all nodes.
func (h *hollowMeasurement) assignAddresses() error {
	const addressesOfNode = 3
	nodes := int(h.size) + 1
	addresses, err := freeAddresses(addressesOfNode * nodes)
	if err != nil {
		return err
	}
	h.fleet.Discovery = h.discovery.address()
	for i := range nodes {
		assigned := addresses[addressesOfNode*i:]
		h.fleet.Nodes = append(h.fleet.Nodes, nodeAddresses{fmt.Sprintf("n%d", i), assigned[0], assigned[1], assigned[2]})
	}
	return nil
}

func (h *hollowMeasurement) startReal() (*nodeProcess, error) {
	index := int(h.size)
	features, err := h.fleet.writeFeatures(index)
	if err != nil {
		return nil, err
	}
	return startNode(h.env, nodeOptions{
		dir: h.fleet.Dir, discovery: h.fleet.Discovery, index: index, nodeAddresses: h.fleet.Nodes[index],
		stateDir: h.fleet.stateDir(index), features: features,
	})
}

func (h *hollowMeasurement) measure() error {
	for _, step := range []func() error{h.measureIdle, h.measureMemory, h.measureChanges} {
		if err := step(); err != nil {
			return err
		}
	}
	for ratio, figures := range map[string]struct{ hollow, real string }{
		"idleratio":   {"idle", "realidle"},
		"changeratio": {"change", "realchange"},
		"bytesratio":  {"bytes", "realbytes"},
	} {
		if h.values[figures.real] > 0 {
			h.values[ratio] = h.values[figures.hollow] / h.values[figures.real]
		}
	}
	return nil
}

// usage is the CPU time of both processes over some time, in seconds.
type usage struct {
	hollow, real float64 // CPU time
	elapsed      float64
}

// usageDuring measures both processes during a call of do.
func (h *hollowMeasurement) usageDuring(do func() error) (usage, error) {
	u := usage{hollow: -h.hollow.processorSeconds(), real: -h.real.processorSeconds()}
	startedAt := time.Now()
	err := do()
	u.hollow += h.hollow.processorSeconds()
	u.real += h.real.processorSeconds()
	u.elapsed = time.Since(startedAt).Seconds()
	return u, err
}

// sentBytes holds the bytes that a hollow node and the real node have sent in datagrams so far.
type sentBytes struct {
	hollow, real float64
}

func (h *hollowMeasurement) sent() (sentBytes, error) {
	hollow, errHollow := nodeSentBytes(h.fleet.Nodes[0].Admin)
	real, errReal := nodeSentBytes(h.real.admin)
	return sentBytes{hollow, real}, errors.Join(errHollow, errReal)
}

func nodeSentBytes(admin string) (float64, error) {
	var view struct {
		Counts struct {
			Sent float64 `json:"sent_bytes"`
		} `json:"counts"`
	}
	err := adminGet(admin, "/members", &view)
	return view.Counts.Sent, err
}

// measureIdle measures the nodes while nothing changes.
func (h *hollowMeasurement) measureIdle() error {
	before, err := h.sent()
	if err != nil {
		return err
	}
	used, err := h.usageDuring(func() error {
		time.Sleep(pick(h.env, 5*time.Second, 500*time.Millisecond))
		return nil
	})
	if err != nil {
		return err
	}
	after, err := h.sent()
	if err != nil {
		return err
	}
	h.values["idle"] = 100 * used.hollow / used.elapsed / h.size
	h.values["realidle"] = 100 * used.real / used.elapsed
	h.values["bytes"] = (after.hollow - before.hollow) / used.elapsed
	h.values["realbytes"] = (after.real - before.real) / used.elapsed
	return nil
}

func (h *hollowMeasurement) measureMemory() error {
	hollow, err := readResident(h.hollow.PID())
	if err != nil {
		return err
	}
	real, err := readResident(h.real.PID())
	if err != nil {
		return err
	}
	h.values["memory"], h.values["real"] = hollow.now, real.now
	h.values["memoryratio"] = hollow.now / h.size / real.now
	return nil
}

// measureChanges sends changes of the endpoint list to all nodes.
func (h *hollowMeasurement) measureChanges() error {
	changes := pick(h.env, 100, 10)
	used, err := h.usageDuring(func() error {
		for i := range changes {
			health, startedMs := "draining", int64(0)
			if i%2 == 1 {
				health, startedMs = "up", time.Now().UnixMilli()
			}
			entry := entryText(i/2*scatter%h.endpoints, health, startedMs)
			if err := h.discovery.send(updateText(int64(2+i), false, entry)); err != nil {
				return err
			}
			time.Sleep(changePause)
		}
		time.Sleep(100 * time.Millisecond)
		return nil
	})
	if err != nil {
		return err
	}
	hollowIdle := h.values["idle"] / 100 * h.size * used.elapsed
	realIdle := h.values["realidle"] / 100 * used.elapsed
	h.values["change"] = 1e3 * max(used.hollow-hollowIdle, 0) / float64(changes) / h.size
	h.values["realchange"] = 1e3 * max(used.real-realIdle, 0) / float64(changes)
	return nil
}
