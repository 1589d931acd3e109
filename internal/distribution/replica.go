package distribution

// This file owns what is held of records and what becomes of a frame that has come: it is the store and the upstream side of both
// a relay and a subscriber. It must never put an older state over a newer one, nor take anything away that a whole scope, told
// to its end in one session, did not leave out.

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/google/btree"
)

// item is a record as it is held; a gone one is a tombstone. 80 bytes, beside its key and body.
type item struct {
	scope   *scope
	key     string
	body    []byte
	epoch   uint64
	version uint64
	seq     uint64 // its place in the order in which this relay came to know; at a subscriber: listed while it is among the dead
	mark    uint32 // the last time that it was named
	class   Class
	gone    bool
}

const listed = 1

func (it *item) stamp() Position { return Position{it.epoch, it.version} }

func (it *item) record() Record {
	return Record{Scope: it.scope.name, Key: it.key, Class: it.class, Epoch: it.epoch, Version: it.version, Gone: it.gone, Body: it.body}
}

// scope is there while records of it are held or somebody subscribes to it.
type scope struct {
	name   string
	held   int32  // tombstones among them
	exact  int32  // the interest in it alone, or -1
	spoilt uint32 // the mark under which a record of it could last not be read
	lanes  *lanes // at a relay
}

// interest is a selector and how far it is known.
type interest struct {
	name    string
	prefix  bool
	whole   bool     // has been so once
	follows bool     // its position is the replica's shared one
	open    bool     // it is being told anew
	begun   uint32   // the mark under which that began
	pos     Position // while it does not follow
	asOf    int64
}

// prior is what a record was before a change.
type prior struct {
	live  bool
	class Class
	body  []byte
}

// keeper is who holds the replica. The two are called around every change of an item: before it leaves its place, and after it
// has its new state.
type keeper interface {
	leaves(it *item)
	changed(it *item, was prior, swept bool)
}

type replica struct {
	limits Limits
	keeper keeper
	intern Intern
	tombs  bool // tombstones outlive the position, and what is swept leaves one

	items    *btree.BTreeG[*item]
	scopes   map[string]*scope
	scopeIDs uint64
	probe    item
	at       scope
	gone     int // tombstones
	bytes    int // of names, keys and bodies
	dead     []*item

	interests []interest
	exact     map[string]int32
	prefixes  []int32
	lagging   []int32 // interests that do not follow
	wholes    int
	shared    Position
	asOf      int64
	seen      uint64 // the highest epoch heard of
	endMax    uint64 // the highest position at which anything was told anew, in that epoch
	mark      uint32

	session uint64
	number  uint64 // of the last frame
	broken  bool   // until the next hello
	lost    uint32 // the mark under which a whole group could last not be read

	stats Stats
}

func newReplica(k keeper, l Limits) *replica {
	r := &replica{limits: l.filled(), keeper: k, scopes: map[string]*scope{}, exact: map[string]int32{}, broken: true}
	r.items = btree.NewG(32, func(a, b *item) bool {
		if a.scope != b.scope && a.scope.name != b.scope.name {
			return a.scope.name < b.scope.name
		}
		return a.key < b.key
	})
	return r
}

func (r *replica) follow(selectors []Selector) error {
	if len(selectors) > r.limits.Selectors {
		return over("selectors of a subscriber", r.limits.Selectors, len(selectors))
	}
	for i, s := range selectors {
		if len(s.Scope) > MaxName || s.Scope == "" && !s.Prefix {
			return fmt.Errorf("distribution: selector %d: a name of 1 to %d bytes expected, found %d", i, MaxName, len(s.Scope))
		}
		at := int32(len(r.interests))
		if s.Prefix {
			r.prefixes = append(r.prefixes, at)
		} else if _, twice := r.exact[s.Scope]; twice {
			continue
		} else {
			r.exact[s.Scope] = at
		}
		r.interests = append(r.interests, interest{name: s.Scope, prefix: s.Prefix})
		r.lagging = append(r.lagging, at)
	}
	if len(r.prefixes) > MaxPrefixes {
		return over("prefixes of a subscriber", MaxPrefixes, len(r.prefixes))
	}
	return nil
}

// hello begins a session. Frames of the one before are void from here on, and what it had begun to tell anew.
func (r *replica) hello() []byte {
	r.session++
	r.number, r.broken = 0, false
	h := hello{
		Protocol: protocol, Session: r.session, Seen: r.seen, Epoch: r.shared.Epoch, Through: r.shared.Through,
		Selectors: make([]helloOfScope, len(r.interests)),
	}
	for i := range r.interests {
		n := &r.interests[i]
		n.open = false
		s := helloOfScope{Scope: n.name}
		if n.prefix {
			s.Flags |= flagPrefix
		}
		if n.follows {
			s.Flags |= flagFollows
		} else {
			s.Epoch, s.Through = n.pos.Epoch, n.pos.Through
		}
		h.Selectors[i] = s
	}
	return encode(h)
}

