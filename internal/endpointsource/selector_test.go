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
	startNs    = 1000 * second // later than the starts of all endpoints, unless a test sets them otherwise
)

type testEndpoint = Endpoint[int]

// testNode applies updates to its list as a node does.
type testNode struct {
	selector *Selector[int]
	now      int64
	current  map[string]testEndpoint
}

func newNode() *testNode {
	return &testNode{selector: New[int](startNs, staleAfter, 0), now: startNs, current: map[string]testEndpoint{}}
}

func (n *testNode) apply(update Update[int]) Update[int] {
	if update.Complete {
		clear(n.current)
	}
	for _, e := range update.Endpoints {
		if e.State == StateRemoved {
			delete(n.current, e.Name)
		} else {
			n.current[e.Name] = e
		}
	}
	return update
}

// parseEndpoints parses a list such as "a b- c+3 d!": a and c are up, b is draining, c started at 3, d is removed.
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

func (n *testNode) expect(t *testing.T, step string, source Source, endpoints string, wantsDiscovery bool) {
	t.Helper()
	if n.selector.Active() != source || n.String() != endpoints || n.selector.WantsDiscovery(n.now) != wantsDiscovery {
		t.Errorf("%s: got source %v, endpoints %q, wants discovery %v; want %v, %q, %v", step, n.selector.Active(), n,
			n.selector.WantsDiscovery(n.now), source, endpoints, wantsDiscovery)
	}
}

func TestRelaysActiveWhileFresh(t *testing.T) {
	n := newNode()
	n.expect(t, "at the start", SourceNone, "", false)
	n.apply(n.selector.UpdateRelays(n.now, relayUpdate(parseEndpoints("a"), false, true, n.now, 1)))
	n.expect(t, "relays without a complete list", SourceNone, "", false)
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
	n.expect(t, "after a second without relays", SourceNone, "", true)
	n.discovery("a b", true, 5)
	n.expect(t, "the list", SourceDiscovery, "a b", true)
	n.discovery("a!", false, 6)
	n.expect(t, "a change", SourceDiscovery, "b", true)
	n = newNode()
	n.apply(n.selector.RelaysUnreachable(n.now))
	n.expect(t, "no relay is reachable", SourceNone, "", true)
}

func TestSwitchToDiscoveryAndBack(t *testing.T) {
	n := newNode()
	n.relays("a b c-", true, 10)
	n.advance(staleAfter)
	n.expect(t, "silence", SourceRelays, "a b c-", true)
	n.discovery("a d", true, 12) // b and c were removed
	n.expect(t, "a newer list from discovery", SourceDiscovery, "a d", true)
	n.advance(second)
	n.relays("", true, 11)
	n.expect(t, "relays that have not caught up", SourceDiscovery, "a d", true)
	n.relays("b! c! d", true, 12)
	n.expect(t, "relays that have caught up", SourceRelays, "a d", false)
	if n.selector.Switches != 2 {
		t.Errorf("got %d switches, want 2", n.selector.Switches)
	}
}

// Discovery is watched while the origin of the relays has lost its own watch.
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
	n.discovery("a c d", true, 8) // a version before b was added, c drained and d was removed
	n.expect(t, "an older list", SourceDiscovery, "a b c-", true)
	n.discovery("c+3", false, 9) // c was restarted
	n.expect(t, "a later start", SourceDiscovery, "a b c", true)
	n.discovery("d b", false, 11)
	n.expect(t, "discovery has caught up", SourceDiscovery, "a b c d", true)

	n = newNode()
	n.relays("a b", true, 10)
	n.advance(staleAfter)
	n.discovery("a", true, 3)
	n.expect(t, "discovery whose versions start anew", SourceDiscovery, "a b", true)
	n.advance(OverlayNs)
	n.expect(t, "the overlay expired", SourceDiscovery, "a", true)
}

// When the version of the relays' list first exceeds the restored version, the list is returned once more as a complete
// one.
func TestCompleteListOncePastRestoredVersion(t *testing.T) {
	n := newNode()
	n.selector = New[int](startNs, staleAfter, 10)
	for i, step := range []struct {
		version   int64
		complete  bool
		endpoints int
	}{{10, true, 2}, {10, false, 1}, {11, true, 2}, {12, false, 1}} {
		update := n.apply(n.selector.UpdateRelays(n.now,
			relayUpdate(parseEndpoints([]string{"a- b", "a", "", "b"}[i]), true, true, n.now, step.version)))
		if update.Complete != step.complete || len(update.Endpoints) != step.endpoints {
			t.Errorf("step %d: got %+v, want complete %v and %d endpoints", i, update, step.complete, step.endpoints)
		}
	}
}

// Relays whose list was last current too long ago are stale, even if they respond.
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

// If the source switches again while there is an overlay, the overlay's endpoints and version still apply.
func TestOverlayKeptAcrossSecondSwitch(t *testing.T) {
	n := newNode()
	n.relays("a b-", true, 10)
	n.advance(staleAfter)
	n.discovery("a b", true, 8)
	n.expect(t, "an older list", SourceDiscovery, "a b-", true)
	n.apply(n.selector.SetDiscoveryConnected(n.now, false))
	n.relays("b", true, 9) // from another origin, whose list is older
	n.expect(t, "relays with an older list than before", SourceRelays, "a b-", false)
	n.relays("", true, 10)
	n.expect(t, "they have caught up", SourceRelays, "a b", false)
}

