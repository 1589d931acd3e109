package distsim

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fawnglade/internal/distribution"
)

func TestSizeCheckRejectsSizes(t *testing.T) {
	const halfMemory, descriptors = 12 << 30, 20_000
	for name, c := range map[string]struct {
		change func(*Size)
		want   string
	}{
		"memory":      {func(s *Size) { s.ServicesPerNode = 5000; s.SharedServices = 500 }, "MB at most, half of the machine's memory"},
		"processes":   {func(s *Size) { s.LowerRelays = 300 }, "expected 200 at most"},
		"descriptors": {func(s *Size) { s.Nodes, s.ServicesPerNode, s.SharedServices = 19_900, 50, 1 }, "expected 20000 at most"},
		"failover":    {func(s *Size) { s.LowerRelays = 9 }, "expected 10 at least"},
		"take":        {func(s *Size) { s.ServicesPerNode = 0 }, "expected 1 to 5000"},
		"none":        {func(s *Size) { s.Nodes = 0 }, "expected one node"},
		"zones":       {func(s *Size) { s.Zones = 3 }, "a zone for each region"},
	} {
		s := Full()
		c.change(&s)
		if err := s.check(halfMemory, descriptors); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: want an error of one line with %q, got %v", name, c.want, err)
		}
	}
	for _, s := range []Size{Full(), Quick()} {
		if err := s.check(halfMemory, descriptors); err != nil {
			t.Error(err)
		}
	}
	s := Full()
	s.Nodes, s.ServicesPerNode, s.SharedServices = 28_000, 10, 1
	if err := s.check(halfMemory, 100_000); err == nil || !strings.Contains(err.Error(), "ports") {
		t.Error(err)
	}
}

// TestFullSizeSpreadsRecords checks that records and scopes have the design's numbers: endpoints spread over all zones
// and regions, every record generated once, and distinct scopes for each node.
func TestFullSizeSpreadsRecords(t *testing.T) {
	s := Full()
	zones, regions := map[int]int{}, map[int]int{}
	for i := range s.Endpoints {
		z := s.zoneOf(i)
		zones[z]++
		regions[i%(s.Services*s.Regions)%s.Regions]++
		if z%s.Regions != i%(s.Services*s.Regions)%s.Regions {
			t.Fatalf("endpoint %d: got zone %d, which is in another region", i, z)
		}
	}
	if len(zones) != 31 || len(regions) != 10 {
		t.Errorf("got %d zones and %d regions, want 31 and 10", len(zones), len(regions))
	}
	for z, n := range zones {
		if n < 2800 || n > 4100 {
			t.Errorf("zone %d: got %d endpoints, want 2800 to 4100", z, n)
		}
	}
	records := map[string]int{}
	q := Quick()
	q.forEachRecord(func(c Change) {
		records[c.Class]++
		if changeNumber([]byte(c.Body)) != 0 || !json.Valid([]byte(c.Body)) {
			t.Fatalf("%s: got body %s, want JSON with change number 0", c.Key, c.Body)
		}
	})
	if records[classEndpoint] != q.Endpoints || records[classConfiguration] != q.Routes+q.Tenants {
		t.Error(records)
	}
	for _, s := range []Size{s, q} {
		for _, node := range []int{0, 1, s.Nodes - 1} {
			seen := map[string]bool{}
			for _, scope := range s.scopesOf(node) {
				if seen[scope] {
					t.Errorf("node %d follows %s twice", node, scope)
				}
				seen[scope] = true
			}
			if len(seen) != s.ServicesPerNode+s.SharedServices {
				t.Errorf("node %d: got %d scopes, want one for each followed service and shared configuration", node, len(seen))
			}
		}
	}
}

