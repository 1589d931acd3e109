package distribution

// The network as a whole: an origin, two levels of relays and subscribers, with drops, repeats, old sessions' frames,
// restarts with nothing, new epochs and partitions. Truth is kept aside; whoever claims to know a scope up to a
// version is held to it.

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type recordKey struct{ scope, key string }

type recordVersion struct {
	version uint64
	deleted bool
	class   Class
	body    string
}

// truth is the history of all records, by epoch; loaded is the version at which an epoch's origin had its complete
// list.
type recordHistory struct {
	versions map[uint64]map[recordKey][]recordVersion
	loadedAt map[uint64]uint64
}

// at is the newest entry up to a version, and whether there is a removal after it.
func (h *recordHistory) stateAt(epoch uint64, n recordKey, through uint64) (now recordVersion, goneLater bool) {
	now.deleted = true
	for _, e := range h.versions[epoch][n] {
		if e.version <= through {
			now = e
		} else if e.deleted {
			goneLater = true
		}
	}
	return now, goneLater
}

func (h *recordHistory) existed(r Record) bool {
	for _, e := range h.versions[r.Epoch][recordKey{r.Scope, r.Key}] {
		if e.version == r.Version && !e.deleted && e.class == r.Class && e.body == string(r.Body) {
			return true
		}
	}
	return false
}

// claimed checks a claim to know the scopes that a selector covers against the truth.
func (h *recordHistory) checkPosition(t *rapid.T, who string, s Selector, at Position, holds map[recordKey]Record) {
	if at.Epoch == 0 {
		return
	}
	if loaded, ok := h.loadedAt[at.Epoch]; !ok || at.Through < loaded {
		t.Fatalf("%s claims %v of %v, when the origin had no list yet", who, at, s)
	}
	names := maps.Clone(holds)
	for n := range h.versions[at.Epoch] {
		if _, ok := names[n]; !ok {
			names[n] = Record{}
		}
	}
	for n, r := range names {
		if !s.covers(n.scope) {
			continue
		}
		then, goneLater := h.stateAt(at.Epoch, n, at.Through)
		switch stamp := (Position{r.Epoch, r.Version}); {
		case stamp == Position{}:
			if !then.deleted && !goneLater {
				t.Fatalf("%s claims %v of %v and lacks %v, version %d", who, at, s, n, then.version)
			}
		case stamp.compare(at) <= 0:
			if then.deleted || r.Epoch != at.Epoch || r.Version != then.version {
				t.Fatalf("%s claims %v of %v and holds %v of %v; true is %+v", who, at, s, n, stamp, then)
			}
		}
	}
}

// end is a relay or a subscriber, with whom it may be connected to and the frames that are on their way to it.
type peer struct {
	name           string
	relay          *Relay      // either
	subscriber     *Subscriber // or
	selectors      []Selector
	upstreams      []int // by place among the ends; -1 is the origin
	upstream       *Relay
	sessionID      int
	inFlight       [][]byte // frames of this session that have not come yet
	staleFrames    [][]byte // frames of sessions before
	lastFrame      []byte
	positions      map[recordKey]Position // a subscriber's: never falls
	heldByChanges  map[recordKey]string   // the same, by its changes
	bytesPerSecond int
}

type network struct {
	t            *rapid.T
	now          int64
	history      recordHistory
	origin       *Origin
	peers        []*peer
	epoch        uint64
	bodyCount    int
	limits       Limits
	live         map[recordKey]recordVersion
	originLoaded bool
}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:       t,
		history: recordHistory{map[uint64]map[recordKey][]recordVersion{}, map[uint64]uint64{}},
		limits:  Limits{Tombstones: rapid.IntRange(1, 4).Draw(t, "tombstones")},
		live:    map[recordKey]recordVersion{},
	}
	n.newOrigin()
	n.loadOrigin()
	pace := rapid.SampledFrom([]int{0, 8000}).Draw(t, "pace")
	relay := func(name string, ups []int, s ...Selector) {
		n.peers = append(n.peers, &peer{name: name, selectors: s, upstreams: ups, bytesPerSecond: pace})
		n.restartRelay(len(n.peers) - 1)
	}
	leaf := func(name string, ups []int, s ...Selector) {
		e := &peer{
			name: name, selectors: s, upstreams: ups, bytesPerSecond: pace, positions: map[recordKey]Position{},
			heldByChanges: map[recordKey]string{},
		}
		e.subscriber, _ = NewSubscriber(s, Limits{})
		n.peers = append(n.peers, e)
	}
	relay("top0", []int{-1}, Selector{Prefix: true})
	relay("top1", []int{-1}, Selector{Prefix: true})
	relay("low0", []int{0, 1}, Selector{Scope: "a/", Prefix: true})
	relay("low1", []int{0, 1}, Selector{Scope: "a/", Prefix: true}, Selector{Scope: "b/x"})
	leaf("exact", []int{2, 3}, Selector{Scope: "a/x"}, Selector{Scope: "a/y"})
	leaf("prefix", []int{2, 3, 0}, Selector{Scope: "a/", Prefix: true})
	leaf("mixed", []int{0, 1}, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true}, Selector{Scope: "c/none"})
	return n
}

