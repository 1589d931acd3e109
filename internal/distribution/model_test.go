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

type nameOf struct{ scope, key string }

type entry struct {
	version uint64
	gone    bool
	class   Class
	body    string
}

// truth is the history of all records, by epoch; loaded is the version at which an epoch's origin had its complete
// list.
type truth struct {
	history map[uint64]map[nameOf][]entry
	loaded  map[uint64]uint64
}

// at is the newest entry up to a version, and whether there is a removal after it.
func (h *truth) at(epoch uint64, n nameOf, through uint64) (now entry, goneLater bool) {
	now.gone = true
	for _, e := range h.history[epoch][n] {
		if e.version <= through {
			now = e
		} else if e.gone {
			goneLater = true
		}
	}
	return now, goneLater
}

func (h *truth) exactly(r Record) bool {
	for _, e := range h.history[r.Epoch][nameOf{r.Scope, r.Key}] {
		if e.version == r.Version && !e.gone && e.class == r.Class && e.body == string(r.Body) {
			return true
		}
	}
	return false
}

// claimed checks a claim to know the scopes that a selector covers against the truth.
func (h *truth) claimed(t *rapid.T, who string, s Selector, at Position, holds map[nameOf]Record) {
	if at.Epoch == 0 {
		return
	}
	if loaded, ok := h.loaded[at.Epoch]; !ok || at.Through < loaded {
		t.Fatalf("%s claims %v of %v, when the origin had no list yet", who, at, s)
	}
	names := maps.Clone(holds)
	for n := range h.history[at.Epoch] {
		if _, ok := names[n]; !ok {
			names[n] = Record{}
		}
	}
	for n, r := range names {
		if !s.covers(n.scope) {
			continue
		}
		then, goneLater := h.at(at.Epoch, n, at.Through)
		switch stamp := (Position{r.Epoch, r.Version}); {
		case stamp == Position{}:
			if !then.gone && !goneLater {
				t.Fatalf("%s claims %v of %v and lacks %v, version %d", who, at, s, n, then.version)
			}
		case stamp.compare(at) <= 0:
			if then.gone || r.Epoch != at.Epoch || r.Version != then.version {
				t.Fatalf("%s claims %v of %v and holds %v of %v; true is %+v", who, at, s, n, stamp, then)
			}
		}
	}
}

// end is a relay or a subscriber, with whom it may be connected to and the frames that are on their way to it.
type end struct {
	name    string
	relay   *Relay      // either
	leaf    *Subscriber // or
	wants   []Selector
	ups     []int // by place among the ends; -1 is the origin
	from    *Relay
	id      int
	way     [][]byte // frames of this session that have not come yet
	old     [][]byte // frames of sessions before
	last    []byte
	known   map[nameOf]Position // a subscriber's: never falls
	changed map[nameOf]string   // the same, by its changes
	pace    int
}

type network struct {
	t      *rapid.T
	now    int64
	truth  truth
	origin *Origin
	ends   []*end
	epoch  uint64
	bodies int
	limits Limits
	live   map[nameOf]entry
	loaded bool
}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:      t,
		truth:  truth{map[uint64]map[nameOf][]entry{}, map[uint64]uint64{}},
		limits: Limits{Tombstones: rapid.IntRange(1, 4).Draw(t, "tombstones")},
		live:   map[nameOf]entry{},
	}
	n.newOrigin()
	n.load()
	pace := rapid.SampledFrom([]int{0, 8000}).Draw(t, "pace")
	relay := func(name string, ups []int, s ...Selector) {
		n.ends = append(n.ends, &end{name: name, wants: s, ups: ups, pace: pace})
		n.restart(len(n.ends) - 1)
	}
	leaf := func(name string, ups []int, s ...Selector) {
		e := &end{
			name: name, wants: s, ups: ups, pace: pace, known: map[nameOf]Position{},
			changed: map[nameOf]string{},
		}
		e.leaf, _ = NewSubscriber(s, Limits{})
		n.ends = append(n.ends, e)
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
	n.origin, n.loaded = NewOrigin(n.epoch, n.limits), false
	n.origin.Await("k")
	n.truth.history[n.epoch] = map[nameOf][]entry{}
}

