package endpointsource

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	second     = int64(1e9)
	staleAfter = 4 * second
	startNs    = 1000 * second // after all that ever started, where a test does not say otherwise
)

type testEndpoint = Endpoint[int]

// node applies updates as the event loop does.
type testNode struct {
	selector *Selector[int]
	now      int64
	current  map[string]testEndpoint
}

func newNode() *testNode {
	return &testNode{selector: New[int](startNs, staleAfter, 0), now: startNs, current: map[string]testEndpoint{}}
}

func (n *testNode) apply(t Update[int]) Update[int] {
	if t.Complete {
		clear(n.current)
	}
	for _, e := range t.Endpoints {
		if e.State == StateRemoved {
			delete(n.current, e.Name)
		} else {
			n.current[e.Name] = e
		}
	}
	return t
}

// servers reads "a b- c+3 d!": a and c are up, b drains, c started at 3, d is removed.
func parseEndpoints(text string) (out []testEndpoint) {
	for word := range strings.FieldsSeq(text) {
		e := testEndpoint{Name: word[:1]}
		if i := strings.IndexByte(word, '+'); i > 0 {
			if _, err := fmt.Sscan(word[i+1:], &e.StartedAtNs); err != nil {
				panic(err)
			}
		}
		if strings.Contains(word, "-") {
			e.State = StateDraining
		}
		if strings.Contains(word, "!") {
			e.State = StateRemoved
		}
		out = append(out, e)
	}
	return out
}

func (n *testNode) String() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(n.current)) {
		e := n.current[name]
		if e.State == StateDraining {
			name += "-"
		}
		words = append(words, name)
	}
	return strings.Join(words, " ")
}

func relayUpdate(changes []testEndpoint, complete, connected bool, asOfNs, version int64) RelayUpdate[int] {
	return RelayUpdate[int]{
		Changes:   changes,
		Complete:  complete,
		Connected: connected,
		AsOfNs:    asOfNs,
		Version:   version,
	}
}

func (n *testNode) relays(text string, connected bool, version int64) {
	n.apply(n.selector.UpdateRelays(n.now, relayUpdate(parseEndpoints(text), true, connected, n.now, version)))
}

func (n *testNode) discovery(text string, complete bool, version int64) {
	n.apply(n.selector.UpdateDiscovery(n.now, parseEndpoints(text), complete, version))
}

func (n *testNode) advance(ns int64) {
	n.now += ns
	n.apply(n.selector.Tick(n.now))
}

func (n *testNode) expect(t *testing.T, what string, by Source, force string, watch bool) {
	t.Helper()
	if n.selector.Active() != by || n.String() != force || n.selector.WantsDiscovery(n.now) != watch {
		t.Errorf("%s: source %v %q, discovery watched: %v; expected %v %q, %v", what, n.selector.Active(), n,
			n.selector.WantsDiscovery(n.now), by, force, watch)
	}
}

func TestRelaysActiveWhileFresh(t *testing.T) {
	n := newNode()
	n.expect(t, "at first", SourceNone, "", false)
	n.apply(n.selector.UpdateRelays(n.now, relayUpdate(parseEndpoints("a"), false, true, n.now, 1)))
	n.expect(t, "not yet complete", SourceNone, "", false)
	n.relays("b", true, 7)
	n.expect(t, "complete", SourceRelays, "a b", false)
	n.advance(3 * second)
	n.relays("a- c", true, 8)
	n.expect(t, "changes", SourceRelays, "a- b c", false)
	n.relays("a!", true, 9)
	n.expect(t, "a removal", SourceRelays, "b c", false)
}

func TestDiscoveryWatchedWhenNoRelayAnswers(t *testing.T) {
	n := newNode()
	n.advance(RelayStartupWaitNs)
	n.expect(t, "a second without an answer", SourceNone, "", true)
	n.discovery("a b", true, 5)
	n.expect(t, "the list", SourceDiscovery, "a b", true)
	n.discovery("a!", false, 6)
	n.expect(t, "a change", SourceDiscovery, "b", true)
	n = newNode()
	n.apply(n.selector.RelaysUnreachable(n.now))
	n.expect(t, "no relay to be reached", SourceNone, "", true)
}

func TestSwitchToDiscoveryAndBack(t *testing.T) {
	n := newNode()
	n.relays("a b c-", true, 10)
	n.advance(staleAfter)
	n.expect(t, "silence", SourceRelays, "a b c-", true)
	n.discovery("a d", true, 12) // b and c were removed
	n.expect(t, "discovery, which knows more", SourceDiscovery, "a d", true)
	n.advance(second)
	n.relays("", true, 11)
	n.expect(t, "relays that have not caught up", SourceDiscovery, "a d", true)
	n.relays("b! c! d", true, 12)
	n.expect(t, "relays that have", SourceRelays, "a d", false)
	if n.selector.Switches != 2 {
		t.Errorf("%d moves, expected 2", n.selector.Switches)
	}
}

