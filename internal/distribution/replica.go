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
	deleted bool
}

const awaitsRemoval = 1

func (it *item) position() Position { return Position{it.epoch, it.version} }

func (it *item) record() Record {
	return Record{Scope: it.scope.name, Key: it.key, Class: it.class, Epoch: it.epoch, Version: it.version, Deleted: it.deleted, Body: it.body}
}

// scope is there while records of it are held or somebody subscribes to it.
type scope struct {
	name          string
	itemCount     int32       // tombstones among them
	exactInterest int32       // the interest in it alone, or -1
	invalidMark   uint32      // the mark under which a record of it could last not be read
	order         *scopeOrder // at a relay
}

// interest is a selector and how far it is known.
type interest struct {
	scope        string
	prefix       bool
	complete     bool     // has been so once
	shared       bool     // its position is the replica's shared one
	inSnapshot   bool     // it is being told anew
	snapshotMark uint32   // the mark under which that began
	position     Position // while it does not follow
	asOfNs       int64
}

// prior is what a record was before a change.
type previousState struct {
	live  bool
	class Class
	body  []byte
}

// keeper is who holds the replica. The two are called around every change of an item: before it leaves its place, and after it
// has its new state.
type changeObserver interface {
	beforeChange(it *item)
	afterChange(it *item, was previousState, swept bool)
}

type replica struct {
	limits          Limits
	observer        changeObserver
	interner        Interner
	keepsTombstones bool // tombstones outlive the position, and what is swept leaves one

	items             *btree.BTreeG[*item]
	scopes            map[string]*scope
	scopeIDs          uint64
	probe             item
	probeScope        scope
	tombstones        int // tombstones
	bytes             int // of names, keys and bodies
	pendingTombstones []*item

	interests         []interest
	exactInterests    map[string]int32
	prefixInterests   []int32
	lagging           []int32 // interests that do not follow
	completeInterests int
	sharedPosition    Position
	sharedAsOfNs      int64
	epochSeen         uint64 // the highest epoch heard of
	maxSnapshotEnd    uint64 // the highest position at which anything was told anew, in that epoch
	mark              uint32

	session          uint64
	lastFrame        uint64 // of the last frame
	sessionVoid      bool   // until the next hello
	invalidGroupMark uint32 // the mark under which a whole group could last not be read

	stats Stats
}

func newReplica(k changeObserver, l Limits) *replica {
	r := &replica{limits: l.filled(), observer: k, scopes: map[string]*scope{}, exactInterests: map[string]int32{}, sessionVoid: true}
	r.items = btree.NewG(32, func(a, b *item) bool {
		if a.scope != b.scope && a.scope.name != b.scope.name {
			return a.scope.name < b.scope.name
		}
		return a.key < b.key
	})
	return r
}

func (r *replica) addSelectors(selectors []Selector) error {
	if len(selectors) > r.limits.Selectors {
		return limitError("selectors of a subscriber", r.limits.Selectors, len(selectors))
	}
	for i, s := range selectors {
		if len(s.Scope) > MaxNameBytes || s.Scope == "" && !s.Prefix {
			return fmt.Errorf("distribution: selector %d: a name of 1 to %d bytes expected, found %d", i, MaxNameBytes, len(s.Scope))
		}
		at := int32(len(r.interests))
		if s.Prefix {
			r.prefixInterests = append(r.prefixInterests, at)
		} else if _, twice := r.exactInterests[s.Scope]; twice {
			continue
		} else {
			r.exactInterests[s.Scope] = at
		}
		r.interests = append(r.interests, interest{scope: s.Scope, prefix: s.Prefix})
		r.lagging = append(r.lagging, at)
	}
	if len(r.prefixInterests) > MaxPrefixes {
		return limitError("prefixes of a subscriber", MaxPrefixes, len(r.prefixInterests))
	}
	return nil
}

// hello begins a session. Frames of the one before are void from here on, and what it had begun to tell anew.
func (r *replica) newHello() []byte {
	r.session++
	r.lastFrame, r.sessionVoid = 0, false
	h := hello{
		Protocol: protocolVersion, Session: r.session, EpochSeen: r.epochSeen, Epoch: r.sharedPosition.Epoch, Through: r.sharedPosition.Through,
		Selectors: make([]helloSelector, len(r.interests)),
	}
	for i := range r.interests {
		n := &r.interests[i]
		n.inSnapshot = false
		s := helloSelector{Scope: n.scope}
		if n.prefix {
			s.Flags |= flagPrefix
		}
		if n.shared {
			s.Flags |= flagShared
		} else {
			s.Epoch, s.Through = n.position.Epoch, n.position.Through
		}
		h.Selectors[i] = s
	}
	return encode(h)
}

