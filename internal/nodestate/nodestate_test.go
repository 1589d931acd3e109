package nodestate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const now = int64(1_700_000_000e9)

// disk is a plain map that takes batches, and loses what was not written.
type disk map[string][]byte

func (d disk) read() *Memory {
	return Read(func(each func(string, []byte)) {
		for _, k := range slices.Sorted(maps.Keys(d)) {
			each(k, d[k])
		}
	})
}

func (d disk) write(m *Memory) {
	for _, c := range m.Changes() {
		if c.Value == nil {
			delete(d, c.Key)
		} else {
			d[c.Key] = c.Value
		}
	}
}

func server(name string, s State, started int64) Server {
	return Server{Name: name, Address: "127.0.0.1:1", Zone: "a", Weight: 1, State: s, Started: started}
}

// lived is the disk of a life that was told of one server up and one that drains, at version 7, and learned something.
func lived() disk {
	d := disk{}
	m := d.read()
	m.Begin(now)
	m.Listed(now, []Server{server("up", Up, 5), server("out", Draining, 5), server("gone", Removed, 5)}, 7, true)
	m.Learned(now+10, []byte("x"))
	d.write(m)
	return d
}

func TestTrust(t *testing.T) {
	const year = int64(365 * 86400e9)
	for _, c := range []struct {
		what string
		at   int64
		part float64
	}{
		{"at once", now + 10, 1},
		{"after a half-life", now + 10 + HalfLife, 0.5},
		{"much later", now + year, 0},
		{"by a clock that went back", now - 60e9, 0},
	} {
		got := lived().read().Trust(c.at)
		if len(got.Servers) != 2 || got.Servers[0].Name != "out" || got.Servers[0].State != Draining || got.Servers[0].Started != 5 {
			t.Errorf("%s: the drain does not hold: %+v", c.what, got.Servers)
		} else if got.Servers[1].Started != c.at {
			t.Errorf("%s: a server that was up is not taken for cold: %+v", c.what, got.Servers[1])
		}
		if d := got.Part - c.part; d > 1e-9 || d < -1e-9 || (got.Learned != nil) != (c.part > 0) {
			t.Errorf("%s: what was learned counts %v, want %v", c.what, got.Part, c.part)
		}
	}
}

func TestOver(t *testing.T) {
	for _, c := range []struct {
		what    string
		out     Server
		beside  Server
		version int64
		older   bool
		want    State
	}{
		{"an older list", server("out", Up, 5), server("up", Up, 5), 6, false, Draining},
		{"the same list", server("out", Up, 5), server("up", Up, 5), 7, false, Draining},
		{"a newer list", server("out", Up, 5), server("up", Up, 5), 8, false, Up},
		{"a later start", server("out", Up, 6), server("up", Up, 5), 6, false, Up},
		{"another's start that this memory can't know", server("out", Up, 5), server("up", Up, now+20), 1, false, Up},
		{"an older copy of the memory", server("out", Up, 5), server("up", Up, 5), 6, true, Up},
		{"one that was removed, in an older list", server("gone", Up, 5), server("up", Up, 5), 6, false, Removed},
	} {
		m := lived().read()
		m.Begin(now + 100)
		if c.older && !m.Older(uint64(now/1e6)+1000) {
			t.Error(c.what, ": not seen")
		}
		if got := m.Over([]Server{c.out, c.beside}, c.version)[0].State; got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
	others := lived().read()
	others.Begin(now + 100)
	guess := []Server{server("out", Up, 5), server("up", Up, now+20)}
	if a, b := others.OverOthers(guess, 7)[0].State, others.OverOthers(guess, 8)[0].State; a != Draining || b != Up {
		t.Errorf("by another's list as new as the memory %v, by a newer one %v", a, b)
	}
	m := lived().read()
	m.Begin(now + 100)
	m.Listed(now+200, []Server{server("up", Draining, 5)}, 3, false)
	if got := m.Over([]Server{server("up", Up, 5)}, 4)[0].State; got != Up {
		t.Error("what this life was told goes by the list alone")
	}
	if (disk{}).read().Over([]Server{server("x", Up, 0)}, 0)[0].State != Up {
		t.Error("an empty memory says something")
	}
}

func TestWhatCannotBeReadIsPassedOver(t *testing.T) {
	d := lived()
	d["server/up"] = []byte{0xff, 1}
	d["server/other"] = d["server/out"]
	d["head"] = []byte("?")
	m := d.read()
	if m.Bad() != 3 || len(m.Trust(now).Servers) != 1 {
		t.Errorf("%d bad, %+v", m.Bad(), m.Trust(now))
	}
}

func TestAStoreThatOpensLateGoesOn(t *testing.T) {
	m := disk{}.read()
	m.Begin(now)
	m.Listed(now, []Server{server("new", Up, 5)}, 9, true)
	m.Changes()
	d := lived()
	m.Follow(d.read())
	d.write(m)
	if again := d.read(); again.Servers() != 4 || again.head.Epoch != 2 || len(again.Trust(now).Servers) != 3 {
		t.Errorf("epoch %d, %+v", again.head.Epoch, again.Trust(now))
	}
}

func TestBounded(t *testing.T) {
	m := disk{}.read()
	m.Begin(now)
	for i := range MostServers + 50 {
		m.Listed(now+int64(i), []Server{server(fmt.Sprint("s", i), Up, 5)}, int64(i), true)
	}
	if m.Servers() > MostServers {
		t.Errorf("%d servers", m.Servers())
	}
}

// TestAgainstAMap has lists, crashes at any batch and restarts in any order: no drain that was written is ever lost or put back by
// what is not after it.
func TestAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk{}
		m := d.read()
		clock, version := now, int64(1)
		m.Begin(clock)
		memory, written := map[string]Server{}, map[string]Server{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				clock += rapid.Int64Range(1, 1e9).Draw(t, "after")
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				s := server(name, State(rapid.IntRange(0, 2).Draw(t, "state")), rapid.Int64Range(0, 3).Draw(t, "started"))
				m.Listed(clock, m.Over([]Server{s}, version), version, false)
				memory[name] = s // a version higher than all before: told as it is
			},
			"write": func(*rapid.T) {
				d.write(m)
				written = maps.Clone(memory)
			},
			"crash": func(t *rapid.T) {
				clock += rapid.Int64Range(-1e9, 1e11).Draw(t, "away") // the clock may go back
				m = d.read()
				memory = maps.Clone(written)
				m.Begin(clock)
				d.write(m)
			},
			"": func(t *rapid.T) {
				for name, want := range memory {
					got := m.servers[name]
					if got == nil || got.State != want.State || got.Started != want.Started {
						t.Fatalf("%s: %+v, want %+v", name, got, want)
					}
				}
				for name, want := range written {
					read := d.read()
					if got := read.servers[name]; got == nil || got.State != want.State {
						t.Fatalf("on the disk %s: %+v, want %+v", name, got, want)
					}
					read.Begin(clock + 1)
					line := server(name, Up, 0)
					if got := read.Over([]Server{line}, 0)[0].State; want.State != Up && got != want.State {
						t.Fatalf("an old list puts %s back: %v", name, got)
					}
				}
			},
		})
	})
}

func FuzzRead(f *testing.F) {
	for k, v := range lived() {
		f.Add(k, v)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m := disk{key: value}.read()
		m.Begin(now)
		m.Trust(now)
		m.Listed(now, m.Over([]Server{server("x", Up, 1)}, 1), 1, true)
		disk{}.write(m)
	})
}
