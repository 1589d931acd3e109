package distribution

import "slices"

// A tombstone is an item of a deleted record. A relay keeps a bounded number of them, so that subscribers that resume
// learn of the deletion; a subscriber drops them once its position has passed them.

// tombstoneRef is a tombstone's place in a relay's order; void once the record has changed again.
type tombstoneRef struct {
	item *item
	seq  uint64
}

func (t tombstoneRef) void() bool { return !t.item.deleted || t.item.seq != t.seq }

// pruneTombstones drops a relay's oldest tombstones beyond its limit, and with them the possibility to resume before
// them.
func (r *Relay) pruneTombstones() {
	dropped := 0
	for ; r.replica.tombstones > r.limits.Tombstones && dropped < len(r.tombstones); dropped++ {
		tombstone := r.tombstones[dropped]
		it := tombstone.item
		if tombstone.void() || r.replica.find(it.scope.name, it.key) != it {
			continue
		}
		if it.position().compare(r.advertised) > 0 {
			break // another relay may still send an older state of what this one can't claim to know
		}
		if it.epoch == r.epoch {
			r.raiseFloor(tombstone)
		}
		r.replica.remove(it)
	}
	r.tombstones = r.tombstones[dropped:]
	if len(r.tombstones) > 2*r.replica.tombstones+64 {
		r.tombstones = slices.Clip(slices.DeleteFunc(r.tombstones, tombstoneRef.void))
	}
}

// raiseFloor starts snapshots for feeds that were not yet sent a tombstone that is dropped.
func (r *Relay) raiseFloor(tombstone tombstoneRef) {
	it := tombstone.item
	r.forEachFeed(it, func(s *session, index int32) {
		f := &s.feeds[index]
		unsent := f.queued&(1<<it.class) != 0 && f.cursor[it.class] < tombstone.seq
		if unsent && (f.state == feedDelta || f.state == feedSnapshot && tombstone.seq > f.snapshotSeq) {
			r.startSnapshot(s, index)
		}
	})
	if r.floor.compare(it.position()) < 0 {
		r.floor = it.position()
	}
}

// dropTombstones drops a subscriber's tombstones that its position has passed: a record that is not held, and not newer
// than the position, is deleted by that alone.
func (r *replica) dropTombstones() {
	if r.keepsTombstones || len(r.pendingTombstones) == 0 {
		return
	}
	kept := r.pendingTombstones[:0]
	for _, it := range r.pendingTombstones {
		if !it.deleted {
			it.seq = 0
			continue
		}
		if it.position().compare(r.scopeSyncState(it.scope.name, it.scope.exactInterest).position) <= 0 {
			r.remove(it)
		} else {
			kept = append(kept, it)
		}
	}
	clear(r.pendingTombstones[len(kept):])
	r.pendingTombstones = kept
	if len(kept) == 0 {
		r.pendingTombstones = nil
	}
}
