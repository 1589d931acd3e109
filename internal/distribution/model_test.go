package distribution

// This file tests a whole network: an origin, two levels of relays, and subscribers. It injects lost and duplicated
// frames, frames of earlier sessions, restarts without state, new epochs and partitions. The history of all records is
// kept separately, and each position that a relay or subscriber states is checked against it.

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

// recordHistory is the history of all records, by epoch. loadedAt is the version at which the origin of an epoch had
// its complete list.
type recordHistory struct {
	versions map[uint64]map[recordKey][]recordVersion
	loadedAt map[uint64]uint64
}

// stateAt returns the newest state of a record up to a version, and whether the record was deleted after that version.
func (h *recordHistory) stateAt(epoch uint64, key recordKey, through uint64) (state recordVersion, deletedLater bool) {
	state.deleted = true
	for _, recorded := range h.versions[epoch][key] {
		if recorded.version <= through {
			state = recorded
		} else if recorded.deleted {
			deletedLater = true
		}
	}
	return state, deletedLater
}

func (h *recordHistory) existed(r Record) bool {
	for _, recorded := range h.versions[r.Epoch][recordKey{r.Scope, r.Key}] {
		if recorded.version == r.Version && !recorded.deleted && recorded.class == r.Class &&
			recorded.body == string(r.Body) {
			return true
		}
	}
	return false
}

// checkPosition checks the records that a peer holds against the history, given the position that the peer states for
// the scopes of a selector.
func (h *recordHistory) checkPosition(t *rapid.T, peerName string, selector Selector, position Position,
	held map[recordKey]Record,
) {
	if position.Epoch == 0 {
		return
	}
	if loaded, ok := h.loadedAt[position.Epoch]; !ok || position.Through < loaded {
		t.Fatalf("%s states position %v for %v, at which the origin had no list yet", peerName, position, selector)
	}
	records := maps.Clone(held)
	for key := range h.versions[position.Epoch] {
		if _, ok := records[key]; !ok {
			records[key] = Record{}
		}
	}
	for key, record := range records {
		if !selector.covers(key.scope) {
			continue
		}
		expected, deletedLater := h.stateAt(position.Epoch, key, position.Through)
		switch recordPosition := (Position{record.Epoch, record.Version}); {
		case recordPosition == Position{}:
			if !expected.deleted && !deletedLater {
				t.Fatalf("%s states position %v for %v, but lacks %v, version %d", peerName, position, selector, key,
					expected.version)
			}
		case recordPosition.compare(position) <= 0:
			if expected.deleted || record.Epoch != position.Epoch || record.Version != expected.version {
				t.Fatalf("%s states position %v for %v, but holds %v at %v, want %+v", peerName, position, selector,
					key, recordPosition, expected)
			}
		}
	}
}

// peer is a relay or a subscriber, with its possible upstreams and the frames that are in flight to it.
type peer struct {
	name           string
	relay          *Relay      // nil for a subscriber
	subscriber     *Subscriber // nil for a relay
	selectors      []Selector
	upstreams      []int // possible upstreams as indexes of network.peers; -1 is the origin
	upstream       *Relay
	sessionID      int
	inFlight       [][]byte // frames of this session that have not been received yet
	staleFrames    [][]byte // frames of earlier sessions
	lastFrame      []byte
	positions      map[recordKey]Position // position of each record at a subscriber; never decreases
	heldByChanges  map[recordKey]string   // records of a subscriber, as given by its changes
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
	addRelay := func(name string, upstreams []int, selectors ...Selector) {
		n.peers = append(n.peers, &peer{name: name, selectors: selectors, upstreams: upstreams, bytesPerSecond: pace})
		n.restartRelay(len(n.peers) - 1)
	}
	addSubscriber := func(name string, upstreams []int, selectors ...Selector) {
		p := &peer{
			name: name, selectors: selectors, upstreams: upstreams, bytesPerSecond: pace,
			positions:     map[recordKey]Position{},
			heldByChanges: map[recordKey]string{},
		}
		p.subscriber, _ = NewSubscriber(selectors, Limits{})
		n.peers = append(n.peers, p)
	}
	addRelay("top0", []int{-1}, Selector{Prefix: true})
	addRelay("top1", []int{-1}, Selector{Prefix: true})
	addRelay("low0", []int{0, 1}, Selector{Scope: "a/", Prefix: true})
	addRelay("low1", []int{0, 1}, Selector{Scope: "a/", Prefix: true}, Selector{Scope: "b/x"})
	addSubscriber("exact", []int{2, 3}, Selector{Scope: "a/x"}, Selector{Scope: "a/y"})
	addSubscriber("prefix", []int{2, 3, 0}, Selector{Scope: "a/", Prefix: true})
	addSubscriber("mixed", []int{0, 1}, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true},
		Selector{Scope: "c/none"})
	return n
}