// Discovery is watched while the origin behind the relays has lost its own watch.
func TestDiscoveryWatchedWhileOriginIsDisconnected(t *testing.T) {
	n := newNode()
	n.relays("a b", true, 10)
	n.advance(second)
	n.relays("", false, 10)
	n.expect(t, "an origin without a watch", SourceRelays, "a b", true)
	n.discovery("a", true, 11)
	n.expect(t, "discovery", SourceDiscovery, "a", true)
}

func TestOlderListRemovesNothing(t *testing.T) {
	n := newNode()
	n.relays("a b c- d", true, 10)
	n.relays("d!", true, 11)
	n.advance(staleAfter)
	n.discovery("a c d", true, 8) // before b came, before c drained, before d went
	n.expect(t, "an older list", SourceDiscovery, "a b c-", true)
	n.discovery("c+3", false, 9) // it restarted: another incarnation
	n.expect(t, "a later start", SourceDiscovery, "a b c", true)
	n.discovery("d b", false, 11)
	n.expect(t, "it has caught up", SourceDiscovery, "a b c d", true)

	n = newNode()
	n.relays("a b", true, 10)
	n.advance(staleAfter)
	n.discovery("a", true, 3)
	n.expect(t, "discovery that counts from the start again", SourceDiscovery, "a b", true)
	n.advance(OverlayNs)
	n.expect(t, "the overlay expired", SourceDiscovery, "a", true)
}

// Relays that pass the version restored from before the start send their list once more as a complete one.
func TestCompleteListOncePastRestoredVersion(t *testing.T) {
	n := newNode()
	n.selector = New[int](startNs, staleAfter, 10)
	for i, step := range []struct {
		version int64
		whole   bool
		servers int
	}{{10, true, 2}, {10, false, 1}, {11, true, 2}, {12, false, 1}} {
		update := n.apply(n.selector.UpdateRelays(n.now,
			relayUpdate(parseEndpoints([]string{"a- b", "a", "", "b"}[i]), true, true, n.now, step.version)))
		if update.Complete != step.whole || len(update.Endpoints) != step.servers {
			t.Errorf("step %d: %+v, expected whole %v and %d servers", i, update, step.whole, step.servers)
		}
	}
}

// Relays that answer with an old list are not fresh.
func TestRelaysWithOldListAreStale(t *testing.T) {
	n := newNode()
	n.relays("a b", true, 10)
	n.advance(staleAfter - second)
	n.apply(n.selector.UpdateRelays(n.now, relayUpdate(nil, true, true, n.now-staleAfter/2, 10)))
	n.advance(staleAfter/2 - 1)
	n.expect(t, "old, but not too old", SourceRelays, "a b", false)
	n.advance(1)
	n.expect(t, "too old", SourceRelays, "a b", true)
}

// The overlay is kept across a second switch.
func TestOverlayKeptAcrossSecondSwitch(t *testing.T) {
	n := newNode()
	n.relays("a b-", true, 10)
	n.advance(staleAfter)
	n.discovery("a b", true, 8)
	n.expect(t, "an older list", SourceDiscovery, "a b-", true)
	n.apply(n.selector.SetDiscoveryConnected(n.now, false))
	n.relays("b", true, 9) // from another origin, which is behind the first
	n.expect(t, "relays behind what relays had sent", SourceRelays, "a b-", false)
	n.relays("", true, 10)
	n.expect(t, "they have caught up", SourceRelays, "a b", false)
}

// Relays that return with an older list do not bring back what discovery had drained or removed.
func TestOlderRelayListRestoresNothing(t *testing.T) {
	n := newNode()
	n.relays("a b c", true, 10)
	n.advance(staleAfter)
	n.discovery("a b- c", true, 12)
	n.discovery("c!", false, 13)
	n.apply(n.selector.SetDiscoveryConnected(n.now, false))
	n.relays("", true, 10)
	n.expect(t, "stale relays", SourceRelays, "a b-", false)
	n.relays("e", true, 11)
	n.expect(t, "one that may have been removed since", SourceRelays, "a b-", false)
	n.relays("b", true, 13)
	n.expect(t, "they have caught up", SourceRelays, "a b c e", false)
}

// truth is the history of discovery's list, version by version.
type listHistory struct {
	versions   []map[string]testEndpoint
	startCount int64
}

func (w *listHistory) latest() map[string]testEndpoint { return w.versions[len(w.versions)-1] }

func (w *listHistory) change(t *rapid.T) {
	next := maps.Clone(w.latest())
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "server")
	e, there := next[name]
	switch {
	case !there || rapid.IntRange(0, 3).Draw(t, "restart") == 0:
		w.startCount++
		next[name] = testEndpoint{Name: name, StartedAtNs: w.startCount}
	case e.State == StateUp:
		e.State = StateDraining
		next[name] = e
	default:
		delete(next, name)
	}
	w.versions = append(w.versions, next)
}

func all(of map[string]testEndpoint) (out []testEndpoint) {
	for _, name := range slices.Sorted(maps.Keys(of)) {
		out = append(out, of[name])
	}
	return out
}

