package nodestate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const testNow = int64(1_700_000_000e9)

// disk is a store as a map: what is not written is lost in a crash.
type memoryDisk map[string][]byte

func (d memoryDisk) read() *State {
	return Load(func(each func(string, []byte)) {
		for _, k := range slices.Sorted(maps.Keys(d)) {
			each(k, d[k])
		}
	})
}

func (d memoryDisk) write(m *State) {
	for _, c := range m.Changes() {
		if c.Value == nil {
			delete(d, c.Key)
		} else {
			d[c.Key] = c.Value
		}
	}
}

func testEndpoint(name string, s EndpointState, started int64) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Weight: 1, State: s, StartedNs: started}
}

// diskAfterRun is the disk of a run that had one endpoint active and one draining, at version 7, and recorded estimates.
func diskAfterRun() memoryDisk {
	d := memoryDisk{}
	m := d.read()
	m.RecordStart(testNow)
	m.RecordList(testNow, []Endpoint{testEndpoint("up", Active, 5), testEndpoint("out", Draining, 5), testEndpoint("gone", Removed, 5)}, 7, true)
	m.RecordEstimates(testNow+10, []byte("x"))
	d.write(m)
	return d
}

func TestRecover(t *testing.T) {
	const year = int64(365 * 86400e9)
	for _, c := range []struct {
		what string
		at   int64
		part float64
	}{
		{"at once", testNow + 10, 1},
		{"after a half-life", testNow + 10 + HalfLifeNs, 0.5},
		{"much later", testNow + year, 0},
		{"by a clock that went back", testNow - 60e9, 0},
	} {
		got := diskAfterRun().read().Recover(c.at)
		if len(got.Endpoints) != 2 || got.Endpoints[0].Name != "out" || got.Endpoints[0].State != Draining || got.Endpoints[0].StartedNs != 5 {
			t.Errorf("%s: the drain does not hold: %+v", c.what, got.Endpoints)
		} else if got.Endpoints[1].StartedNs != c.at {
			t.Errorf("%s: an active endpoint does not count as just started: %+v", c.what, got.Endpoints[1])
		}
		if d := got.EstimatesWeight - c.part; d > 1e-9 || d < -1e-9 || (got.Estimates != nil) != (c.part > 0) {
			t.Errorf("%s: estimates have the weight %v, want %v", c.what, got.EstimatesWeight, c.part)
		}
	}
}