// position is up to where an interest is known.
func (r *replica) position(n *interest) (Position, int64) {
	if n.follows {
		return r.shared, r.asOf
	}
	return n.pos, n.asOf
}

// of is up to where a scope is known, and as of when.
func (r *replica) of(name string, exact int32) (at Position, asOf int64, whole bool) {
	better := func(n *interest) {
		if p, t := r.position(n); n.whole && (!whole || p.compare(at) > 0 || p == at && t > asOf) {
			at, asOf, whole = p, t, true
		}
	}
	if exact >= 0 {
		better(&r.interests[exact])
	}
	for _, i := range r.prefixes {
		if strings.HasPrefix(name, r.interests[i].name) {
			better(&r.interests[i])
		}
	}
	return at, asOf, whole
}

// least is up to where all interests are known, as of when, and whether they are whole and none is being told anew.
func (r *replica) least() (at Position, asOf int64, whole bool) {
	if len(r.interests) == 0 {
		return at, asOf, false
	}
	at, asOf = r.shared, r.asOf
	for k, i := range r.lagging {
		n := &r.interests[i]
		if n.open || !n.whole {
			return Position{}, 0, false
		}
		if k == 0 && len(r.lagging) == len(r.interests) {
			at, asOf = n.pos, n.asOf
		}
		if n.pos.compare(at) < 0 {
			at = n.pos
		}
		asOf = min(asOf, n.asOf)
	}
	return at, asOf, true
}

func (r *replica) covers(name string) bool {
	if _, ok := r.exact[name]; ok {
		return true
	}
	for _, i := range r.prefixes {
		if strings.HasPrefix(name, r.interests[i].name) {
			return true
		}
	}
	return false
}

// includes says whether all that a selector names is covered.
func (r *replica) includes(name string, prefix bool) bool {
	if !prefix {
		return r.covers(name)
	}
	return slices.ContainsFunc(r.prefixes, func(i int32) bool { return strings.HasPrefix(name, r.interests[i].name) })
}

func (r *replica) scopeOf(name string) *scope {
	s := r.scopes[name]
	if s == nil {
		exact, ok := r.exact[name]
		if ok {
			name = r.interests[exact].name // one string for both
		} else {
			exact = -1
			if r.intern.Text != nil {
				name = r.intern.Text(name)
			}
		}
		s = &scope{name: name, exact: exact}
		if r.tombs {
			r.scopeIDs++
			s.lanes = &lanes{id: r.scopeIDs}
		}
		r.scopes[name] = s
		r.bytes += len(name)
	}
	return s
}

// release forgets a scope of which nothing is held and that nobody waits for.
func (r *replica) release(s *scope) {
	if s.held == 0 && (s.lanes == nil || len(s.lanes.feeds) == 0) && r.scopes[s.name] == s {
		delete(r.scopes, s.name)
		r.bytes -= len(s.name)
	}
}

func (r *replica) find(scopeName, key string) *item {
	r.at.name = scopeName
	r.probe.scope, r.probe.key = &r.at, key
	it, _ := r.items.Get(&r.probe)
	return it
}

// set gives a record its newest state, whatever it was; held is what is there of it, or nil.
func (r *replica) set(held *item, name, key string, class Class, at Position, gone bool, body []byte, swept bool) (*item, error) {
	more := len(body)
	if held != nil {
		more -= len(held.body)
	} else {
		more += len(key)
		if r.items.Len() >= r.limits.Records {
			return nil, over("records", r.limits.Records, r.items.Len()+1)
		}
	}
	if more > 0 && r.bytes+more > r.limits.Bytes {
		return nil, over("bytes of records", r.limits.Bytes, r.bytes+more)
	}
	var was prior
	if held == nil {
		s := r.scopeOf(name)
		if r.intern.Text != nil {
			key = r.intern.Text(key)
		}
		held = &item{scope: s, key: key}
		s.held++
		r.items.ReplaceOrInsert(held)
	} else {
		was = prior{!held.gone, held.class, held.body}
		r.keeper.leaves(held)
		if held.gone {
			r.gone--
		}
	}
	switch {
	case gone:
		body = nil
		r.gone++
	case was.live && bytes.Equal(was.body, body):
		body = was.body
	case r.intern.Body != nil:
		body = r.intern.Body(body)
	}
	r.bytes += more
	held.class, held.epoch, held.version, held.gone, held.body, held.mark = class, at.Epoch, at.Through, gone, body, r.mark
	if gone && !r.tombs && held.seq == 0 {
		held.seq = listed
		r.dead = append(r.dead, held)
	}
	r.keeper.changed(held, was, swept)
	return held, nil
}

