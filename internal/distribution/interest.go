package distribution

import (
	"fmt"
	"slices"
	"strings"
)

// interest is a selector of a replica, and up to where its scopes are known. Interests that are up to date share the
// replica's position, so that a heartbeat costs the same for any number of them; the others are lagging.
type interest struct {
	scope        string
	prefix       bool
	complete     bool     // it has had a snapshot
	shared       bool     // its position is the replica's sharedPosition
	inSnapshot   bool     // a snapshot has begun and not ended
	snapshotMark uint32   // the replica's mark when that began
	position     Position // while it is not shared
	asOfNs       int64
}

func (n *interest) covers(scope string) bool {
	return Selector{Scope: n.scope, Prefix: n.prefix}.covers(scope)
}

// knowledge is up to where all changes are known.
type syncState struct {
	position Position
	asOfNs   int64 // when that was current
	complete bool
}

func (r *replica) addSelectors(selectors []Selector) error {
	if len(selectors) > r.limits.Selectors {
		return limitError("selectors of a subscriber", r.limits.Selectors, len(selectors))
	}
	for i, s := range selectors {
		if len(s.Scope) > MaxNameBytes || s.Scope == "" && !s.Prefix {
			return fmt.Errorf("distribution: selector %d: a name of 1 to %d bytes expected, found %d",
				i, MaxNameBytes, len(s.Scope))
		}
		index := int32(len(r.interests))
		if s.Prefix {
			r.prefixInterests = append(r.prefixInterests, index)
		} else {
			if _, twice := r.exactInterests[s.Scope]; twice {
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

// newHello begins a session. Frames and unfinished snapshots of the session before are void.
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

// known returns up to where a scope is known by any interest. exact is the index of the interest in it alone, or
// noInterest.
func (r *replica) scopeSyncState(scopeName string, exact int32) syncState {
	var best syncState
	consider := func(n *interest) {
		known := r.syncStateOf(n)
		if !known.complete {
			return
		}
		order := known.position.compare(best.position)
		if !best.complete || order > 0 || order == 0 && known.asOfNs > best.asOfNs {
			best = known
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

// minSyncState returns up to where all interests are known. It is complete if all of them are, and none is in a snapshot.
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

// exactInterest returns the index of the interest in one scope alone, or noInterest.
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

// includes reports whether all that a selector names is covered.
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

// resetPositions has the interests that cover a scope sent once more with bodies: what the relay took for held is not.
func (r *replica) resetPositions(scopeName string) {
	for i := range r.interests {
		if n := &r.interests[i]; n.covers(scopeName) {
			r.unshare(int32(i))
			n.position = Position{}
		}
	}
}

// advance takes in a frame's claim: all interests but the excepted ones know all changes up to its position.
func (r *replica) advance(now int64, f *frame) error {
	position := Position{f.Epoch, f.Through}
	except := make(map[uint32]bool, len(f.Except))
	for _, i := range f.Except {
		if int(i) >= len(r.interests) {
			return fmt.Errorf("%w: except: a selector under %d expected, found %d", ErrBadFrame, len(r.interests), i)
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
		return nil // this relay is behind the one before, and has nothing to say yet
	}
	for _, i := range f.Except {
		r.unshare(int32(i))
	}
	r.sharedPosition = position
	r.sharedAsOfNs = max(r.sharedAsOfNs, now-f.Age)
	lagging := r.unshared[:0]
	for _, i := range r.unshared {
		n := &r.interests[i]
		n.shared = !n.inSnapshot && !except[uint32(i)] &&
			n.position.Epoch == position.Epoch && n.position.compare(position) <= 0
		if !n.shared {
			lagging = append(lagging, i)
		}
	}
	r.unshared = lagging
	return nil
}