// load replaces the origin's list by what is live.
func (n *network) load() {
	var all []Record
	for _, name := range slices.SortedFunc(maps.Keys(n.live),
		func(a, b nameOf) int { return strings.Compare(a.scope+a.key, b.scope+b.key) }) {
		e := n.live[name]
		all = append(all, Record{Scope: name.scope, Key: name.key, Class: e.class, Body: []byte(e.body)})
	}
	if _, err := n.origin.Replace(n.now, "k", all); err != nil {
		n.t.Fatal(err)
	}
	n.note()
	if !n.loaded {
		n.loaded, n.truth.loaded[n.epoch] = true, n.origin.version
	}
}

// note records the origin's state after its last call.
func (n *network) note() {
	history := n.truth.history[n.epoch]
	n.origin.relay.replica.items.Ascend(func(it *item) bool {
		name := nameOf{it.scope.name, it.key}
		if list := history[name]; len(list) == 0 || list[len(list)-1].version != it.version {
			history[name] = append(list, entry{it.version, it.deleted, it.class, string(it.body)})
		}
		return true
	})
	for name, list := range history {
		if n.origin.relay.replica.find(name.scope, name.key) == nil && !list[len(list)-1].gone {
			// Its tombstone was dropped, as it is over the limit.
			history[name] = append(list, entry{version: n.origin.version, gone: true})
		}
	}
	for name, e := range n.live {
		if list := history[name]; n.loaded && (len(list) == 0 || list[len(list)-1].body != e.body ||
			list[len(list)-1].gone) {
			n.t.Fatalf("the origin lacks %v", name)
		}
	}
}

func (n *network) restart(i int) {
	e := n.ends[i]
	e.relay = NewRelay(n.limits)
	if err := e.relay.Follow(e.wants); err != nil {
		n.t.Fatal(err)
	}
	n.cut(e)
	e.old, e.last = nil, nil // a new process has new connections
	for _, other := range n.ends {
		if slices.Contains(other.ups, i) && other.from != nil && !n.serves(other.from) {
			n.cut(other)
		}
	}
}

func (n *network) serves(r *Relay) bool {
	return r == n.origin.relay || slices.ContainsFunc(n.ends, func(e *end) bool { return e.relay == r })
}

// cut ends a session; frames that were on their way may still arrive.
func (n *network) cut(e *end) {
	if e.from != nil {
		e.from.Detach(e.id)
	}
	e.old = append(e.old, e.way...)
	if len(e.old) > 30 {
		e.old = e.old[len(e.old)-30:]
	}
	e.from, e.way = nil, nil
}

func (n *network) connect(e *end, up int) {
	n.cut(e)
	from := n.origin.relay
	if up >= 0 {
		from = n.ends[up].relay
	}
	var hello []byte
	if e.relay != nil {
		hello = e.relay.UpstreamHello(n.now)
	} else {
		hello = e.leaf.Hello()
	}
	id, err := from.Attach(n.now, hello, e.pace)
	if err != nil {
		n.t.Fatalf("%s: %v", e.name, err)
	}
	e.from, e.id = from, id
}

// send puts up to most frames on their way.
func (n *network) send(e *end, most int) {
	for sent := 0; e.from != nil && sent < most; sent++ {
		f, _ := e.from.Next(n.now, e.id)
		if f == nil {
			break
		}
		if len(f) > MaxFrameBytes {
			n.t.Fatalf("a frame of %d bytes", len(f))
		}
		e.way = append(e.way, f)
	}
}