func (n *network) newOrigin() {
	n.epoch++
	n.origin, n.originLoaded = NewOrigin(n.epoch, n.limits), false
	n.origin.Await("k")
	n.history.versions[n.epoch] = map[recordKey][]recordVersion{}
}

// loadOrigin replaces the origin's list with the live records.
func (n *network) loadOrigin() {
	var records []Record
	for _, key := range slices.SortedFunc(maps.Keys(n.live),
		func(a, b recordKey) int { return strings.Compare(a.scope+a.key, b.scope+b.key) }) {
		state := n.live[key]
		records = append(records, Record{Scope: key.scope, Key: key.key, Class: state.class, Body: []byte(state.body)})
	}
	if _, err := n.origin.Replace(n.now, "k", records); err != nil {
		n.t.Fatal(err)
	}
	n.recordOrigin()
	if !n.originLoaded {
		n.originLoaded, n.history.loadedAt[n.epoch] = true, n.origin.version
	}
}

// recordOrigin adds the current state of the origin to the history.
func (n *network) recordOrigin() {
	epochVersions := n.history.versions[n.epoch]
	n.origin.relay.replica.items.Ascend(func(held *item) bool {
		key := recordKey{held.scope.name, held.key}
		if states := epochVersions[key]; len(states) == 0 || states[len(states)-1].version != held.version {
			epochVersions[key] = append(states, recordVersion{held.version, held.deleted, held.class, string(held.body)})
		}
		return true
	})
	for key, states := range epochVersions {
		if n.origin.relay.replica.find(key.scope, key.key) == nil && !states[len(states)-1].deleted {
			// The record was deleted, and its tombstone dropped because of the limit.
			epochVersions[key] = append(states, recordVersion{version: n.origin.version, deleted: true})
		}
	}
	for key, state := range n.live {
		if states := epochVersions[key]; n.originLoaded &&
			(len(states) == 0 || states[len(states)-1].body != state.body ||
				states[len(states)-1].deleted) {
			n.t.Fatalf("the origin lacks %v", key)
		}
	}
}

func (n *network) restartRelay(i int) {
	p := n.peers[i]
	p.relay = NewRelay(n.limits)
	if err := p.relay.Follow(p.selectors); err != nil {
		n.t.Fatal(err)
	}
	n.disconnect(p)
	p.staleFrames, p.lastFrame = nil, nil // a new process receives no frames of earlier connections
	for _, other := range n.peers {
		if slices.Contains(other.upstreams, i) && other.upstream != nil && !n.isRunning(other.upstream) {
			n.disconnect(other)
		}
	}
}

func (n *network) isRunning(r *Relay) bool {
	return r == n.origin.relay || slices.ContainsFunc(n.peers, func(p *peer) bool { return p.relay == r })
}

// disconnect ends a session. Frames that are in flight may still arrive.
func (n *network) disconnect(p *peer) {
	if p.upstream != nil {
		p.upstream.Detach(p.sessionID)
	}
	p.staleFrames = append(p.staleFrames, p.inFlight...)
	if len(p.staleFrames) > 30 {
		p.staleFrames = p.staleFrames[len(p.staleFrames)-30:]
	}
	p.upstream, p.inFlight = nil, nil
}

func (n *network) connect(p *peer, upstreamIndex int) {
	n.disconnect(p)
	relay := n.origin.relay
	if upstreamIndex >= 0 {
		relay = n.peers[upstreamIndex].relay
	}
	var hello []byte
	if p.relay != nil {
		hello = p.relay.UpstreamHello(n.now)
	} else {
		hello = p.subscriber.Hello()
	}
	id, err := relay.Attach(n.now, hello, p.bytesPerSecond)
	if err != nil {
		n.t.Fatalf("%s: %v", p.name, err)
	}
	p.upstream, p.sessionID = relay, id
}

// sendFrames puts up to maxFrames frames in flight.
func (n *network) sendFrames(p *peer, maxFrames int) {
	for sent := 0; p.upstream != nil && sent < maxFrames; sent++ {
		frame, _ := p.upstream.Next(n.now, p.sessionID)
		if frame == nil {
			break
		}
		if len(frame) > MaxFrameBytes {
			n.t.Fatalf("got a frame of %d bytes, want at most MaxFrameBytes", len(frame))
		}
		p.inFlight = append(p.inFlight, frame)
	}
}