func TestSameSeedGivesSameChanges(t *testing.T) {
	draw := func(seed uint64) (all []Change) {
		s := Quick()
		s.Seed = seed
		state := newExpectedState(s)
		for range 50 {
			all = append(all, state.configure())
			all = append(all, state.drainRandom())
			all = append(all, state.restore(all[len(all)-1].endpoint))
			all = append(all, state.removeRandom())
			all = append(all, state.restore(all[len(all)-1].endpoint))
		}
		return append(all, state.removeZone(1, 100)...)
	}
	if !reflect.DeepEqual(draw(1), draw(1)) || reflect.DeepEqual(draw(1), draw(2)) {
		t.Error("want equal changes for equal seeds and different changes for different seeds")
	}
	for i, c := range draw(1) {
		if c.number != i+1 || !c.Removed && changeNumber([]byte(c.Body)) != c.number {
			t.Fatalf("change %d: got %+v, want this number in the change and, unless it is a removal, in its body", i+1, c)
		}
	}
}

func TestChangeNumber(t *testing.T) {
	for text, want := range map[string]int{`{"n":12}`: 12, `{"a":1,"n":0}`: 0, `{"n":"x"}`: -1, ``: -1, `12}`: -1, `{"n":7`: -1} {
		if got := changeNumber([]byte(text)); got != want {
			t.Errorf("changeNumber(%s) = %d, want %d", text, got, want)
		}
	}
}

// fakeSubscriber is a subscriber that applies the changes in next and returns them.
type fakeSubscriber struct {
	records map[recordKey]distribution.Record
	next    []distribution.Change
}

func (f *fakeSubscriber) Hello() []byte  { return nil }
func (f *fakeSubscriber) Complete() bool { return true }

func (f *fakeSubscriber) Receive(int64, []byte) ([]distribution.Change, error) {
	for _, c := range f.next {
		f.records[recordKey{c.Scope, c.Key}] = c.Record
	}
	out := f.next
	f.next = nil
	return out, nil
}

func (f *fakeSubscriber) Each(visit func(distribution.Record)) {
	for _, r := range f.records {
		if !r.Deleted {
			visit(r)
		}
	}
}

// runFaultyNode delivers changes to one node, with a fault injected into the changes or the subscriber's records, and
// returns the figures of the phase.
func runFaultyNode(t *testing.T, inject func(changesToDeliver []distribution.Change, f *fakeSubscriber) []distribution.Change) *Phase {
	t.Helper()
	s := Quick()
	s.Nodes, s.SettleTimeout = 1, 0
	r := &run{size: s, startedAt: time.Now(), changes: make([]sentChange, 1), followers: map[string]int{}, expected: newExpectedState(s)}
	r.nodes = newHollowNodes(s, r.startedAt, nil)
	h := r.nodes.all[0]
	f := &fakeSubscriber{records: map[recordKey]distribution.Record{}}
	h.subscriber, h.removedAt = f, map[recordKey]uint64{}
	follows := map[string]bool{}
	h.scopes = slices.Sorted(slices.Values(s.scopesOf(0)))
	for _, scope := range h.scopes {
		r.followers[scope] = 1
		follows[scope] = true
		for key, record := range r.expected.scopes[scope] {
			f.records[recordKey{scope, key}] = distribution.Record{Scope: scope, Key: key, Version: 1, Body: []byte(record.body)}
		}
	}
	var changesToDeliver []distribution.Change
	send := func(c Change) {
		r.recordSent(c, 0)
		if follows[c.Scope] {
			changesToDeliver = append(changesToDeliver, distribution.Change{Record: distribution.Record{Scope: c.Scope, Key: c.Key, Version: uint64(1 + c.number), Deleted: c.Removed, Body: []byte(c.Body)}})
		}
	}
	for range 5 {
		send(r.expected.configure())
	}
	for i := range s.Endpoints {
		if follows[s.endpointScope(i)] && i%7 == 0 {
			send(r.expected.remove(i))
		}
	}
	f.next = inject(changesToDeliver, f)
	if err := h.Receive(1000, nil); err != nil {
		t.Fatal(err)
	}
	figures := &Phase{}
	r.settle(t.Context(), figures)
	r.addDeliveries(figures, 1)
	return figures
}