func (n *network) come(e *end, frame []byte) error {
	var err error
	var changes []Change
	if e.relay != nil {
		err = e.relay.Receive(n.now, frame)
	} else {
		changes, err = e.leaf.Receive(n.now, frame)
	}
	n.look(e, changes)
	if err != nil && !errors.Is(err, ErrFrameGap) {
		n.t.Fatalf("%s: %v", e.name, err)
	}
	if err != nil {
		n.cut(e)
	}
	return err
}

// look checks the invariants of an end.
func (n *network) look(e *end, changes []Change) {
	t := n.t
	holds := map[nameOf]Record{}
	if e.relay != nil {
		e.relay.replica.items.Ascend(func(it *item) bool {
			if !it.deleted {
				holds[nameOf{it.scope.name, it.key}] = it.record()
			}
			return true
		})
		if e.relay.Complete() {
			for _, s := range e.wants {
				n.truth.claimed(t, e.name, s, e.relay.claimed, holds)
			}
		}
	} else {
		for _, c := range changes {
			name := nameOf{c.Scope, c.Key}
			if c.Deleted {
				if _, ok := e.changed[name]; !ok {
					t.Fatalf("%s got a deletion of %v, which it did not hold", e.name, name)
				}
				delete(e.changed, name)
				e.known[name] = Position{c.Epoch, c.Version}
			} else {
				e.changed[name] = fmt.Sprint(c.Class, string(c.Body))
			}
		}
		e.leaf.Each(func(r Record) { holds[nameOf{r.Scope, r.Key}] = r })
		for name, r := range holds {
			at := Position{r.Epoch, r.Version}
			if at.compare(e.known[name]) < 0 {
				t.Fatalf("%s went back from %v to %v with %v", e.name, e.known[name], at, name)
			}
			e.known[name] = at
			if e.changed[name] != fmt.Sprint(r.Class, string(r.Body)) {
				t.Fatalf("%s holds %+v, its changes gave %q", e.name, r, e.changed[name])
			}
		}
		if len(e.changed) != len(holds) {
			t.Fatalf("%s holds %d records, its changes gave %d", e.name, len(holds), len(e.changed))
		}
		for i, s := range e.wants {
			at := e.leaf.replica.knownOf(&e.leaf.replica.interests[i]).position
			n.truth.claimed(t, e.name, s, at, holds)
		}
	}
	for name, r := range holds {
		if !n.truth.exactly(r) {
			t.Fatalf("%s holds what never was: %v %+v", e.name, name, r)
		}
	}
}

var (
	scopesOfModel = []string{"a/x", "a/y", "a/new", "b/x", "b/new"}
	keysOfModel   = []string{"k/1", "k/2", "k/3", "k/4"}
)

