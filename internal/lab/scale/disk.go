package scale

// This file owns what a memory costs on disk and at a start: the node's own memory and store, without a node. It must never count what
// the system's cache spares as what a disk after a power loss would give.

import (
	"context"
	"fawnglade/internal/nodestate"
	"fawnglade/internal/store"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

func remembered(from, n int) []nodestate.Endpoint {
	out := make([]nodestate.Endpoint, n)
	for k := range out {
		i := from + k
		out[k] = nodestate.Endpoint{
			Name: fmt.Sprintf("srv-%06d.eu1", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", i>>16&255, i>>8&255, i&255),
			Zone: fmt.Sprintf("z%02d", i%31), Pod: i / 40, Weight: 1, StartedNs: 1_700_000_000e9 + int64(i),
		}
	}
	return out
}

func write(to *store.Store, m *nodestate.State) error {
	var b store.Batch
	for _, c := range m.Changes() {
		if c.Value == nil {
			b.Delete(c.Key)
		} else {
			b.Put(c.Key, c.Value)
		}
	}
	return to.Apply(&b)
}

func empty() *nodestate.State { return nodestate.Load(func(func(string, []byte)) {}) }

func diskProbe() Probe {
	return Probe{
		Name: "disk", Size: "servers", Sizes: []float64{1200, 4000, 12000, 40000, 120000}, Quick: []float64{50, 100, 200, 500}, Least: 10,
		At:   func(d *Design) float64 { return d.Servers },
		Need: func(n float64) Need { return Need{Bytes: 3000 * n} },
		Figures: []Figure{
			{Name: "bytes", What: "on disk, as they were first written", Unit: "bytes", Role: "node", Method: "sizes of files"},
			{Name: "index", What: "memory of the open store", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "memory", What: "memory of what is remembered", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "write", What: "a whole list written, with its sync", Unit: "s", Role: "node", Method: processor},
			{Name: "written", What: "until it is durable", Unit: "s", Role: "node", Method: "a clock"},
			{Name: "change", What: "one change noted and written", Unit: "ms", Role: "node", Method: processor, Limit: limitChange},
			{Name: "listed", What: "a whole list told to one memory, which keeps 8,192", Unit: "s", Role: "node", Method: processor, Limit: limitInForce},
			{Name: "open", What: "store opened and all of it read", Unit: "s", Role: "node", Method: processor},
			{Name: "opened", What: "until that is done, files in the system's cache", Unit: "s", Role: "node", Method: "a clock", Limit: limitReady},
		},
		Measure: measureDisk,
	}
}

func measureDisk(_ context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
	v = map[string]float64{}
	dir, err := os.MkdirTemp(e.Dir, "disk-")
	if err != nil {
		return v, "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "memory")
	at, _, err := store.Open(path, store.Options{})
	if err != nil {
		return v, "", err
	}
	defer func() {
		if at != nil {
			_ = at.Close()
		}
	}()
	// A memory takes MostServers; so many of them as it takes stand in one store, so that the store at least is seen at every size.
	n, now := int(size), time.Now().UnixNano()
	parts := []*nodestate.State(nil)
	before := inUse()
	for from := 0; from < n; from += nodestate.MaxEndpoints {
		m := empty()
		m.RecordList(now, remembered(from, min(nodestate.MaxEndpoints, n-from)), 1, false)
		parts = append(parts, m)
	}
	v["memory"] = inUse() - before
	began := time.Now()
	v["write"] = spent(func() {
		for _, m := range parts {
			if err == nil {
				err = write(at, m)
			}
		}
	})
	if err != nil {
		return v, "", err
	}
	v["written"] = time.Since(began).Seconds()
	v["bytes"] = onDisk(path)
	first := remembered(0, min(nodestate.MaxEndpoints, n))
	whole := remembered(0, n)
	v["listed"] = spent(func() { parts[0].RecordList(now, whole, 2, true) })
	changes := 50
	if e.Quick {
		changes = 5
	}
	v["change"] = 1e3 * spent(func() {
		for i := range changes {
			one := first[i%len(first)]
			one.State = nodestate.Draining
			parts[0].RecordList(now, []nodestate.Endpoint{one}, int64(10+i), false)
			if err == nil {
				err = write(at, parts[0])
			}
		}
	}) / float64(changes)
	if err != nil {
		return v, "", err
	}
	runtime.KeepAlive(parts)
	if err := at.Close(); err != nil {
		return v, "", err
	}
	at, parts, first = nil, nil, nil
	before, began = inUse(), time.Now()
	var found *nodestate.State
	v["open"] = spent(func() {
		if at, _, err = store.Open(path, store.Options{}); err != nil {
			return
		}
		found = nodestate.Load(func(each func(string, []byte)) {
			snap := at.Snapshot()
			defer snap.Release()
			err = snap.Each("", func(key string, value []byte) bool { each(key, value); return true })
		})
	})
	if err != nil {
		return v, "", err
	}
	v["opened"] = time.Since(began).Seconds()
	kept := found.EndpointCount()
	found = nil
	v["index"] = inUse() - before
	if kept < n {
		note = fmt.Sprintf("a memory keeps %s of them: what stands for more is several memories in one store", count(float64(kept)))
	}
	runtime.KeepAlive(at)
	return v, note, nil
}