// TestVerdictDetectsEachFault injects into a correct node each kind of fault that the tree could cause, and checks that
// the verdict counts it.
func TestVerdictDetectsEachFault(t *testing.T) {
	last := func(all []distribution.Change) distribution.Change { return all[len(all)-1] }
	for name, test := range map[string]struct {
		inject   func([]distribution.Change, *fakeSubscriber) []distribution.Change
		detected func(*Phase) bool
	}{
		"no fault": {func(all []distribution.Change, _ *fakeSubscriber) []distribution.Change { return all }, (*Phase).Holds},
		"removal lost": {
			func(all []distribution.Change, _ *fakeSubscriber) []distribution.Change { return all[:len(all)-1] },
			func(a *Phase) bool {
				return a.WrongNodes == 1 && a.Missing == 1 && strings.Contains(a.Example, "which is gone")
			},
		},
		"change delivered twice": {
			func(all []distribution.Change, _ *fakeSubscriber) []distribution.Change { return append(all, all[0]) },
			func(a *Phase) bool { return a.Duplicates == 1 && a.WrongNodes == 0 },
		},
		"removed record resurrected": {func(all []distribution.Change, f *fakeSubscriber) []distribution.Change {
			old := last(all)
			old.Deleted, old.Version, old.Body = false, old.Version-1, []byte(`{"n":0}`)
			return append(all, old)
		}, func(a *Phase) bool { return a.Resurrected == 1 && a.WrongNodes == 1 }},
		"present record removed": {func(all []distribution.Change, f *fakeSubscriber) []distribution.Change {
			c := all[0]
			c.Deleted, c.Version, c.Body = true, 1e6, nil
			back := all[0]
			back.Version = 1e6 + 1
			return append(append(all[1:], c), back)
		}, func(a *Phase) bool {
			return a.WrongRemovals == 1 && a.WrongNodes == 0 && strings.Contains(a.Example, "is gone")
		}},
		"older body kept": {func(all []distribution.Change, f *fakeSubscriber) []distribution.Change {
			c := all[0]
			c.Body = []byte(`{"n":0}`)
			return append(all[1:], c)
		}, func(a *Phase) bool {
			return a.WrongNodes == 1 && a.Missing == 1 && strings.Contains(a.Example, "and it is")
		}},
		"record missing": {func(all []distribution.Change, f *fakeSubscriber) []distribution.Change {
			for k, r := range f.records {
				if r.Class != distribution.ClassConfiguration && strings.HasPrefix(k.scope, "r00/") && r.Version == 1 {
					keep := true
					for _, c := range all {
						keep = keep && (c.Scope != k.scope || c.Key != k.key)
					}
					if keep {
						delete(f.records, k)
						break
					}
				}
			}
			return all
		}, func(a *Phase) bool { return a.WrongNodes == 1 && strings.Contains(a.Example, "records of") }},
		"record of a scope that is not followed": {func(all []distribution.Change, f *fakeSubscriber) []distribution.Change {
			f.records[recordKey{"r01/s0000", "endpoint/x"}] = distribution.Record{Scope: "r01/s0000", Key: "endpoint/x"}
			return all
		}, func(a *Phase) bool { return a.WrongNodes == 1 && strings.Contains(a.Example, "does not follow") }},
	} {
		if a := runFaultyNode(t, test.inject); !test.detected(a) {
			t.Errorf("%s: the verdict does not show the fault, or shows another: got %+v", name, a)
		}
	}
}

func TestDelayQuantiles(t *testing.T) {
	var delays []float64
	for i := range 200 {
		delays = append(delays, float64(200-i)/100)
	}
	if got, want := delaysOf(delays, 200), (Delays{1, 1.98, 2}); got != want {
		t.Errorf("delays of all nodes: got %v, want %v", got, want)
	}
	if got, want := delaysOf(delays[:150], 200), (Delays{P50: 1.5, P99: -1, All: -1}); got.P99 != want.P99 || got.All != want.All {
		t.Errorf("delays of 150 of 200 nodes: got %v, want %v", got, want)
	}
	if got := (Delays{-1, 0.5, 2}).String(); got != "never 0.500 2.000" {
		t.Error(got)
	}
}