func (n *network) act() {
	t := n.t
	who := func() *end { return n.ends[rapid.IntRange(0, len(n.ends)-1).Draw(t, "who")] }
	switch rapid.IntRange(0, 19).Draw(t, "act") {
	case 0, 1, 2, 3, 4: // a change
		name := nameOf{rapid.SampledFrom(scopesOfModel).Draw(t, "scope"), rapid.SampledFrom(keysOfModel).Draw(t, "key")}
		if rapid.IntRange(0, 2).Draw(t, "put") == 0 {
			delete(n.live, name)
			if n.loaded {
				n.origin.Remove(n.now, name.scope, name.key)
			}
		} else {
			n.bodies++
			e := entry{
				class: Class(rapid.IntRange(0, 2).Draw(t, "class")),
				body:  fmt.Sprintf("%d%s", n.bodies, strings.Repeat("x", 250)),
			}
			n.live[name] = e
			if n.loaded {
				if _, err := n.origin.Put(n.now, name.scope, name.key, e.class, []byte(e.body)); err != nil {
					t.Fatal(err)
				}
			}
		}
		n.note()
	case 5: // a complete list, without a random scope
		gone := rapid.SampledFrom(scopesOfModel).Draw(t, "emptied")
		maps.DeleteFunc(n.live, func(name nameOf, _ entry) bool { return name.scope == gone })
		n.load()
	case 6: // the origin restarts; its list comes with one of the next acts
		if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
			n.newOrigin()
			for _, e := range n.ends {
				if e.from != nil && !n.serves(e.from) {
					n.cut(e)
				}
			}
		}
	case 7: // a relay restarts empty
		if rapid.IntRange(0, 1).Draw(t, "really") == 0 {
			n.restart(rapid.IntRange(0, 3).Draw(t, "relay"))
		}
	case 8, 9: // to another relay
		e := who()
		n.connect(e, rapid.SampledFrom(e.ups).Draw(t, "up"))
	case 10: // a way is cut
		n.cut(who())
	case 11: // a frame is lost
		if e := who(); len(e.way) > 0 {
			e.way = e.way[1:]
		}
	case 12: // a frame comes again
		if e := who(); e.last != nil {
			_ = n.come(e, e.last) // a gap is no fault; come fails the test at any other error
		}
	case 13, 14: // a frame of a session before comes
		if e := who(); len(e.old) > 0 {
			i := rapid.IntRange(0, len(e.old)-1).Draw(t, "old")
			_ = n.come(e, e.old[i]) // a gap is no fault; come fails the test at any other error
		}
	case 15:
		n.now += int64(rapid.IntRange(1, 1200).Draw(t, "ms")) * 1e6
	default:
		e := who()
		n.send(e, rapid.IntRange(0, 3).Draw(t, "frames"))
		for range rapid.IntRange(0, 3).Draw(t, "come") {
			if len(e.way) == 0 || n.one(e) != nil {
				break
			}
		}
	}
}

func (n *network) one(e *end) error {
	e.last, e.way = e.way[0], e.way[1:]
	return n.come(e, e.last)
}

// settle ends all faults: every end is connected, and time goes on.
func (n *network) settle() {
	t := n.t
	if !n.loaded {
		n.load()
	}
	for range 400 {
		n.now += 250e6
		for _, e := range n.ends {
			if e.from == nil {
				n.connect(e, rapid.SampledFrom(e.ups).Draw(t, "up"))
			}
			for n.send(e, 100); len(e.way) > 0; {
				if n.one(e) != nil {
					break
				}
			}
		}
	}
	for _, e := range n.ends {
		var held, real bytes.Buffer
		say := func(to *bytes.Buffer, scope, key, body string) {
			if slices.ContainsFunc(e.wants, func(s Selector) bool { return s.covers(scope) }) {
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
			items = e.leaf.replica.items
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
		if e.leaf == nil {
			if at := e.relay.claimed; !e.relay.Complete() || at != (Position{n.epoch, n.origin.version}) ||
				tombs > n.limits.Tombstones {
				t.Fatalf("%s ends complete %v at %v of %d with %d tombstones", e.name, e.relay.Complete(), at,
					n.origin.version, tombs)
			}
			continue
		}
		if !e.leaf.Complete() || tombs > 0 {
			t.Fatalf("%s ends complete %v with %d tombstones", e.name, e.leaf.Complete(), tombs)
		}
		for _, scope := range []string{e.wants[0].Scope, e.wants[len(e.wants)-1].Scope} {
			if age, known := e.leaf.Age(n.now, scope); !known || age > 4*second {
				t.Fatalf("%s knows %q as of %d ns ago, %v", e.name, scope, age, known)
			}
			if at := e.leaf.Position(scope); at != (Position{n.epoch, n.origin.version}) {
				t.Fatalf("%s knows %q up to %v", e.name, scope, at)
			}
		}
	}
}

func TestNetwork(t *testing.T) {
	for _, most := range []int{30, 100, 200} {
		t.Run(fmt.Sprint("acts-", most), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				n := newNetwork(t)
				for range rapid.IntRange(5, most).Draw(t, "acts") {
					n.act()
				}
				n.settle()
			})
		})
	}
}