func (n *network) receive(p *peer, frame []byte) error {
	var err error
	var changes []Change
	if p.relay != nil {
		err = p.relay.Receive(n.now, frame)
	} else {
		changes, err = p.subscriber.Receive(n.now, frame)
	}
	n.checkInvariants(p, changes)
	if err != nil && !errors.Is(err, ErrFrameGap) {
		n.t.Fatalf("%s: %v", p.name, err)
	}
	if err != nil {
		n.disconnect(p)
	}
	return err
}

// checkInvariants checks the records, changes and positions of a peer.
func (n *network) checkInvariants(p *peer, changes []Change) {
	t := n.t
	held := map[recordKey]Record{}
	if p.relay != nil {
		p.relay.replica.items.Ascend(func(it *item) bool {
			if !it.deleted {
				held[recordKey{it.scope.name, it.key}] = it.record()
			}
			return true
		})
		if p.relay.Complete() {
			for _, selector := range p.selectors {
				n.history.checkPosition(t, p.name, selector, p.relay.advertised, held)
			}
		}
	} else {
		for _, change := range changes {
			key := recordKey{change.Scope, change.Key}
			if change.Deleted {
				if _, ok := p.heldByChanges[key]; !ok {
					t.Fatalf("%s received a deletion of %v, which it did not hold", p.name, key)
				}
				delete(p.heldByChanges, key)
				p.positions[key] = Position{change.Epoch, change.Version}
			} else {
				p.heldByChanges[key] = fmt.Sprint(change.Class, string(change.Body))
			}
		}
		p.subscriber.Each(func(record Record) { held[recordKey{record.Scope, record.Key}] = record })
		for key, record := range held {
			position := Position{record.Epoch, record.Version}
			if position.compare(p.positions[key]) < 0 {
				t.Fatalf("%s went back from position %v to %v for %v", p.name, p.positions[key], position, key)
			}
			p.positions[key] = position
			if p.heldByChanges[key] != fmt.Sprint(record.Class, string(record.Body)) {
				t.Fatalf("%s holds %+v, want %q as given by its changes", p.name, record, p.heldByChanges[key])
			}
		}
		if len(p.heldByChanges) != len(held) {
			t.Fatalf("%s holds %d records, want %d as given by its changes", p.name, len(held), len(p.heldByChanges))
		}
		for i, selector := range p.selectors {
			position := p.subscriber.replica.syncStateOf(&p.subscriber.replica.interests[i]).position
			n.history.checkPosition(t, p.name, selector, position, held)
		}
	}
	for key, record := range held {
		if !n.history.existed(record) {
			t.Fatalf("%s holds a state that the origin never had: %v %+v", p.name, key, record)
		}
	}
}

var (
	modelScopes = []string{"a/x", "a/y", "a/new", "b/x", "b/new"}
	modelKeys   = []string{"k/1", "k/2", "k/3", "k/4"}
)

func (n *network) randomStep() {
	t := n.t
	randomPeer := func() *peer { return n.peers[rapid.IntRange(0, len(n.peers)-1).Draw(t, "who")] }
	switch rapid.IntRange(0, 19).Draw(t, "act") {
	case 0, 1, 2, 3, 4: // a change
		key := recordKey{rapid.SampledFrom(modelScopes).Draw(t, "scope"), rapid.SampledFrom(modelKeys).Draw(t, "key")}
		if rapid.IntRange(0, 2).Draw(t, "put") == 0 {
			delete(n.live, key)
			if n.originLoaded {
				n.origin.Remove(n.now, key.scope, key.key)
			}
		} else {
			n.bodyCount++
			state := recordVersion{
				class: Class(rapid.IntRange(0, 2).Draw(t, "class")),
				body:  fmt.Sprintf("%d%s", n.bodyCount, strings.Repeat("x", 250)),
			}
			n.live[key] = state
			if n.originLoaded {
				if _, err := n.origin.Put(n.now, key.scope, key.key, state.class, []byte(state.body)); err != nil {
					t.Fatal(err)
				}
			}
		}
		n.recordOrigin()
	case 5: // a complete list, without a random scope
		emptiedScope := rapid.SampledFrom(modelScopes).Draw(t, "emptied")
		maps.DeleteFunc(n.live, func(key recordKey, _ recordVersion) bool { return key.scope == emptiedScope })
		n.loadOrigin()
	case 6: // the origin restarts; a later step loads its list
		if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
			n.newOrigin()
			for _, p := range n.peers {
				if p.upstream != nil && !n.isRunning(p.upstream) {
					n.disconnect(p)
				}
			}
		}
	case 7: // a relay restarts empty
		if rapid.IntRange(0, 1).Draw(t, "really") == 0 {
			n.restartRelay(rapid.IntRange(0, 3).Draw(t, "relay"))
		}
	case 8, 9: // a peer connects to another upstream
		p := randomPeer()
		n.connect(p, rapid.SampledFrom(p.upstreams).Draw(t, "up"))
	case 10: // a connection ends
		n.disconnect(randomPeer())
	case 11: // a frame is lost
		if p := randomPeer(); len(p.inFlight) > 0 {
			p.inFlight = p.inFlight[1:]
		}
	case 12: // a frame is duplicated
		if p := randomPeer(); p.lastFrame != nil {
			_ = n.receive(p, p.lastFrame) // a gap is expected; receive fails the test on any other error
		}
	case 13, 14: // a frame of an earlier session arrives
		if p := randomPeer(); len(p.staleFrames) > 0 {
			i := rapid.IntRange(0, len(p.staleFrames)-1).Draw(t, "old")
			_ = n.receive(p, p.staleFrames[i]) // a gap is expected; receive fails the test on any other error
		}
	case 15:
		n.now += int64(rapid.IntRange(1, 1200).Draw(t, "ms")) * 1e6
	default:
		p := randomPeer()
		n.sendFrames(p, rapid.IntRange(0, 3).Draw(t, "frames"))
		for range rapid.IntRange(0, 3).Draw(t, "come") {
			if len(p.inFlight) == 0 || n.receiveNext(p) != nil {
				break
			}
		}
	}
}

