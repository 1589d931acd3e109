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
			t.Errorf("%s: got ends %v, want %s", name, got, want)
		}
	}
	for _, name := range []string{"n4", "n2..n1", "m0", "nodes:c", "n-1", "n0..s-1", ""} {
		if _, err := topology.Ends([]string{name}); err == nil {
			t.Errorf("%q: got no error, want one as it names no end", name)
		}
	}
}

// Each kind of fault affects its fraction of the messages, in one direction, only while it is active, and the same
// messages each time.
func TestFaultsAffectTheirShare(t *testing.T) {
	a, b := End{Node, 0}, End{Node, 1}
	for _, c := range []struct {
		kind     Kind
		affected func(Fate) bool
		share    float64
	}{
		{Cut, func(fate Fate) bool { return fate.Lost }, 1},
		{Drop, func(fate Fate) bool { return fate.Lost }, 0.3},
		{Delay, func(fate Fate) bool { return fate.Delay >= 5e6 }, 1},
		{Duplicate, func(fate Fate) bool { return fate.DuplicateAfter > 0 }, 0.3},
		{Reorder, func(fate Fate) bool { return fate.Delay > 0 }, 0.3},
		{Corrupt, func(fate Fate) bool { return fate.CorruptByte >= 0 && fate.CorruptByte < 100 }, 0.3},
		{Throttle, func(fate Fate) bool { return fate.Rate == 1000 }, 1},
	} {
		f := Fault{Kind: c.kind, From: []End{a}, To: []End{b}, OneWay: true, Begin: 10, End: 20, Share: 0.3, Burst: 4, Wait: 5e6, Rate: 1000, Seed: 9}
		s := New([]Fault{f})
		affected, changes, previous := 0, 0, false
		for n := range uint64(20000) {
			fate := s.FateOf(15, a, b, n, 100)
			if fate != s.FateOf(15, a, b, n, 100) {
				t.Fatal(c.kind, ": got two different fates for the same message")
			}
			hit := c.affected(fate)
			if hit {
				affected++
			}
			if hit != previous {
				changes++
			}
			previous = hit
			for _, other := range []Fate{s.FateOf(9, a, b, n, 100), s.FateOf(20, a, b, n, 100), s.FateOf(15, b, a, n, 100)} {
				if other != (Fate{CorruptByte: -1}) {
					t.Fatalf("%s: got fate %+v before, after, or in the other direction, want none", c.kind, other)
				}
			}
		}
		if fraction := float64(affected) / 20000; math.Abs(fraction-c.share) > 0.02 {
			t.Errorf("%s: got a fraction of %.3f affected, want %.2f", c.kind, fraction, c.share)
		}
		if c.share < 1 && changes > 20000/4 {
			t.Errorf("%s: got %d changes between affected and unaffected, want bursts of 4", c.kind, changes)
		}
	}
}

func TestReachability(t *testing.T) {
	s := New([]Fault{
		{Kind: Cut, From: ends(t, "n0", "n1"), To: ends(t, "n2", "n3"), Begin: 0, End: 10},
		{Kind: Cut, From: ends(t, "n0"), To: ends(t, "n1"), OneWay: true, Begin: 5, End: 10},
	})
	if r := s.ReachabilityAt(3, 4); !slices.Equal(r.Partitions, []string{"n0..n1", "n2..n3"}) || len(r.OneWay) > 0 {
		t.Errorf("during the cut: got %+v, want partitions n0..n1 and n2..n3, no one-way cut", r)
	}
	if r := s.ReachabilityAt(7, 4); len(r.Partitions) != 3 || len(r.OneWay) != 1 || r.OneWay[0] != "link-cut n0 -> n1" {
		t.Errorf("during both cuts: got %+v, want three partitions and the one-way cut n0 -> n1", r)
	}
	if r := s.ReachabilityAt(10, 4); len(r.Partitions) != 1 || r.Partitions[0] != "n0..n3" {
		t.Errorf("after the cuts: got %+v, want one partition n0..n3", r)
	}
}

func TestMaxDelayOfAffectedLinks(t *testing.T) {
	s := New([]Fault{{Kind: Delay, From: ends(t, "n0"), To: ends(t, "s-0"), Begin: 10, End: 20, Wait: 5}, {Kind: Cut, From: ends(t, "n0"), To: ends(t, "n1"), Begin: 0, End: 100}})
	for at, want := range map[int64]int64{9: 0, 10: 5, 24: 5, 25: 0} {
		if got := s.MaxDelay(at, Node, Endpoint); got != want {
			t.Errorf("at %d: got a delay of %d, want %d", at, got, want)
		}
	}
	if s.MaxDelay(15, Client, Node) != 0 {
		t.Error("got a delay between clients and nodes, want none as no fault affects these links")
	}
}
