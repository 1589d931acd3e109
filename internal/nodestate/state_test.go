package nodestate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const testNow = int64(1_700_000_000e9)

// memoryDisk is a store in memory. Changes that were not written are lost in a simulated crash.
type memoryDisk map[string][]byte

func (d memoryDisk) read() *State {
	return Load(func(add func(string, []byte)) {
		for _, k := range slices.Sorted(maps.Keys(d)) {
			add(k, d[k])
		}
	})
}

func (d memoryDisk) write(state *State) {
	for _, c := range state.Changes() {
		if c.Value == nil {
			delete(d, c.Key)
		} else {
			d[c.Key] = c.Value
		}
	}
}

func testEndpoint(name string, state EndpointState, startedNs int64) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Weight: 1, State: state, StartedNs: startedNs}
}

// diskAfterRun returns the store after a run with an active, a draining and a removed endpoint at version 7, and
// estimates.
func diskAfterRun() memoryDisk {
	disk := memoryDisk{}
	state := disk.read()
	state.RecordStart(testNow)
	state.RecordList(testNow, []Endpoint{testEndpoint("up", Active, 5), testEndpoint("out", Draining, 5), testEndpoint("gone", Removed, 5)}, 7, true)
	state.RecordEstimates(testNow+10, []byte("x"))
	disk.write(state)
	return disk
}

func TestRecover(t *testing.T) {
	const year = int64(365 * 86400e9)
	for _, c := range []struct {
		name   string
		now    int64
		weight float64
	}{
		{"at once", testNow + 10, 1},
		{"after a half-life", testNow + 10 + HalfLifeNs, 0.5},
		{"much later", testNow + year, 0},
		{"with a clock that went back", testNow - 60e9, 0},
	} {
		got := diskAfterRun().read().Recover(c.now)
		if len(got.Endpoints) != 2 || got.Endpoints[0].Name != "out" || got.Endpoints[0].State != Draining || got.Endpoints[0].StartedNs != 5 {
			t.Errorf("%s: the drain was not recovered: %+v", c.name, got.Endpoints)
		} else if got.Endpoints[1].StartedNs != c.now {
			t.Errorf("%s: the active endpoint does not count as just started: %+v", c.name, got.Endpoints[1])
		}
		if difference := got.EstimatesWeight - c.weight; difference > 1e-9 || difference < -1e-9 || (got.Estimates != nil) != (c.weight > 0) {
			t.Errorf("%s: got weight %v of the estimates, want %v", c.name, got.EstimatesWeight, c.weight)
		}
	}
}