func (n *network) receiveNext(p *peer) error {
	p.lastFrame, p.inFlight = p.inFlight[0], p.inFlight[1:]
	return n.receive(p, p.lastFrame)
}

// converge stops injecting faults: it connects every peer and advances the time until all must hold the origin's
// records.
func (n *network) converge() {
	t := n.t
	if !n.originLoaded {
		n.loadOrigin()
	}
	for range 400 {
		n.now += 250e6
		for _, p := range n.peers {
			if p.upstream == nil {
				n.connect(p, rapid.SampledFrom(p.upstreams).Draw(t, "up"))
			}
			for n.sendFrames(p, 100); len(p.inFlight) > 0; {
				if n.receiveNext(p) != nil {
					break
				}
			}
		}
	}
	for _, p := range n.peers {
		var held, expected bytes.Buffer
		writeRecord := func(buffer *bytes.Buffer, scope, key, body string) {
			if slices.ContainsFunc(p.selectors, func(s Selector) bool { return s.covers(scope) }) {
				fmt.Fprintf(buffer, "%s %s %.8s\n", scope, key, body)
			}
		}
		tombstones := 0
		items := n.origin.relay.replica.items
		items.Ascend(func(it *item) bool {
			if !it.deleted {
				writeRecord(&expected, it.scope.name, it.key, string(it.body))
			}
			return true
		})
		if p.relay != nil {
			items = p.relay.replica.items
		} else {
			items = p.subscriber.replica.items
		}
		items.Ascend(func(it *item) bool {
			if !it.deleted {
				writeRecord(&held, it.scope.name, it.key, string(it.body))
			} else {
				tombstones++
			}
			return true
		})
		if held.String() != expected.String() {
			t.Fatalf("%s finally holds\n%swant\n%s", p.name, &held, &expected)
		}
		if p.subscriber == nil {
			if position := p.relay.advertised; !p.relay.Complete() ||
				position != (Position{n.epoch, n.origin.version}) ||
				tombstones > n.limits.Tombstones {
				t.Fatalf("%s: got complete %v, position %v for version %d of the origin, %d tombstones", p.name,
					p.relay.Complete(), position,
					n.origin.version, tombstones)
			}
			continue
		}
		if !p.subscriber.Complete() || tombstones > 0 {
			t.Fatalf("%s: got complete %v with %d tombstones, want true without any", p.name, p.subscriber.Complete(),
				tombstones)
		}
		for _, scope := range []string{p.selectors[0].Scope, p.selectors[len(p.selectors)-1].Scope} {
			if age, known := p.subscriber.Age(n.now, scope); !known || age > 4*second {
				t.Fatalf("%s: scope %q: got age %d ns, known %v, want a known age of at most 4 s", p.name, scope, age,
					known)
			}
			if position := p.subscriber.Position(scope); position != (Position{n.epoch, n.origin.version}) {
				t.Fatalf("%s: scope %q: got position %v, want that of the origin", p.name, scope, position)
			}
		}
	}
}

func TestRandomNetworkConverges(t *testing.T) {
	for _, maxSteps := range []int{30, 100, 200} {
		t.Run(fmt.Sprint("acts-", maxSteps), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := newNetwork(t)
				for range rapid.IntRange(5, maxSteps).Draw(t, "acts") {
					n.randomStep()
				}
				n.converge()
			})
		})
	}
}