func (n *network) newOrigin() {
	n.epoch++
	n.origin, n.originLoaded = NewOrigin(n.epoch, n.limits), false
	n.origin.Await("k")
	n.history.versions[n.epoch] = map[recordKey][]recordVersion{}
}

// load replaces the origin's list by what is live.
func (n *network) loadOrigin() {
	var all []Record
	for _, name := range slices.SortedFunc(maps.Keys(n.live),
		func(a, b recordKey) int { return strings.Compare(a.scope+a.key, b.scope+b.key) }) {
		e := n.live[name]
		all = append(all, Record{Scope: name.scope, Key: name.key, Class: e.class, Body: []byte(e.body)})
	}
	if _, err := n.origin.Replace(n.now, "k", all); err != nil {
		n.t.Fatal(err)
	}
	n.recordOrigin()
	if !n.originLoaded {
		n.originLoaded, n.history.loadedAt[n.epoch] = true, n.origin.version
	}
}

// note records the origin's state after its last call.
func (n *network) recordOrigin() {
	history := n.history.versions[n.epoch]
	n.origin.relay.replica.items.Ascend(func(it *item) bool {
		name := recordKey{it.scope.name, it.key}
		if list := history[name]; len(list) == 0 || list[len(list)-1].version != it.version {
			history[name] = append(list, recordVersion{it.version, it.deleted, it.class, string(it.body)})
		}
		return true
	})
	for name, list := range history {
		if n.origin.relay.replica.find(name.scope, name.key) == nil && !list[len(list)-1].deleted {
			// Its tombstone was dropped, as it is over the limit.
			history[name] = append(list, recordVersion{version: n.origin.version, deleted: true})
		}
	}
	for name, e := range n.live {
		if list := history[name]; n.originLoaded && (len(list) == 0 || list[len(list)-1].body != e.body ||
			list[len(list)-1].deleted) {
			n.t.Fatalf("the origin lacks %v", name)
		}
	}
}

func (n *network) restartRelay(i int) {
	e := n.peers[i]
	e.relay = NewRelay(n.limits)
	if err := e.relay.Follow(e.selectors); err != nil {
		n.t.Fatal(err)
	}
	n.disconnect(e)
	e.staleFrames, e.lastFrame = nil, nil // a new process has new connections
	for _, other := range n.peers {
		if slices.Contains(other.upstreams, i) && other.upstream != nil && !n.isRunning(other.upstream) {
			n.disconnect(other)
		}
	}
}

func (n *network) isRunning(r *Relay) bool {
	return r == n.origin.relay || slices.ContainsFunc(n.peers, func(e *peer) bool { return e.relay == r })
}

// cut ends a session; frames that were on their way may still arrive.
func (n *network) disconnect(e *peer) {
	if e.upstream != nil {
		e.upstream.Detach(e.sessionID)
	}
	e.staleFrames = append(e.staleFrames, e.inFlight...)
	if len(e.staleFrames) > 30 {
		e.staleFrames = e.staleFrames[len(e.staleFrames)-30:]
	}
	e.upstream, e.inFlight = nil, nil
}

func (n *network) connect(e *peer, up int) {
	n.disconnect(e)
	from := n.origin.relay
	if up >= 0 {
		from = n.peers[up].relay
	}
	var hello []byte
	if e.relay != nil {
		hello = e.relay.UpstreamHello(n.now)
	} else {
		hello = e.subscriber.Hello()
	}
	id, err := from.Attach(n.now, hello, e.bytesPerSecond)
	if err != nil {
		n.t.Fatalf("%s: %v", e.name, err)
	}
	e.upstream, e.sessionID = from, id
}

// send puts up to most frames on their way.
func (n *network) sendFrames(e *peer, most int) {
	for sent := 0; e.upstream != nil && sent < most; sent++ {
		f, _ := e.upstream.Next(n.now, e.sessionID)
		if f == nil {
			break
		}
		if len(f) > MaxFrameBytes {
			n.t.Fatalf("a frame of %d bytes", len(f))
		}
		e.inFlight = append(e.inFlight, f)
	}
}