// remove forgets an item without a trace.
func (r *replica) remove(it *item) {
	r.keeper.leaves(it)
	r.items.Delete(it)
	r.bytes -= len(it.key) + len(it.body)
	if it.gone {
		r.gone--
	}
	it.scope.held--
	r.release(it.scope)
}

func (r *replica) spoilt(name, what string) {
	r.stats.Spoilt++
	r.stats.LastSpoilt = what
	if name == "" {
		r.lost = r.mark
	} else if s := r.scopes[name]; s != nil {
		s.spoilt = r.mark
	}
}

// take takes in a frame. After an error the session is void.
func (r *replica) take(now int64, b []byte) (err error) {
	defer func() {
		if err != nil {
			r.broken = true
		}
	}()
	r.stats.Frames++
	r.stats.FrameBytes += int64(len(b))
	type bad struct{ scope string }
	var spoilt []bad
	f, err := decodeFrame(b, func(scope string) { spoilt = append(spoilt, bad{scope}) })
	if err != nil {
		return err
	}
	if r.broken || f.Session != r.session || f.Number <= r.number {
		r.stats.OldFrames++
		return nil
	}
	if f.Number != r.number+1 {
		return fmt.Errorf("%w: number %d expected, found %d", ErrGap, r.number+1, f.Number)
	}
	r.number++
	f.Age = max(0, f.Age)
	if f.Epoch < r.seen || f.Epoch == 0 {
		if f.Epoch != 0 || len(f.Groups)+len(f.Begin)+len(f.End) > 0 {
			r.stats.OldFrames++
		}
		return nil
	}
	if f.Epoch > r.seen {
		r.seen, r.endMax = f.Epoch, 0
	}
	if err := r.begin(f); err != nil {
		return err
	}
	for _, s := range spoilt {
		r.spoilt(s.scope, fmt.Sprintf("scope %q: a record that can't be read", s.scope))
	}
	for i := range f.Groups {
		if err := r.group(f, &f.Groups[i]); err != nil {
			return err
		}
	}
	if err := r.end(now, f); err != nil {
		return err
	}
	if f.All {
		if err := r.progress(now, f); err != nil {
			return err
		}
	}
	r.bury()
	return nil
}

func (r *replica) begin(f *frame) error {
	if len(f.Begin) > 0 {
		r.mark++
	}
	for _, i := range f.Begin {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: begin: a selector under %d expected, found %d", ErrFrame, len(r.interests), i)
		}
		r.leave(int32(i))
		r.interests[i].open, r.interests[i].begun = true, r.mark
	}
	return nil
}

// leave gives an interest a position of its own.
func (r *replica) leave(i int32) {
	if n := &r.interests[i]; n.follows {
		n.follows, n.pos, n.asOf = false, r.shared, r.asOf
		r.lagging = append(r.lagging, i)
	}
}

func (r *replica) group(f *frame, g *group) error {
	if g.Scope == "" || len(g.Scope) > MaxName {
		r.spoilt("", fmt.Sprintf("scope %.64q: a name of 1 to %d bytes expected, found %d", g.Scope, MaxName, len(g.Scope)))
		return nil
	}
	if !r.covers(g.Scope) {
		r.stats.Foreign += int64(len(g.Records))
		return nil
	}
	for i := range g.Records {
		n := &g.Records[i]
		if n.Key == "" || len(n.Key) > MaxName || n.Flags&^flagsAll != 0 || n.Flags&3 >= uint8(classes) || n.Version == 0 || len(n.Body) > MaxBody {
			r.spoilt(g.Scope, fmt.Sprintf("scope %q, key %.64q: flags %#x, version %d, %d bytes", g.Scope, n.Key, n.Flags, n.Version, len(n.Body)))
			continue
		}
		if err := r.one(f, g.Scope, n); err != nil {
			return err
		}
	}
	return nil
}

// one takes in a record: the newer state holds, and what is not held and is not newer than what is known of its scope is dead.
func (r *replica) one(f *frame, name string, n *record) error {
	at := Position{f.Epoch, n.Version}
	held := r.find(name, n.Key)
	if n.Flags&flagNamed != 0 {
		if held == nil || held.stamp().compare(at) < 0 {
			r.distrust(name)
			return fmt.Errorf("%w: scope %q, key %q, version %d", ErrMissing, name, n.Key, n.Version)
		}
		held.mark = r.mark
		r.stats.Repeated++
		return nil
	}
	if held != nil {
		switch c := held.stamp().compare(at); {
		case c == 0:
			held.mark = r.mark
			r.stats.Repeated++
			return nil
		case c > 0:
			r.stats.Stale++
			return nil
		}
	} else {
		exact, ok := r.exact[name]
		if !ok {
			exact = -1
		}
		if known, _, _ := r.of(name, exact); at.compare(known) <= 0 {
			r.stats.Stale++
			return nil
		}
	}
	r.stats.Applied++
	_, err := r.set(held, name, n.Key, Class(n.Flags&3), at, n.Flags&flagGone != 0, n.Body, false)
	return err
}

