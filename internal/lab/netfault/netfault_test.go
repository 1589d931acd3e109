package netfault

import (
	"math"
	"slices"
	"strings"
	"testing"
)

var topology = Topology{Zones: []string{"a", "b"}, NodeZones: []string{"a", "b", "a", "b"}, EndpointNames: []string{"s-0", "s-1"}, EndpointZones: []string{"a", "b"}}

func ends(t *testing.T, names ...string) []End {
	t.Helper()
	list, err := topology.Ends(names)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestEndsResolveNames(t *testing.T) {
	for name, want := range map[string]string{"n1": "n1", "n1..n3": "n1 n2 n3", "nodes:a": "n0 n2", "servers:b": "s1", "s-0": "s0", "discovery": "discovery 0", "clients": "clients 0 clients 1"} {
		var got []string
		for _, e := range ends(t, name) {
			got = append(got, e.String())
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: %v, want %s", name, got, want)
		}
	}
	for _, name := range []string{"n4", "n2..n1", "m0", "nodes:c", "n-1", "n0..s-1", ""} {
		if _, err := topology.Ends([]string{name}); err == nil {
			t.Errorf("%q names somebody", name)
		}
	}
}

// TestFaultsAffectTheirShare has each trouble strike its share of the messages, one way or both, and only while it lasts; the same each time.
func TestFaultsAffectTheirShare(t *testing.T) {
	a, b := End{Node, 0}, End{Node, 1}
	for _, c := range []struct {
		trouble Kind
		struck  func(Fate) bool
		share   float64
	}{
		{Cut, func(v Fate) bool { return v.Lost }, 1},
		{Drop, func(v Fate) bool { return v.Lost }, 0.3},
		{Delay, func(v Fate) bool { return v.Delay >= 5e6 }, 1},
		{Duplicate, func(v Fate) bool { return v.DuplicateAfter > 0 }, 0.3},
		{Reorder, func(v Fate) bool { return v.Delay > 0 }, 0.3},
		{Corrupt, func(v Fate) bool { return v.CorruptByte >= 0 && v.CorruptByte < 100 }, 0.3},
		{Throttle, func(v Fate) bool { return v.Rate == 1000 }, 1},
	} {
		f := Fault{Kind: c.trouble, From: []End{a}, To: []End{b}, OneWay: true, Begin: 10, End: 20, Share: 0.3, Burst: 4, Wait: 5e6, Rate: 1000, Seed: 9}
		s := New([]Fault{f})
		struck, runs, last := 0, 0, false
		for n := range uint64(20000) {
			v := s.FateOf(15, a, b, n, 100)
			if v != s.FateOf(15, a, b, n, 100) {
				t.Fatal(c.trouble, ": not the same twice")
			}
			is := c.struck(v)
			if is {
				struck++
			}
			if is != last {
				runs++
			}
			last = is
			for _, other := range []Fate{s.FateOf(9, a, b, n, 100), s.FateOf(20, a, b, n, 100), s.FateOf(15, b, a, n, 100)} {
				if other != (Fate{CorruptByte: -1}) {
					t.Fatalf("%s: strikes before, after, or the other way: %+v", c.trouble, other)
				}
			}
		}
		if part := float64(struck) / 20000; math.Abs(part-c.share) > 0.02 {
			t.Errorf("%s: %.3f struck, want %.2f", c.trouble, part, c.share)
		}
		if c.share < 1 && runs > 20000/4 {
			t.Errorf("%s: %d runs, so not in bursts of 4", c.trouble, runs)
		}
	}
}

func TestReachability(t *testing.T) {
	s := New([]Fault{
		{Kind: Cut, From: ends(t, "n0", "n1"), To: ends(t, "n2", "n3"), Begin: 0, End: 10},
		{Kind: Cut, From: ends(t, "n0"), To: ends(t, "n1"), OneWay: true, Begin: 5, End: 10},
	})
	if r := s.ReachabilityAt(3, 4); !slices.Equal(r.Partitions, []string{"n0..n1", "n2..n3"}) || len(r.OneWay) > 0 {
		t.Errorf("%+v", r)
	}
	if r := s.ReachabilityAt(7, 4); len(r.Partitions) != 3 || len(r.OneWay) != 1 || r.OneWay[0] != "link-cut n0 -> n1" {
		t.Errorf("%+v", r)
	}
	if r := s.ReachabilityAt(10, 4); len(r.Partitions) != 1 || r.Partitions[0] != "n0..n3" {
		t.Errorf("%+v", r)
	}
}

func TestMaxDelayOfAffectedLinks(t *testing.T) {
	s := New([]Fault{{Kind: Delay, From: ends(t, "n0"), To: ends(t, "s-0"), Begin: 10, End: 20, Wait: 5}, {Kind: Cut, From: ends(t, "n0"), To: ends(t, "n1"), Begin: 0, End: 100}})
	for at, want := range map[int64]int64{9: 0, 10: 5, 24: 5, 25: 0} {
		if got := s.MaxDelay(at, Node, Endpoint); got != want {
			t.Errorf("at %d: %d, want %d", at, got, want)
		}
	}
	if s.MaxDelay(15, Client, Node) != 0 {
		t.Error("clients' ways are not touched")
	}
}