func changes(from, to map[string]testEndpoint) (out []testEndpoint) {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, stays := to[name]; !stays {
			out = append(out, testEndpoint{Name: name, State: StateRemoved})
		}
	}
	for _, e := range all(to) {
		if from[e.Name] != e {
			out = append(out, e)
		}
	}
	return out
}

// Whatever the sources know, and in whatever order they switch: an endpoint that the node knew to drain or to be
// removed does not come back in the same incarnation; one that is up in every version that a source may still send is
// never removed; and in the end the node's list is discovery's.
func TestSwitchesNeverRestoreOrLoseEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &listHistory{versions: []map[string]testEndpoint{{}}}
		for range 4 {
			w.change(t)
		}
		n := newNode()
		at := map[Source]int{SourceRelays: 0, SourceDiscovery: 0}
		sent := map[Source]map[string]testEndpoint{SourceRelays: {}, SourceDiscovery: {}}
		withdrawn := map[string]int64{} // the last incarnation that the node knew to drain
		known := 0                      // the highest version that an active source has had
		send := func(source Source, to int) {
			if to < at[source] {
				to = at[source]
			}
			if source == SourceRelays {
				n.apply(n.selector.UpdateRelays(n.now,
					relayUpdate(changes(sent[source], w.versions[to]), true, true, n.now, int64(to))))
			} else if rapid.Bool().Draw(t, "whole") || at[source] == 0 {
				n.apply(n.selector.UpdateDiscovery(n.now, all(w.versions[to]), true, int64(to)))
			} else {
				n.apply(n.selector.UpdateDiscovery(n.now, changes(sent[source], w.versions[to]), false, int64(to)))
			}
			at[source], sent[source] = to, w.versions[to]
		}
		check := func() {
			known = max(known, at[n.selector.Active()])
			for _, e := range n.current {
				if e.State == StateUp && e.StartedAtNs <= withdrawn[e.Name] {
					t.Fatalf("%s, incarnation %d, is up again after it drained: source %v at %v", e.Name,
						e.StartedAtNs, n.selector.Active(), at)
				}
				if was, there := w.versions[known][e.Name]; e.State == StateUp &&
					(!there || was.State == StateDraining) && e.StartedAtNs <= max(was.StartedAtNs, w.startCount) &&
					!slices.ContainsFunc(w.versions[known:],
						func(v map[string]testEndpoint) bool { return v[e.Name] == e }) {
					t.Fatalf("%s, incarnation %d, is up again after it was removed at %d: source %v at %v", e.Name,
						e.StartedAtNs, known, n.selector.Active(), at)
				}
				if e.State == StateDraining {
					withdrawn[e.Name] = max(withdrawn[e.Name], e.StartedAtNs)
				}
			}
			if n.selector.Active() == SourceNone {
				return
			}
			steady := maps.Clone(w.latest())
			low := at[n.selector.Active()]
			for _, v := range w.versions[low:] {
				maps.DeleteFunc(steady, func(name string, e testEndpoint) bool {
					return v[name] != e || e.State != StateUp
				})
			}
			for name := range steady {
				if n.current[name].State != StateUp || n.current[name].Name == "" {
					t.Fatalf("%s is up in all versions since %d, and is missing: source %v at %v, %v", name, low,
						n.selector.Active(), at, n)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				w.change(t)
			case 2:
				send(SourceRelays, rapid.IntRange(1, len(w.versions)-1).Draw(t, "relays at"))
			case 3:
				if n.selector.WantsDiscovery(n.now) {
					send(SourceDiscovery, rapid.IntRange(1, len(w.versions)-1).Draw(t, "discovery at"))
				}
			case 4:
				n.advance(rapid.Int64Range(0, staleAfter+second).Draw(t, "pass"))
			case 5:
				n.apply(n.selector.SetDiscoveryConnected(n.now, false))
			case 6:
				n.apply(n.selector.RelaysUnreachable(n.now))
			}
			if n.now-startNs < OverlayNs/2 {
				check()
			}
		}
		n.advance(staleAfter)
		send(SourceDiscovery, len(w.versions)-1)
		send(SourceRelays, len(w.versions)-1)
		n.advance(OverlayNs)
		send(SourceDiscovery, len(w.versions)-1)
		send(SourceRelays, len(w.versions)-1)
		if !maps.Equal(n.current, w.latest()) {
			t.Fatalf("in the end %v, expected %v", n.current, w.latest())
		}
	})
}

func TestStringMethods(t *testing.T) {
	for _, c := range []struct {
		value    fmt.Stringer
		expected string
	}{
		{SourceNone, "nobody"},
		{SourceRelays, "relays"},
		{SourceDiscovery, "discovery"},
		{sourceCount, "Source(3)"},
		{StateUp, "up"},
		{StateDraining, "draining"},
		{StateRemoved, "removed"},
		{EndpointState(7), "EndpointState(7)"},
	} {
		if found := c.value.String(); found != c.expected {
			t.Errorf("expected %q, found %q", c.expected, found)
		}
	}
}