// Relays that become active again with an older list don't restore endpoints that discovery had drained or removed.
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
	n.expect(t, "an endpoint that may have been removed since", SourceRelays, "a b-", false)
	n.relays("b", true, 13)
	n.expect(t, "they have caught up", SourceRelays, "a b c e", false)
}

// listHistory holds all versions of discovery's list.
type listHistory struct {
	versions   []map[string]testEndpoint
	startCount int64
}

func (h *listHistory) latest() map[string]testEndpoint { return h.versions[len(h.versions)-1] }

func (h *listHistory) change(t *rapid.T) {
	next := maps.Clone(h.latest())
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "server")
	e, listed := next[name]
	switch {
	case !listed || rapid.IntRange(0, 3).Draw(t, "restart") == 0:
		h.startCount++
		next[name] = testEndpoint{Name: name, StartedAtNs: h.startCount}
	case e.State == StateUp:
		e.State = StateDraining
		next[name] = e
	default:
		delete(next, name)
	}
	h.versions = append(h.versions, next)
}

func all(endpoints map[string]testEndpoint) (out []testEndpoint) {
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		out = append(out, endpoints[name])
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

// Whatever versions the sources have, and in whatever order the node switches between them: an endpoint that was
// draining or removed in the node's list is not up again without a restart; an endpoint that is up in every version
// since the active source's is never removed; and in the end the node's list equals discovery's.
func TestSwitchesNeverRestoreOrLoseEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &listHistory{versions: []map[string]testEndpoint{{}}}
		for range 4 {
			history.change(t)
		}
		n := newNode()
		sentVersions := map[Source]int{SourceRelays: 0, SourceDiscovery: 0}
		sentLists := map[Source]map[string]testEndpoint{SourceRelays: {}, SourceDiscovery: {}}
		drainedStarts := map[string]int64{} // latest start of each endpoint that was draining in the node's list
		highestVersion := 0                 // highest version that an active source has sent
		send := func(source Source, version int) {
			if version < sentVersions[source] {
				version = sentVersions[source]
			}
			if source == SourceRelays {
				n.apply(n.selector.UpdateRelays(n.now,
					relayUpdate(changes(sentLists[source], history.versions[version]), true, true, n.now, int64(version))))
			} else if rapid.Bool().Draw(t, "whole") || sentVersions[source] == 0 {
				n.apply(n.selector.UpdateDiscovery(n.now, all(history.versions[version]), true, int64(version)))
			} else {
				n.apply(n.selector.UpdateDiscovery(n.now, changes(sentLists[source], history.versions[version]), false, int64(version)))
			}
			sentVersions[source], sentLists[source] = version, history.versions[version]
		}
		check := func() {
			highestVersion = max(highestVersion, sentVersions[n.selector.Active()])
			for _, e := range n.current {
				if e.State == StateUp && e.StartedAtNs <= drainedStarts[e.Name] {
					t.Fatalf("%s, started at %d, is up again after it was draining: active source %v, versions sent %v", e.Name,
						e.StartedAtNs, n.selector.Active(), sentVersions)
				}
				if highest, listed := history.versions[highestVersion][e.Name]; e.State == StateUp &&
					(!listed || highest.State == StateDraining) && e.StartedAtNs <= max(highest.StartedAtNs, history.startCount) &&
					!slices.ContainsFunc(history.versions[highestVersion:],
						func(v map[string]testEndpoint) bool { return v[e.Name] == e }) {
					t.Fatalf("%s, started at %d, is up again after it was removed in version %d: active source %v, versions sent %v", e.Name,
						e.StartedAtNs, highestVersion, n.selector.Active(), sentVersions)
				}
				if e.State == StateDraining {
					drainedStarts[e.Name] = max(drainedStarts[e.Name], e.StartedAtNs)
				}
			}
			if n.selector.Active() == SourceNone {
				return
			}
			alwaysUp := maps.Clone(history.latest())
			activeVersion := sentVersions[n.selector.Active()]
			for _, v := range history.versions[activeVersion:] {
				maps.DeleteFunc(alwaysUp, func(name string, e testEndpoint) bool {
					return v[name] != e || e.State != StateUp
				})
			}
			for name := range alwaysUp {
				if n.current[name].State != StateUp || n.current[name].Name == "" {
					t.Fatalf("%s is up in all versions since %d, but missing on the node: active source %v, versions sent %v, node %v", name, activeVersion,
						n.selector.Active(), sentVersions, n)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				history.change(t)
			case 2:
				send(SourceRelays, rapid.IntRange(1, len(history.versions)-1).Draw(t, "relays at"))
			case 3:
				if n.selector.WantsDiscovery(n.now) {
					send(SourceDiscovery, rapid.IntRange(1, len(history.versions)-1).Draw(t, "discovery at"))
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
		send(SourceDiscovery, len(history.versions)-1)
		send(SourceRelays, len(history.versions)-1)
		n.advance(OverlayNs)
		send(SourceDiscovery, len(history.versions)-1)
		send(SourceRelays, len(history.versions)-1)
		if !maps.Equal(n.current, history.latest()) {
			t.Fatalf("at the end: got the list %v, want %v", n.current, history.latest())
		}
	})
}

func TestStringMethods(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
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
		if got := c.value.String(); got != c.want {
			t.Errorf("want %q, got %q", c.want, got)
		}
	}
}