// position is up to where an interest is known.
func (r *replica) position(n *interest) (Position, int64) {
	if n.shared {
		return r.sharedPosition, r.sharedAsOfNs
	}
	return n.position, n.asOfNs
}

// of is up to where a scope is known, and as of when.
func (r *replica) scopePosition(name string, exact int32) (at Position, asOf int64, whole bool) {
	better := func(n *interest) {
		if p, t := r.position(n); n.complete && (!whole || p.compare(at) > 0 || p == at && t > asOf) {
			at, asOf, whole = p, t, true
		}
	}
	if exact >= 0 {
		better(&r.interests[exact])
	}
	for _, i := range r.prefixInterests {
		if strings.HasPrefix(name, r.interests[i].scope) {
			better(&r.interests[i])
		}
	}
	return at, asOf, whole
}

// least is up to where all interests are known, as of when, and whether they are whole and none is being told anew.
func (r *replica) leastPosition() (at Position, asOf int64, whole bool) {
	if len(r.interests) == 0 {
		return at, asOf, false
	}
	at, asOf = r.sharedPosition, r.sharedAsOfNs
	for k, i := range r.lagging {
		n := &r.interests[i]
		if n.inSnapshot || !n.complete {
			return Position{}, 0, false
		}
		if k == 0 && len(r.lagging) == len(r.interests) {
			at, asOf = n.position, n.asOfNs
		}
		if n.position.compare(at) < 0 {
			at = n.position
		}
		asOf = min(asOf, n.asOfNs)
	}
	return at, asOf, true
}