func (n *network) receive(e *peer, frame []byte) error {
	var err error
	var changes []Change
	if e.relay != nil {
		err = e.relay.Receive(n.now, frame)
	} else {
		changes, err = e.subscriber.Receive(n.now, frame)
	}
	n.checkInvariants(e, changes)
	if err != nil && !errors.Is(err, ErrFrameGap) {
		n.t.Fatalf("%s: %v", e.name, err)
	}
	if err != nil {
		n.disconnect(e)
	}
	return err
}

// look checks the invariants of an end.
func (n *network) checkInvariants(e *peer, changes []Change) {
	t := n.t
	holds := map[recordKey]Record{}
	if e.relay != nil {
		e.relay.replica.items.Ascend(func(it *item) bool {
			if !it.deleted {
				holds[recordKey{it.scope.name, it.key}] = it.record()
			}
			return true
		})
		if e.relay.Complete() {
			for _, s := range e.selectors {
				n.history.checkPosition(t, e.name, s, e.relay.advertised, holds)
			}
		}
	} else {
		for _, c := range changes {
			name := recordKey{c.Scope, c.Key}
			if c.Deleted {
				if _, ok := e.heldByChanges[name]; !ok {
					t.Fatalf("%s got a deletion of %v, which it did not hold", e.name, name)
				}
				delete(e.heldByChanges, name)
				e.positions[name] = Position{c.Epoch, c.Version}
			} else {
				e.heldByChanges[name] = fmt.Sprint(c.Class, string(c.Body))
			}
		}
		e.subscriber.Each(func(r Record) { holds[recordKey{r.Scope, r.Key}] = r })
		for name, r := range holds {
			at := Position{r.Epoch, r.Version}
			if at.compare(e.positions[name]) < 0 {
				t.Fatalf("%s went back from %v to %v with %v", e.name, e.positions[name], at, name)
			}
			e.positions[name] = at
			if e.heldByChanges[name] != fmt.Sprint(r.Class, string(r.Body)) {
				t.Fatalf("%s holds %+v, its changes gave %q", e.name, r, e.heldByChanges[name])
			}
		}
		if len(e.heldByChanges) != len(holds) {
			t.Fatalf("%s holds %d records, its changes gave %d", e.name, len(holds), len(e.heldByChanges))
		}
		for i, s := range e.selectors {
			at := e.subscriber.replica.syncStateOf(&e.subscriber.replica.interests[i]).position
			n.history.checkPosition(t, e.name, s, at, holds)
		}
	}
	for name, r := range holds {
		if !n.history.existed(r) {
			t.Fatalf("%s holds what never was: %v %+v", e.name, name, r)
		}
	}
}

var (
	modelScopes = []string{"a/x", "a/y", "a/new", "b/x", "b/new"}
	modelKeys   = []string{"k/1", "k/2", "k/3", "k/4"}
)

func (n *network) randomStep() {
	t := n.t
	who := func() *peer { return n.peers[rapid.IntRange(0, len(n.peers)-1).Draw(t, "who")] }
	switch rapid.IntRange(0, 19).Draw(t, "act") {
	case 0, 1, 2, 3, 4: // a change
		name := recordKey{rapid.SampledFrom(modelScopes).Draw(t, "scope"), rapid.SampledFrom(modelKeys).Draw(t, "key")}
		if rapid.IntRange(0, 2).Draw(t, "put") == 0 {
			delete(n.live, name)
			if n.originLoaded {
				n.origin.Remove(n.now, name.scope, name.key)
			}
		} else {
			n.bodyCount++
			e := recordVersion{
				class: Class(rapid.IntRange(0, 2).Draw(t, "class")),
				body:  fmt.Sprintf("%d%s", n.bodyCount, strings.Repeat("x", 250)),
			}
			n.live[name] = e
			if n.originLoaded {
				if _, err := n.origin.Put(n.now, name.scope, name.key, e.class, []byte(e.body)); err != nil {
					t.Fatal(err)
				}
			}
		}
		n.recordOrigin()
	case 5: // a complete list, without a random scope
		gone := rapid.SampledFrom(modelScopes).Draw(t, "emptied")
		maps.DeleteFunc(n.live, func(name recordKey, _ recordVersion) bool { return name.scope == gone })
		n.loadOrigin()
	case 6: // the origin restarts; its list comes with one of the next acts
		if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
			n.newOrigin()
			for _, e := range n.peers {
				if e.upstream != nil && !n.isRunning(e.upstream) {
					n.disconnect(e)
				}
			}
		}
	case 7: // a relay restarts empty
		if rapid.IntRange(0, 1).Draw(t, "really") == 0 {
			n.restartRelay(rapid.IntRange(0, 3).Draw(t, "relay"))
		}
	case 8, 9: // to another relay
		e := who()
		n.connect(e, rapid.SampledFrom(e.upstreams).Draw(t, "up"))
	case 10: // a way is cut
		n.disconnect(who())
	case 11: // a frame is lost
		if e := who(); len(e.inFlight) > 0 {
			e.inFlight = e.inFlight[1:]
		}
	case 12: // a frame comes again
		if e := who(); e.lastFrame != nil {
			_ = n.receive(e, e.lastFrame) // a gap is no fault; come fails the test at any other error
		}
	case 13, 14: // a frame of a session before comes
		if e := who(); len(e.staleFrames) > 0 {
			i := rapid.IntRange(0, len(e.staleFrames)-1).Draw(t, "old")
			_ = n.receive(e, e.staleFrames[i]) // a gap is no fault; come fails the test at any other error
		}
	case 15:
		n.now += int64(rapid.IntRange(1, 1200).Draw(t, "ms")) * 1e6
	default:
		e := who()
		n.sendFrames(e, rapid.IntRange(0, 3).Draw(t, "frames"))
		for range rapid.IntRange(0, 3).Draw(t, "come") {
			if len(e.inFlight) == 0 || n.receiveNext(e) != nil {
				break
			}
		}
	}
}

