package nodestate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const now = int64(1_700_000_000e9)

// disk is a store as a map: what is not written is lost in a crash.
type disk map[string][]byte

func (d disk) read() *State {
	return Load(func(each func(string, []byte)) {
		for _, k := range slices.Sorted(maps.Keys(d)) {
			each(k, d[k])
		}
	})
}

func (d disk) write(m *State) {
	for _, c := range m.Changes() {
		if c.Value == nil {
			delete(d, c.Key)
		} else {
			d[c.Key] = c.Value
		}
	}
}

func server(name string, s EndpointState, started int64) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Weight: 1, State: s, StartedNs: started}
}

// diskOfARun is the disk of a run that had one endpoint active and one draining, at version 7, and recorded estimates.
func diskOfARun() disk {
	d := disk{}
	m := d.read()
	m.RecordStart(now)
	m.RecordList(now, []Endpoint{server("up", Active, 5), server("out", Draining, 5), server("gone", Removed, 5)}, 7, true)
	m.RecordEstimates(now+10, []byte("x"))
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
		{"at once", now + 10, 1},
		{"after a half-life", now + 10 + HalfLifeNs, 0.5},
		{"much later", now + year, 0},
		{"by a clock that went back", now - 60e9, 0},
	} {
		got := diskOfARun().read().Recover(c.at)
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
		{"an older list", server("out", Active, 5), server("up", Active, 5), 6, false, Draining},
		{"the same list", server("out", Active, 5), server("up", Active, 5), 7, false, Draining},
		{"a newer list", server("out", Active, 5), server("up", Active, 5), 8, false, Active},
		{"a later start", server("out", Active, 6), server("up", Active, 5), 6, false, Active},
		{"a start of another endpoint that this state can't know", server("out", Active, 5), server("up", Active, now+20), 1, false, Active},
		{"an older copy of the state", server("out", Active, 5), server("up", Active, 5), 6, true, Active},
		{"one that was removed, in an older list", server("gone", Active, 5), server("up", Active, 5), 6, false, Removed},
	} {
		m := diskOfARun().read()
		m.RecordStart(now + 100)
		if c.older && !m.ReportLaterStart(uint64(now/1e6)+1000) {
			t.Error(c.what, ": not seen")
		}
		if got := m.ApplyDrains([]Endpoint{c.out, c.beside}, c.version)[0].State; got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
	others := diskOfARun().read()
	others.RecordStart(now + 100)
	guess := []Endpoint{server("out", Active, 5), server("up", Active, now+20)}
	if a, b := others.ApplyDrainsToGossiped(guess, 7)[0].State, others.ApplyDrainsToGossiped(guess, 8)[0].State; a != Draining || b != Active {
		t.Errorf("by a gossiped list as new as the state %v, by a newer one %v", a, b)
	}
	m := diskOfARun().read()
	m.RecordStart(now + 100)
	m.RecordList(now+200, []Endpoint{server("up", Draining, 5)}, 3, false)
	if got := m.ApplyDrains([]Endpoint{server("up", Active, 5)}, 4)[0].State; got != Active {
		t.Error("a drain from after the start holds against the list")
	}
	if (disk{}).read().ApplyDrains([]Endpoint{server("x", Active, 0)}, 0)[0].State != Active {
		t.Error("an empty state changes an entry")
	}
}

func TestUnreadableValuesAreCountedAndIgnored(t *testing.T) {
	d := diskOfARun()
	d["server/up"] = []byte{0xff, 1}
	d["server/other"] = d["server/out"]
	d["head"] = []byte("?")
	m := d.read()
	if m.UnreadableValues() != 3 || len(m.Recover(now).Endpoints) != 1 {
		t.Errorf("%d unreadable, %+v", m.UnreadableValues(), m.Recover(now))
	}
}

func TestMergeFoundOfAStoreThatOpensLate(t *testing.T) {
	m := disk{}.read()
	m.RecordStart(now)
	m.RecordList(now, []Endpoint{server("new", Active, 5)}, 9, true)
	m.Changes()
	d := diskOfARun()
	m.MergeFound(d.read())
	d.write(m)
	if again := d.read(); again.EndpointCount() != 4 || again.current.Epoch != 2 || len(again.Recover(now).Endpoints) != 3 {
		t.Errorf("epoch %d, %+v", again.current.Epoch, again.Recover(now))
	}
}

func TestNumberOfEndpointsIsBounded(t *testing.T) {
	m := disk{}.read()
	m.RecordStart(now)
	for i := range MaxEndpoints + 50 {
		m.RecordList(now+int64(i), []Endpoint{server(fmt.Sprint("s", i), Active, 5)}, int64(i), true)
	}
	if m.EndpointCount() > MaxEndpoints {
		t.Errorf("%d endpoints", m.EndpointCount())
	}
}

// TestDrainsSurviveAnyCrash has lists, crashes between batches and restarts in any order: no drain that was written is
// lost, or ended by a list that does not come after it.
func TestDrainsSurviveAnyCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk{}
		m := d.read()
		clock, version := now, int64(1)
		m.RecordStart(clock)
		recorded, written := map[string]Endpoint{}, map[string]Endpoint{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				clock += rapid.Int64Range(1, 1e9).Draw(t, "after")
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				s := server(name, EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 3).Draw(t, "started"))
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
					line := server(name, Active, 0)
					if got := read.ApplyDrains([]Endpoint{line}, 0)[0].State; want.State != Active && got != want.State {
						t.Fatalf("an old list ends the drain of %s: %v", name, got)
					}
				}
			},
		})
	})
}

func FuzzLoad(f *testing.F) {
	for k, v := range diskOfARun() {
		f.Add(k, v)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m := disk{key: value}.read()
		m.RecordStart(now)
		m.Recover(now)
		m.RecordList(now, m.ApplyDrains([]Endpoint{server("x", Active, 1)}, 1), 1, true)
		disk{}.write(m)
	})
}