func TestApplyDrains(t *testing.T) {
	for _, c := range []struct {
		name          string
		endpoint      Endpoint
		otherEndpoint Endpoint
		version       int64
		outdatedCopy  bool
		want          EndpointState
	}{
		{"an older list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 6, false, Draining},
		{"the same list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 7, false, Draining},
		{"a newer list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 8, false, Active},
		{"a later start of the endpoint", testEndpoint("out", Active, 6), testEndpoint("up", Active, 5), 6, false, Active},
		{"another endpoint that started after the last recorded time", testEndpoint("out", Active, 5), testEndpoint("up", Active, testNow+20), 1, false, Active},
		{"an outdated copy of the state", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 6, true, Active},
		{"a removed endpoint on an older list", testEndpoint("gone", Active, 5), testEndpoint("up", Active, 5), 6, false, Removed},
	} {
		state := diskAfterRun().read()
		state.RecordStart(testNow + 100)
		if c.outdatedCopy && !state.ReportLaterStart(uint64(testNow/1e6)+1000) {
			t.Error(c.name, ": the later start did not show that the state is outdated")
		}
		if got := state.ApplyDrains([]Endpoint{c.endpoint, c.otherEndpoint}, c.version)[0].State; got != c.want {
			t.Errorf("%s: got state %v, want %v", c.name, got, c.want)
		}
	}
	gossipState := diskAfterRun().read()
	gossipState.RecordStart(testNow + 100)
	gossiped := []Endpoint{testEndpoint("out", Active, 5), testEndpoint("up", Active, testNow+20)}
	if sameVersion, newerVersion := gossipState.ApplyDrainsToGossiped(gossiped, 7)[0].State, gossipState.ApplyDrainsToGossiped(gossiped, 8)[0].State; sameVersion != Draining || newerVersion != Active {
		t.Errorf("got state %v by a gossiped list of the same version and %v by a newer one, want draining and active", sameVersion, newerVersion)
	}
	state := diskAfterRun().read()
	state.RecordStart(testNow + 100)
	state.RecordList(testNow+200, []Endpoint{testEndpoint("up", Draining, 5)}, 3, false)
	if got := state.ApplyDrains([]Endpoint{testEndpoint("up", Active, 5)}, 4)[0].State; got != Active {
		t.Error("a drain recorded after the start overrides a list")
	}
	if (memoryDisk{}).read().ApplyDrains([]Endpoint{testEndpoint("x", Active, 0)}, 0)[0].State != Active {
		t.Error("an empty state overrides an entry")
	}
}

func TestUnreadableValuesAreCountedAndIgnored(t *testing.T) {
	disk := diskAfterRun()
	disk["server/up"] = []byte{0xff, 1}
	disk["server/other"] = disk["server/out"]
	disk["head"] = []byte("?")
	state := disk.read()
	if state.UnreadableValues() != 3 || len(state.Recover(testNow).Endpoints) != 1 {
		t.Errorf("got %d unreadable values and recovered %+v, want 3 values and 1 endpoint", state.UnreadableValues(), state.Recover(testNow))
	}
}

func TestMergeStoredStateOfStoreOpenedLate(t *testing.T) {
	state := memoryDisk{}.read()
	state.RecordStart(testNow)
	state.RecordList(testNow, []Endpoint{testEndpoint("new", Active, 5)}, 9, true)
	state.Changes()
	disk := diskAfterRun()
	state.MergeStored(disk.read())
	disk.write(state)
	if reread := disk.read(); reread.EndpointCount() != 4 || reread.current.Epoch != 2 || len(reread.Recover(testNow).Endpoints) != 3 {
		t.Errorf("got epoch %d and recovered %+v, want epoch 2, 4 endpoints in the state and 3 recovered", reread.current.Epoch, reread.Recover(testNow))
	}
}

func TestNumberOfEndpointsIsBounded(t *testing.T) {
	state := memoryDisk{}.read()
	state.RecordStart(testNow)
	for i := range MaxEndpoints + 50 {
		state.RecordList(testNow+int64(i), []Endpoint{testEndpoint(fmt.Sprint("s", i), Active, 5)}, int64(i), true)
	}
	if state.EndpointCount() > MaxEndpoints {
		t.Errorf("got %d endpoints, want at most MaxEndpoints", state.EndpointCount())
	}
}

// TestDrainsSurviveAnyCrash applies lists, writes and crashes with restarts in random order: no persisted drain or
// removal may be lost, or ended by a list that is older than it.
func TestDrainsSurviveAnyCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := memoryDisk{}
		state := disk.read()
		clock, version := testNow, int64(1)
		state.RecordStart(clock)
		recorded, written := map[string]Endpoint{}, map[string]Endpoint{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				clock += rapid.Int64Range(1, 1e9).Draw(t, "after")
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				endpoint := testEndpoint(name, EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 3).Draw(t, "started"))
				state.RecordList(clock, state.ApplyDrains([]Endpoint{endpoint}, version), version, false)
				recorded[name] = endpoint // the version is higher than all before, so that no earlier drain overrides the entry
			},
			"write": func(*rapid.T) {
				disk.write(state)
				written = maps.Clone(recorded)
			},
			"crash": func(t *rapid.T) {
				clock += rapid.Int64Range(-1e9, 1e11).Draw(t, "away") // the clock may go back
				state = disk.read()
				recorded = maps.Clone(written)
				state.RecordStart(clock)
				disk.write(state)
			},
			"": func(t *rapid.T) {
				for name, want := range recorded {
					got := state.endpoints[name]
					if got == nil || got.State != want.State || got.StartedNs != want.StartedNs {
						t.Fatalf("%s: got %+v, want %+v", name, got, want)
					}
				}
				for name, want := range written {
					read := disk.read()
					if got := read.endpoints[name]; got == nil || got.State != want.State {
						t.Fatalf("%s in the store: got %+v, want %+v", name, got, want)
					}
					read.RecordStart(clock + 1)
					listed := testEndpoint(name, Active, 0)
					if got := read.ApplyDrains([]Endpoint{listed}, 0)[0].State; want.State != Active && got != want.State {
						t.Fatalf("a list of version 0 ended the drain or removal of %s: got state %v", name, got)
					}
				}
			},
		})
	})
}

func FuzzLoad(f *testing.F) {
	for k, v := range diskAfterRun() {
		f.Add(k, v)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		state := memoryDisk{key: value}.read()
		state.RecordStart(testNow)
		state.Recover(testNow)
		state.RecordList(testNow, state.ApplyDrains([]Endpoint{testEndpoint("x", Active, 1)}, 1), 1, true)
		memoryDisk{}.write(state)
	})
}