func (n *network) receiveNext(e *peer) error {
	e.lastFrame, e.inFlight = e.inFlight[0], e.inFlight[1:]
	return n.receive(e, e.lastFrame)
}

// settle ends all faults: every end is connected, and time goes on.
func (n *network) converge() {
	t := n.t
	if !n.originLoaded {
		n.loadOrigin()
	}
	for range 400 {
		n.now += 250e6
		for _, e := range n.peers {
			if e.upstream == nil {
				n.connect(e, rapid.SampledFrom(e.upstreams).Draw(t, "up"))
			}
			for n.sendFrames(e, 100); len(e.inFlight) > 0; {
				if n.receiveNext(e) != nil {
					break
				}
			}
		}
	}
	for _, e := range n.peers {
		var held, real bytes.Buffer
		say := func(to *bytes.Buffer, scope, key, body string) {
			if slices.ContainsFunc(e.selectors, func(s Selector) bool { return s.covers(scope) }) {
				fmt.Fprintf(to, "%s %s %.8s\n", scope, key, body)
			}
		}
		tombs := 0
		items := n.origin.relay.replica.items
		items.Ascend(func(it *item) bool {
			if !it.deleted {
				say(&real, it.scope.name, it.key, string(it.body))
			}
			return true
		})
		if e.relay != nil {
			items = e.relay.replica.items
		} else {
			items = e.subscriber.replica.items
		}
		items.Ascend(func(it *item) bool {
			if !it.deleted {
				say(&held, it.scope.name, it.key, string(it.body))
			} else {
				tombs++
			}
			return true
		})
		if held.String() != real.String() {
			t.Fatalf("%s holds in the end\n%sand true is\n%s", e.name, &held, &real)
		}
		if e.subscriber == nil {
			if at := e.relay.advertised; !e.relay.Complete() || at != (Position{n.epoch, n.origin.version}) ||
				tombs > n.limits.Tombstones {
				t.Fatalf("%s ends complete %v at %v of %d with %d tombstones", e.name, e.relay.Complete(), at,
					n.origin.version, tombs)
			}
			continue
		}
		if !e.subscriber.Complete() || tombs > 0 {
			t.Fatalf("%s ends complete %v with %d tombstones", e.name, e.subscriber.Complete(), tombs)
		}
		for _, scope := range []string{e.selectors[0].Scope, e.selectors[len(e.selectors)-1].Scope} {
			if age, known := e.subscriber.Age(n.now, scope); !known || age > 4*second {
				t.Fatalf("%s knows %q as of %d ns ago, %v", e.name, scope, age, known)
			}
			if at := e.subscriber.Position(scope); at != (Position{n.epoch, n.origin.version}) {
				t.Fatalf("%s knows %q up to %v", e.name, scope, at)
			}
		}
	}
}

func TestRandomNetworkConverges(t *testing.T) {
	for _, most := range []int{30, 100, 200} {
		t.Run(fmt.Sprint("acts-", most), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := newNetwork(t)
				for range rapid.IntRange(5, most).Draw(t, "acts") {
					n.randomStep()
				}
				n.converge()
			})
		})
	}
}
