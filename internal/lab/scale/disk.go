package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"fawnglade/internal/nodestate"
	"fawnglade/internal/store"
)

// Probe of the persisted state: the packages nodestate and store without a node. Files are read from the page cache, so
// the figures do not include disk reads after a power loss.

const methodClock = "a clock"

func diskProbe() Probe {
	return Probe{
		Name: "disk", SizeUnit: "servers", MinSize: 10,
		Sizes: []float64{1200, 4000, 12000, 40000, 120000}, QuickSizes: []float64{50, 100, 200, 500},
		DesignSize: func(d *Design) float64 { return d.Endpoints },
		Need:       func(n float64) Need { return Need{Bytes: 3000 * n} },
		Figures: []Figure{
			{
				Name: "bytes", Description: "on disk, as they were first written",
				Unit: "bytes", Role: "node", Method: "sizes of files",
			},
			{
				Name: "index", Description: "memory of the open store",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "memory", Description: "memory of what is remembered",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "write", Description: "a whole list written, with its sync",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{Name: "written", Description: "until it is durable", Unit: "s", Role: "node", Method: methodClock},
			{
				Name: "change", Description: "one change noted and written",
				Unit: "ms", Role: "node", Method: methodProcessor, Limit: limitChange,
			},
			{
				Name: "listed", Description: "a whole list told to one memory, which keeps 8,192",
				Unit: "s", Role: "node", Method: methodProcessor, Limit: limitPropagation,
			},
			{
				Name: "open", Description: "store opened and all of it read",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{
				Name: "opened", Description: "until that is done, files in the system's cache",
				Unit: "s", Role: "node", Method: methodClock, Limit: limitReady,
			},
		},
		Measure: measureDisk,
	}
}

func measureDisk(_ context.Context, e *Env, size float64) (m Measurement, err error) {
	d := &diskMeasurement{env: e, endpoints: int(size), now: time.Now().UnixNano(), values: Values{}}
	m.Values = d.values
	dir, err := os.MkdirTemp(e.Dir, "disk-")
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	d.path = filepath.Join(dir, "memory")
	if err := d.measureWrites(); err != nil {
		return m, err
	}
	kept, err := d.measureOpen()
	if err != nil {
		return m, err
	}
	if kept < d.endpoints {
		m.Note = fmt.Sprintf("a memory keeps %s of them: what stands for more is several memories in one store", formatCount(float64(kept)))
	}
	return m, nil
}

// diskMeasurement is a store with the states of a number of endpoints.
type diskMeasurement struct {
	env       *Env
	endpoints int
	now       int64 // Unix nanoseconds
	path      string
	values    Values
}

// measureWrites measures writes to a new store, and closes the store.
func (d *diskMeasurement) measureWrites() (err error) {
	stateStore, _, err := store.Open(d.path, store.Options{})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stateStore.Close()) }()
	before := heapInUse()
	states := d.states()
	d.values["memory"] = heapInUse() - before
	if err := d.measureFirstWrite(stateStore, states); err != nil {
		return err
	}
	all := stateEndpoints(0, d.endpoints)
	d.values["listed"] = cpuTimeOf(func() { states[0].RecordList(d.now, all, 2, true) })
	if err := d.measureChanges(stateStore, states[0]); err != nil {
		return err
	}
	runtime.KeepAlive(states)
	return nil
}

// states returns as many states as all endpoints need. One state keeps at most nodestate.MaxEndpoints, but the store is
// measured at larger sizes too.
func (d *diskMeasurement) states() []*nodestate.State {
	var states []*nodestate.State
	for from := 0; from < d.endpoints; from += nodestate.MaxEndpoints {
		state := nodestate.Load(func(func(string, []byte)) {})
		state.RecordList(d.now, stateEndpoints(from, min(nodestate.MaxEndpoints, d.endpoints-from)), 1, false)
		states = append(states, state)
	}
	return states
}

func (d *diskMeasurement) measureFirstWrite(stateStore *store.Store, states []*nodestate.State) error {
	var err error
	startedAt := time.Now()
	d.values["write"] = cpuTimeOf(func() {
		for _, state := range states {
			if err == nil {
				err = writeChanges(stateStore, state)
			}
		}
	})
	if err != nil {
		return err
	}
	d.values["written"] = time.Since(startedAt).Seconds()
	d.values["bytes"] = sizeOfFiles(d.path)
	return nil
}

// measureChanges drains endpoints one by one, and writes the state after each.
func (d *diskMeasurement) measureChanges(stateStore *store.Store, state *nodestate.State) error {
	list := stateEndpoints(0, min(nodestate.MaxEndpoints, d.endpoints))
	changes := pick(d.env, 50, 5)
	var err error
	d.values["change"] = 1e3 * cpuTimeOf(func() {
		for i := range changes {
			changed := list[i%len(list)]
			changed.State = nodestate.Draining
			state.RecordList(d.now, []nodestate.Endpoint{changed}, int64(10+i), false)
			if err == nil {
				err = writeChanges(stateStore, state)
			}
		}
	}) / float64(changes)
	return err
}

// measureOpen measures a start from the store, and returns the number of endpoints that the state has kept.
func (d *diskMeasurement) measureOpen() (kept int, err error) {
	before := heapInUse()
	startedAt := time.Now()
	var stateStore *store.Store
	var state *nodestate.State
	d.values["open"] = cpuTimeOf(func() {
		stateStore, _, err = store.Open(d.path, store.Options{})
		if err == nil {
			state, err = loadState(stateStore)
		}
	})
	if stateStore != nil {
		defer func() { err = errors.Join(err, stateStore.Close()) }()
	}
	if err != nil {
		return 0, err
	}
	d.values["opened"] = time.Since(startedAt).Seconds()
	kept = state.EndpointCount()
	state = nil // to measure the memory of the store alone
	d.values["index"] = heapInUse() - before
	runtime.KeepAlive(stateStore)
	return kept, nil
}

func loadState(stateStore *store.Store) (*nodestate.State, error) {
	var err error
	state := nodestate.Load(func(load func(string, []byte)) {
		snapshot := stateStore.Snapshot()
		defer snapshot.Release()
		err = snapshot.Each("", func(key string, value []byte) bool {
			load(key, value)
			return true
		})
	})
	return state, err
}

// writeChanges writes the changes of a state to the store.
func writeChanges(stateStore *store.Store, state *nodestate.State) error {
	var batch store.Batch
	for _, change := range state.Changes() {
		if change.Value == nil {
			batch.Delete(change.Key)
		} else {
			batch.Put(change.Key, change.Value)
		}
	}
	return stateStore.Apply(&batch)
}

// stateEndpoints returns n endpoints with numbers from first on.
func stateEndpoints(first, n int) []nodestate.Endpoint {
	list := make([]nodestate.Endpoint, n)
	for k := range list {
		i := first + k
		list[k] = nodestate.Endpoint{
			Name: endpointName(i), Address: endpointAddress(i), Zone: zoneName(i), Pod: i / podSize, Weight: 1,
			StartedNs: 1_700_000_000e9 + int64(i),
		}
	}
	return list
}