func TestApplyDrains(t *testing.T) {
	for _, c := range []struct {
		what    string
		out     Endpoint
		beside  Endpoint
		version int64
		older   bool
		want    EndpointState
	}{
		{"an older list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 6, false, Draining},
		{"the same list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 7, false, Draining},
		{"a newer list", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 8, false, Active},
		{"a later start", testEndpoint("out", Active, 6), testEndpoint("up", Active, 5), 6, false, Active},
		{"a start of another endpoint that this state can't know", testEndpoint("out", Active, 5), testEndpoint("up", Active, testNow+20), 1, false, Active},
		{"an older copy of the state", testEndpoint("out", Active, 5), testEndpoint("up", Active, 5), 6, true, Active},
		{"one that was removed, in an older list", testEndpoint("gone", Active, 5), testEndpoint("up", Active, 5), 6, false, Removed},
	} {
		m := diskAfterRun().read()
		m.RecordStart(testNow + 100)
		if c.older && !m.ReportLaterStart(uint64(testNow/1e6)+1000) {
			t.Error(c.what, ": not seen")
		}
		if got := m.ApplyDrains([]Endpoint{c.out, c.beside}, c.version)[0].State; got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
	others := diskAfterRun().read()
	others.RecordStart(testNow + 100)
	guess := []Endpoint{testEndpoint("out", Active, 5), testEndpoint("up", Active, testNow+20)}
	if a, b := others.ApplyDrainsToGossiped(guess, 7)[0].State, others.ApplyDrainsToGossiped(guess, 8)[0].State; a != Draining || b != Active {
		t.Errorf("by a gossiped list as new as the state %v, by a newer one %v", a, b)
	}
	m := diskAfterRun().read()
	m.RecordStart(testNow + 100)
	m.RecordList(testNow+200, []Endpoint{testEndpoint("up", Draining, 5)}, 3, false)
	if got := m.ApplyDrains([]Endpoint{testEndpoint("up", Active, 5)}, 4)[0].State; got != Active {
		t.Error("a drain from after the start holds against the list")
	}
	if (memoryDisk{}).read().ApplyDrains([]Endpoint{testEndpoint("x", Active, 0)}, 0)[0].State != Active {
		t.Error("an empty state changes an entry")
	}
}

func TestUnreadableValuesAreCountedAndIgnored(t *testing.T) {
	d := diskAfterRun()
	d["server/up"] = []byte{0xff, 1}
	d["server/other"] = d["server/out"]
	d["head"] = []byte("?")
	m := d.read()
	if m.UnreadableValues() != 3 || len(m.Recover(testNow).Endpoints) != 1 {
		t.Errorf("%d unreadable, %+v", m.UnreadableValues(), m.Recover(testNow))
	}
}

func TestMergeStoredStateOfStoreOpenedLate(t *testing.T) {
	m := memoryDisk{}.read()
	m.RecordStart(testNow)
	m.RecordList(testNow, []Endpoint{testEndpoint("new", Active, 5)}, 9, true)
	m.Changes()
	d := diskAfterRun()
	m.MergeStored(d.read())
	d.write(m)
	if again := d.read(); again.EndpointCount() != 4 || again.current.Epoch != 2 || len(again.Recover(testNow).Endpoints) != 3 {
		t.Errorf("epoch %d, %+v", again.current.Epoch, again.Recover(testNow))
	}
}

func TestNumberOfEndpointsIsBounded(t *testing.T) {
	m := memoryDisk{}.read()
	m.RecordStart(testNow)
	for i := range MaxEndpoints + 50 {
		m.RecordList(testNow+int64(i), []Endpoint{testEndpoint(fmt.Sprint("s", i), Active, 5)}, int64(i), true)
	}
	if m.EndpointCount() > MaxEndpoints {
		t.Errorf("%d endpoints", m.EndpointCount())
	}
}

// TestDrainsSurviveAnyCrash has lists, crashes between batches and restarts in any order: no drain that was written is
// lost, or ended by a list that does not come after it.
func TestDrainsSurviveAnyCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := memoryDisk{}
		m := d.read()
		clock, version := testNow, int64(1)
		m.RecordStart(clock)
		recorded, written := map[string]Endpoint{}, map[string]Endpoint{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				clock += rapid.Int64Range(1, 1e9).Draw(t, "after")
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				s := testEndpoint(name, EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 3).Draw(t, "started"))
				m.RecordList(clock, m.ApplyDrains([]Endpoint{s}, version), version, false)
				recorded[name] = s // a higher version than all before: recorded as it is
			},
			"write": func(*rapid.T) {
				d.write(m)
				written = maps.Clone(recorded)
			},
			"crash": func(t *rapid.T) {
				clock += rapid.Int64Range(-1e9, 1e11).Draw(t, "away") // the clock may go back
				m = d.read()
				recorded = maps.Clone(written)
				m.RecordStart(clock)
				d.write(m)
			},
			"": func(t *rapid.T) {
				for name, want := range recorded {
					got := m.endpoints[name]
					if got == nil || got.State != want.State || got.StartedNs != want.StartedNs {
						t.Fatalf("%s: %+v, want %+v", name, got, want)
					}
				}
				for name, want := range written {
					read := d.read()
					if got := read.endpoints[name]; got == nil || got.State != want.State {
						t.Fatalf("on the disk %s: %+v, want %+v", name, got, want)
					}
					read.RecordStart(clock + 1)
					line := testEndpoint(name, Active, 0)
					if got := read.ApplyDrains([]Endpoint{line}, 0)[0].State; want.State != Active && got != want.State {
						t.Fatalf("an old list ends the drain of %s: %v", name, got)
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
		m := memoryDisk{key: value}.read()
		m.RecordStart(testNow)
		m.Recover(testNow)
		m.RecordList(testNow, m.ApplyDrains([]Endpoint{testEndpoint("x", Active, 1)}, 1), 1, true)
		memoryDisk{}.write(m)
	})
}