func (r *replica) covers(name string) bool {
	if _, ok := r.exactInterests[name]; ok {
		return true
	}
	for _, i := range r.prefixInterests {
		if strings.HasPrefix(name, r.interests[i].scope) {
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
	return slices.ContainsFunc(r.prefixInterests, func(i int32) bool { return strings.HasPrefix(name, r.interests[i].scope) })
}

func (r *replica) ensureScope(name string) *scope {
	s := r.scopes[name]
	if s == nil {
		exact, ok := r.exactInterests[name]
		if ok {
			name = r.interests[exact].scope // one string for both
		} else {
			exact = -1
			if r.interner.Text != nil {
				name = r.interner.Text(name)
			}
		}
		s = &scope{name: name, exactInterest: exact}
		if r.keepsTombstones {
			r.scopeIDs++
			s.order = &scopeOrder{id: r.scopeIDs}
		}
		r.scopes[name] = s
		r.bytes += len(name)
	}
	return s
}

// release forgets a scope of which nothing is held and that nobody waits for.
func (r *replica) releaseScope(s *scope) {
	if s.itemCount == 0 && (s.order == nil || len(s.order.feeds) == 0) && r.scopes[s.name] == s {
		delete(r.scopes, s.name)
		r.bytes -= len(s.name)
	}
}

func (r *replica) find(scopeName, key string) *item {
	r.probeScope.name = scopeName
	r.probe.scope, r.probe.key = &r.probeScope, key
	it, _ := r.items.Get(&r.probe)
	return it
}

// set gives a record its newest state, whatever it was; held is what is there of it, or nil.
func (r *replica) upsert(held *item, name, key string, class Class, at Position, gone bool, body []byte, swept bool) (*item, error) {
	more := len(body)
	if held != nil {
		more -= len(held.body)
	} else {
		more += len(key)
		if r.items.Len() >= r.limits.Records {
			return nil, limitError("records", r.limits.Records, r.items.Len()+1)
		}
	}
	if more > 0 && r.bytes+more > r.limits.Bytes {
		return nil, limitError("bytes of records", r.limits.Bytes, r.bytes+more)
	}
	var was previousState
	if held == nil {
		s := r.ensureScope(name)
		if r.interner.Text != nil {
			key = r.interner.Text(key)
		}
		held = &item{scope: s, key: key}
		s.itemCount++
		r.items.ReplaceOrInsert(held)
	} else {
		was = previousState{!held.deleted, held.class, held.body}
		r.observer.beforeChange(held)
		if held.deleted {
			r.tombstones--
		}
	}
	switch {
	case gone:
		body = nil
		r.tombstones++
	case was.live && bytes.Equal(was.body, body):
		body = was.body
	case r.interner.Body != nil:
		body = r.interner.Body(body)
	}
	r.bytes += more
	held.class, held.epoch, held.version, held.deleted, held.body, held.mark = class, at.Epoch, at.Through, gone, body, r.mark
	if gone && !r.keepsTombstones && held.seq == 0 {
		held.seq = awaitsRemoval
		r.pendingTombstones = append(r.pendingTombstones, held)
	}
	r.observer.afterChange(held, was, swept)
	return held, nil
}

// remove forgets an item without a trace.
func (r *replica) remove(it *item) {
	r.observer.beforeChange(it)
	r.items.Delete(it)
	r.bytes -= len(it.key) + len(it.body)
	if it.deleted {
		r.tombstones--
	}
	it.scope.itemCount--
	r.releaseScope(it.scope)
}

func (r *replica) noteInvalid(name, what string) {
	r.stats.InvalidRecords++
	r.stats.LastInvalid = what
	if name == "" {
		r.invalidGroupMark = r.mark
	} else if s := r.scopes[name]; s != nil {
		s.invalidMark = r.mark
	}
}

// take takes in a frame. After an error the session is void.
func (r *replica) receive(now int64, b []byte) (err error) {
	defer func() {
		if err != nil {
			r.sessionVoid = true
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
	if r.sessionVoid || f.Session != r.session || f.Number <= r.lastFrame {
		r.stats.StaleFrames++
		return nil
	}
	if f.Number != r.lastFrame+1 {
		return fmt.Errorf("%w: number %d expected, found %d", ErrFrameGap, r.lastFrame+1, f.Number)
	}
	r.lastFrame++
	f.Age = max(0, f.Age)
	if f.Epoch < r.epochSeen || f.Epoch == 0 {
		if f.Epoch != 0 || len(f.Groups)+len(f.Begin)+len(f.End) > 0 {
			r.stats.StaleFrames++
		}
		return nil
	}
	if f.Epoch > r.epochSeen {
		r.epochSeen, r.maxSnapshotEnd = f.Epoch, 0
	}
	if err := r.beginSnapshots(f); err != nil {
		return err
	}
	for _, s := range spoilt {
		r.noteInvalid(s.scope, fmt.Sprintf("scope %q: a record that can't be read", s.scope))
	}
	for i := range f.Groups {
		if err := r.applyGroup(f, &f.Groups[i]); err != nil {
			return err
		}
	}
	if err := r.endSnapshots(now, f); err != nil {
		return err
	}
	if f.All {
		if err := r.advance(now, f); err != nil {
			return err
		}
	}
	r.dropTombstones()
	return nil
}

func (r *replica) beginSnapshots(f *frame) error {
	if len(f.Begin) > 0 {
		r.mark++
	}
	for _, i := range f.Begin {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: begin: a selector under %d expected, found %d", ErrBadFrame, len(r.interests), i)
		}
		r.unshare(int32(i))
		r.interests[i].inSnapshot, r.interests[i].snapshotMark = true, r.mark
	}
	return nil
}

// leave gives an interest a position of its own.
func (r *replica) unshare(i int32) {
	if n := &r.interests[i]; n.shared {
		n.shared, n.position, n.asOfNs = false, r.sharedPosition, r.sharedAsOfNs
		r.lagging = append(r.lagging, i)
	}
}

func (r *replica) applyGroup(f *frame, g *recordGroup) error {
	if g.Scope == "" || len(g.Scope) > MaxNameBytes {
		r.noteInvalid("", fmt.Sprintf("scope %.64q: a name of 1 to %d bytes expected, found %d", g.Scope, MaxNameBytes, len(g.Scope)))
		return nil
	}
	if !r.covers(g.Scope) {
		r.stats.ForeignRecords += int64(len(g.Records))
		return nil
	}
	for i := range g.Records {
		n := &g.Records[i]
		if n.Key == "" || len(n.Key) > MaxNameBytes || n.Flags&^knownFlags != 0 || n.Flags&3 >= uint8(classCount) || n.Version == 0 || len(n.Body) > MaxBodyBytes {
			r.noteInvalid(g.Scope, fmt.Sprintf("scope %q, key %.64q: flags %#x, version %d, %d bytes", g.Scope, n.Key, n.Flags, n.Version, len(n.Body)))
			continue
		}
		if err := r.applyRecord(f, g.Scope, n); err != nil {
			return err
		}
	}
	return nil
}

// one takes in a record: the newer state holds, and what is not held and is not newer than what is known of its scope is dead.
func (r *replica) applyRecord(f *frame, name string, n *record) error {
	at := Position{f.Epoch, n.Version}
	held := r.find(name, n.Key)
	if n.Flags&flagKeyOnly != 0 {
		if held == nil || held.position().compare(at) < 0 {
			r.resetPositions(name)
			return fmt.Errorf("%w: scope %q, key %q, version %d", ErrMissingRecord, name, n.Key, n.Version)
		}
		held.mark = r.mark
		r.stats.Repeated++
		return nil
	}
	if held != nil {
		switch c := held.position().compare(at); {
		case c == 0:
			held.mark = r.mark
			r.stats.Repeated++
			return nil
		case c > 0:
			r.stats.Stale++
			return nil
		}
	} else {
		exact, ok := r.exactInterests[name]
		if !ok {
			exact = -1
		}
		if known, _, _ := r.scopePosition(name, exact); at.compare(known) <= 0 {
			r.stats.Stale++
			return nil
		}
	}
	r.stats.Applied++
	_, err := r.upsert(held, name, n.Key, Class(n.Flags&3), at, n.Flags&flagDeleted != 0, n.Body, false)
	return err
}

// distrust has all that covers a scope told anew with its bodies: what the relay took for held is not.
func (r *replica) resetPositions(name string) {
	for i := range r.interests {
		if n := &r.interests[i]; (Selector{Scope: n.scope, Prefix: n.prefix}).covers(name) {
			r.unshare(int32(i))
			n.position = Position{}
		}
	}
}

// end takes scopes for whole: what was not named since they began, and is not newer than what they are told by, goes.
func (r *replica) endSnapshots(now int64, f *frame) error {
	for _, i := range f.End {
		if int(i) >= len(r.interests) || !r.interests[i].inSnapshot {
			return fmt.Errorf("%w: end: a selector that has begun expected, found %d", ErrBadFrame, i)
		}
		n := &r.interests[i]
		at := Position{f.Epoch, f.Through}
		n.inSnapshot = false
		if err := r.sweep(n, at); err != nil {
			return err
		}
		if !n.complete {
			n.complete = true
			r.completeInterests++
		}
		if at.compare(n.position) > 0 {
			n.position = at
		}
		n.asOfNs = max(n.asOfNs, now-f.Age)
		r.maxSnapshotEnd = max(r.maxSnapshotEnd, f.Through)
	}
	return nil
}

func (r *replica) sweep(n *interest, at Position) error {
	if r.invalidGroupMark >= n.snapshotMark {
		return nil // a group could not be read: nobody knows what it named
	}
	var out []*item
	r.probeScope.name = n.scope
	r.probe.scope, r.probe.key = &r.probeScope, ""
	r.items.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		if !(Selector{Scope: n.scope, Prefix: n.prefix}).covers(it.scope.name) {
			return false
		}
		if !it.deleted && it.mark < n.snapshotMark && it.position().compare(at) <= 0 && it.scope.invalidMark < n.snapshotMark {
			out = append(out, it)
		}
		return true
	})
	for _, it := range out {
		r.stats.Swept++
		if it.epoch == at.Epoch || !r.keepsTombstones {
			// Those that were told of it in this epoch have to hear of it.
			if _, err := r.upsert(it, it.scope.name, it.key, it.class.withdrawn(), at, true, nil, true); err != nil {
				return err
			}
		} else {
			r.remove(it)
		}
	}
	return nil
}

// progress takes in up to where everything is told. It costs nothing where all interests follow already.
func (r *replica) advance(now int64, f *frame) error {
	at := Position{f.Epoch, f.Through}
	var except map[uint32]bool
	if len(f.Except) > 0 {
		except = make(map[uint32]bool, len(f.Except))
	}
	for _, i := range f.Except {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: except: a selector under %d expected, found %d", ErrBadFrame, len(r.interests), i)
		}
		except[i] = true
	}
	if at.Epoch != r.sharedPosition.Epoch {
		for i := range r.interests {
			r.unshare(int32(i))
		}
		r.sharedPosition, r.sharedAsOfNs = at, now-f.Age
	}
	if at.compare(r.sharedPosition) < 0 {
		return nil // a relay behind the one before: it has nothing to say yet
	}
	for _, i := range f.Except {
		r.unshare(int32(i))
	}
	r.sharedPosition = at
	r.sharedAsOfNs = max(r.sharedAsOfNs, now-f.Age)
	still := r.lagging[:0]
	for _, i := range r.lagging {
		n := &r.interests[i]
		if !n.inSnapshot && !except[uint32(i)] && n.position.Epoch == at.Epoch && n.position.compare(at) <= 0 {
			n.shared = true
		} else {
			still = append(still, i)
		}
	}
	r.lagging = still
	return nil
}

// bury forgets the tombstones that the position has passed: what is not held and not newer than it is dead by that alone.
func (r *replica) dropTombstones() {
	if r.keepsTombstones || len(r.pendingTombstones) == 0 {
		return
	}
	still := r.pendingTombstones[:0]
	for _, it := range r.pendingTombstones {
		if !it.deleted {
			it.seq = 0
			continue
		}
		if known, _, _ := r.scopePosition(it.scope.name, it.scope.exactInterest); it.position().compare(known) <= 0 {
			r.remove(it)
		} else {
			still = append(still, it)
		}
	}
	clear(r.pendingTombstones[len(still):])
	r.pendingTombstones = still
	if len(still) == 0 {
		r.pendingTombstones = nil
	}
}

func (r *replica) currentStats() Stats {
	s := r.stats
	s.Epoch, s.Records, s.Tombstones, s.Scopes, s.Bytes = r.epochSeen, r.items.Len()-r.tombstones, r.tombstones, len(r.scopes), r.bytes
	return s
}
