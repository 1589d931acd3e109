package distribution

import (
	"fmt"
	"slices"
	"strings"
)

// interest is a selector of a replica with the position that its scopes have reached. Interests that are up to date
// share the replica's position, so that a heartbeat costs the same for any number of them; the others are unshared.
type interest struct {
	scope        string
	prefix       bool
	complete     bool     // at least one snapshot has been received
	shared       bool     // the position is the replica's sharedPosition
	inSnapshot   bool     // a snapshot has begun and not ended
	snapshotMark uint32   // the replica's mark when that snapshot began
	position     Position // valid if not shared
	asOfNs       int64    // when position was current; valid if not shared
}

func (n *interest) covers(scope string) bool {
	return Selector{Scope: n.scope, Prefix: n.prefix}.covers(scope)
}

// syncState is the position up to which all changes have been received.
type syncState struct {
	position Position
	asOfNs   int64 // when position was current
	complete bool  // at least one snapshot has been received
}

func (r *replica) addSelectors(selectors []Selector) error {
	if len(selectors) > r.limits.Selectors {
		return limitError("selectors of a subscriber", r.limits.Selectors, len(selectors))
	}
	for i, s := range selectors {
		if len(s.Scope) > MaxNameBytes || s.Scope == "" && !s.Prefix {
			return fmt.Errorf("distribution: selector %d: expected a name of 1 to %d bytes, found %d",
				i, MaxNameBytes, len(s.Scope))
		}
		index := int32(len(r.interests))
		if s.Prefix {
			r.prefixInterests = append(r.prefixInterests, index)
		} else {
			if _, duplicate := r.exactInterests[s.Scope]; duplicate {
				continue
			}
			r.exactInterests[s.Scope] = index
		}
		r.interests = append(r.interests, interest{scope: s.Scope, prefix: s.Prefix})
		r.unshared = append(r.unshared, index)
	}
	if len(r.prefixInterests) > MaxPrefixes {
		return limitError("prefixes of a subscriber", MaxPrefixes, len(r.prefixInterests))
	}
	return nil
}

// newHello starts a session. It invalidates frames and unfinished snapshots of the previous session.
func (r *replica) newHello() []byte {
	r.session++
	r.lastFrame = 0
	r.sessionVoid = false
	h := hello{
		Protocol:  protocolVersion,
		Session:   r.session,
		EpochSeen: r.epochSeen,
		Epoch:     r.sharedPosition.Epoch,
		Through:   r.sharedPosition.Through,
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
			s.Epoch = n.position.Epoch
			s.Through = n.position.Through
		}
		h.Selectors[i] = s
	}
	return encode(h)
}

func (r *replica) syncStateOf(n *interest) syncState {
	if n.shared {
		return syncState{r.sharedPosition, r.sharedAsOfNs, n.complete}
	}
	return syncState{n.position, n.asOfNs, n.complete}
}

// scopeSyncState returns the most advanced state of a scope among the interests that cover it. exact is the index of
// the interest in exactly this scope, or noInterest.
func (r *replica) scopeSyncState(scopeName string, exact int32) syncState {
	var best syncState
	consider := func(n *interest) {
		state := r.syncStateOf(n)
		if !state.complete {
			return
		}
		order := state.position.compare(best.position)
		if !best.complete || order > 0 || order == 0 && state.asOfNs > best.asOfNs {
			best = state
		}
	}
	if exact != noInterest {
		consider(&r.interests[exact])
	}
	for _, i := range r.prefixInterests {
		if strings.HasPrefix(scopeName, r.interests[i].scope) {
			consider(&r.interests[i])
		}
	}
	return best
}

// minSyncState returns the state that all interests have reached. It is complete if all interests are complete and none
// is in a snapshot.
func (r *replica) minSyncState() syncState {
	if len(r.interests) == 0 {
		return syncState{}
	}
	least := syncState{r.sharedPosition, r.sharedAsOfNs, true}
	for k, i := range r.unshared {
		n := &r.interests[i]
		if n.inSnapshot || !n.complete {
			return syncState{}
		}
		if k == 0 && len(r.unshared) == len(r.interests) {
			least.position, least.asOfNs = n.position, n.asOfNs
		}
		if n.position.compare(least.position) < 0 {
			least.position = n.position
		}
		least.asOfNs = min(least.asOfNs, n.asOfNs)
	}
	return least
}

// exactInterest returns the index of the interest in exactly one scope, or noInterest.
func (r *replica) exactInterest(scopeName string) int32 {
	if i, ok := r.exactInterests[scopeName]; ok {
		return i
	}
	return noInterest
}

func (r *replica) covers(scopeName string) bool {
	return r.exactInterest(scopeName) != noInterest || r.prefixCovers(scopeName)
}

func (r *replica) prefixCovers(scopeName string) bool {
	return slices.ContainsFunc(r.prefixInterests, func(i int32) bool {
		return strings.HasPrefix(scopeName, r.interests[i].scope)
	})
}

// includes reports whether the interests cover all scopes that a selector selects.
func (r *replica) includes(scopeName string, prefix bool) bool {
	if prefix {
		return r.prefixCovers(scopeName)
	}
	return r.covers(scopeName)
}

// unshare gives an interest a position of its own.
func (r *replica) unshare(index int32) {
	n := &r.interests[index]
	if !n.shared {
		return
	}
	n.shared = false
	n.position = r.sharedPosition
	n.asOfNs = r.sharedAsOfNs
	r.unshared = append(r.unshared, index)
}

// resetPositions clears the positions of the interests that cover a scope, so that the relay sends all of their records
// again with bodies. It is called when the relay assumed that a record is held that is not.
func (r *replica) resetPositions(scopeName string) {
	for i := range r.interests {
		if n := &r.interests[i]; n.covers(scopeName) {
			r.unshare(int32(i))
			n.position = Position{}
		}
	}
}

// advance applies the position that a frame advertises: all interests except those in f.Except have reached it.
func (r *replica) advance(now int64, f *frame) error {
	position := Position{f.Epoch, f.Through}
	except := make(map[uint32]bool, len(f.Except))
	for _, i := range f.Except {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: except: expected a selector below %d, found %d", ErrBadFrame, len(r.interests), i)
		}
		except[i] = true
	}
	if position.Epoch != r.sharedPosition.Epoch {
		for i := range r.interests {
			r.unshare(int32(i))
		}
		r.sharedPosition = position
		r.sharedAsOfNs = now - f.Age
	}
	if position.compare(r.sharedPosition) < 0 {
		return nil // this relay is behind the previous one: its position adds nothing yet
	}
	for _, i := range f.Except {
		r.unshare(int32(i))
	}
	r.sharedPosition = position
	r.sharedAsOfNs = max(r.sharedAsOfNs, now-f.Age)
	stillUnshared := r.unshared[:0]
	for _, i := range r.unshared {
		n := &r.interests[i]
		n.shared = !n.inSnapshot && !except[uint32(i)] &&
			n.position.Epoch == position.Epoch && n.position.compare(position) <= 0
		if !n.shared {
			stillUnshared = append(stillUnshared, i)
		}
	}
	r.unshared = stillUnshared
	return nil
}
