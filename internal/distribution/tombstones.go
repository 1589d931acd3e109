package distribution

import "slices"

// A tombstone is the item of a deleted record. A relay keeps a bounded number of tombstones, so that it can send
// deletions to subscribers that resume; a subscriber drops a tombstone once its position has passed it.

// tombstoneRef is the place of a tombstone in a relay's order. It is void once the record has changed again.
type tombstoneRef struct {
	item *item
	seq  uint64
}

func (t tombstoneRef) void() bool { return !t.item.deleted || t.item.seq != t.seq }

// pruneTombstones drops a relay's oldest tombstones beyond its limit. Subscribers at positions before a dropped
// tombstone can no longer resume with a delta.
func (r *Relay) pruneTombstones() {
	dropped := 0
	for ; r.replica.tombstones > r.limits.Tombstones && dropped < len(r.tombstones); dropped++ {
		tombstone := r.tombstones[dropped]
		held := tombstone.item
		if tombstone.void() || r.replica.find(held.scope.name, held.key) != held {
			continue
		}
		if held.position().compare(r.advertised) > 0 {
			break // not advertised yet: another upstream may still send an older state of this record
		}
		if held.epoch == r.epoch {
			r.raiseFloor(tombstone)
		}
		r.replica.remove(held)
	}
	r.tombstones = r.tombstones[dropped:]
	if len(r.tombstones) > 2*r.replica.tombstones+64 {
		r.tombstones = slices.Clip(slices.DeleteFunc(r.tombstones, tombstoneRef.void))
	}
}

// raiseFloor raises the floor to a tombstone that is dropped, and starts snapshots for the feeds to which it was not
// sent.
func (r *Relay) raiseFloor(tombstone tombstoneRef) {
	held := tombstone.item
	r.forEachFeed(held, func(s *session, index int32) {
		f := &s.feeds[index]
		unsent := f.queued&(1<<held.class) != 0 && f.cursor[held.class] < tombstone.seq
		if unsent && (f.state == feedDelta || f.state == feedSnapshot && tombstone.seq > f.snapshotSeq) {
			r.startSnapshot(s, index)
		}
	})
	if r.floor.compare(held.position()) < 0 {
		r.floor = held.position()
	}
}

// dropTombstones drops the tombstones that a subscriber's position has passed. They are no longer needed: a record that
// is not held and not newer than the position counts as deleted.
func (r *replica) dropTombstones() {
	if r.keepsTombstones || len(r.pendingTombstones) == 0 {
		return
	}
	kept := r.pendingTombstones[:0]
	for _, held := range r.pendingTombstones {
		if !held.deleted {
			held.seq = 0
			continue
		}
		if held.position().compare(r.scopeSyncState(held.scope.name, held.scope.exactInterest).position) <= 0 {
			r.remove(held)
		} else {
			kept = append(kept, held)
		}
	}
	clear(r.pendingTombstones[len(kept):])
	r.pendingTombstones = kept
	if len(kept) == 0 {
		r.pendingTombstones = nil
	}
}