// distrust has all that covers a scope told anew with its bodies: what the relay took for held is not.
func (r *replica) distrust(name string) {
	for i := range r.interests {
		if n := &r.interests[i]; (Selector{Scope: n.name, Prefix: n.prefix}).covers(name) {
			r.leave(int32(i))
			n.pos = Position{}
		}
	}
}

// end takes scopes for whole: what was not named since they began, and is not newer than what they are told by, goes.
func (r *replica) end(now int64, f *frame) error {
	for _, i := range f.End {
		if int(i) >= len(r.interests) || !r.interests[i].open {
			return fmt.Errorf("%w: end: a selector that has begun expected, found %d", ErrFrame, i)
		}
		n := &r.interests[i]
		at := Position{f.Epoch, f.Through}
		n.open = false
		if err := r.sweep(n, at); err != nil {
			return err
		}
		if !n.whole {
			n.whole = true
			r.wholes++
		}
		if at.compare(n.pos) > 0 {
			n.pos = at
		}
		n.asOf = max(n.asOf, now-f.Age)
		r.endMax = max(r.endMax, f.Through)
	}
	return nil
}

func (r *replica) sweep(n *interest, at Position) error {
	if r.lost >= n.begun {
		return nil // a group could not be read: nobody knows what it named
	}
	var out []*item
	r.at.name = n.name
	r.probe.scope, r.probe.key = &r.at, ""
	r.items.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		if !(Selector{Scope: n.name, Prefix: n.prefix}).covers(it.scope.name) {
			return false
		}
		if !it.gone && it.mark < n.begun && it.stamp().compare(at) <= 0 && it.scope.spoilt < n.begun {
			out = append(out, it)
		}
		return true
	})
	for _, it := range out {
		r.stats.Swept++
		if it.epoch == at.Epoch || !r.tombs {
			// Those that were told of it in this epoch have to hear of it.
			if _, err := r.set(it, it.scope.name, it.key, it.class.withdrawn(), at, true, nil, true); err != nil {
				return err
			}
		} else {
			r.remove(it)
		}
	}
	return nil
}

// progress takes in up to where everything is told. It costs nothing where all interests follow already.
func (r *replica) progress(now int64, f *frame) error {
	at := Position{f.Epoch, f.Through}
	var except map[uint32]bool
	if len(f.Except) > 0 {
		except = make(map[uint32]bool, len(f.Except))
	}
	for _, i := range f.Except {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: except: a selector under %d expected, found %d", ErrFrame, len(r.interests), i)
		}
		except[i] = true
	}
	if at.Epoch != r.shared.Epoch {
		for i := range r.interests {
			r.leave(int32(i))
		}
		r.shared, r.asOf = at, now-f.Age
	}
	if at.compare(r.shared) < 0 {
		return nil // a relay behind the one before: it has nothing to say yet
	}
	for _, i := range f.Except {
		r.leave(int32(i))
	}
	r.shared = at
	r.asOf = max(r.asOf, now-f.Age)
	still := r.lagging[:0]
	for _, i := range r.lagging {
		n := &r.interests[i]
		if !n.open && !except[uint32(i)] && n.pos.Epoch == at.Epoch && n.pos.compare(at) <= 0 {
			n.follows = true
		} else {
			still = append(still, i)
		}
	}
	r.lagging = still
	return nil
}

// bury forgets the tombstones that the position has passed: what is not held and not newer than it is dead by that alone.
func (r *replica) bury() {
	if r.tombs || len(r.dead) == 0 {
		return
	}
	still := r.dead[:0]
	for _, it := range r.dead {
		if !it.gone {
			it.seq = 0
			continue
		}
		if known, _, _ := r.of(it.scope.name, it.scope.exact); it.stamp().compare(known) <= 0 {
			r.remove(it)
		} else {
			still = append(still, it)
		}
	}
	clear(r.dead[len(still):])
	r.dead = still
	if len(still) == 0 {
		r.dead = nil
	}
}

func (r *replica) counts() Stats {
	s := r.stats
	s.Epoch, s.Records, s.Tombstones, s.Scopes, s.Bytes = r.seen, r.items.Len()-r.gone, r.gone, len(r.scopes), r.bytes
	return s
}
