package distribution

import "fmt"

// What a replica does with a frame: it begins snapshots, applies records, ends snapshots and advances its positions,
// in this order. An older state never replaces a newer one, and only a snapshot that came to its end, in one session,
// deletes what it did not name.

// receive applies a frame. After an error the session is void.
func (r *replica) receive(now int64, b []byte) error {
	err := r.receiveFrame(now, b)
	if err != nil {
		r.sessionVoid = true
	}
	return err
}

func (r *replica) receiveFrame(now int64, b []byte) error {
	r.stats.Frames++
	r.stats.FrameBytes += int64(len(b))
	var invalidScopes []string
	f, err := decodeFrame(b, func(scope string) { invalidScopes = append(invalidScopes, scope) })
	if err != nil {
		return err
	}
	isNext, err := r.isNextFrame(f)
	if err != nil || !isNext {
		return err
	}
	f.Age = max(0, f.Age)
	if err := r.beginSnapshots(f); err != nil {
		return err
	}
	for _, scope := range invalidScopes {
		r.markInvalid(scope, fmt.Sprintf("scope %q: a record that can't be read", scope))
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

// isNextFrame reports whether a frame is to be applied: the next of this session, of no older epoch than seen.
func (r *replica) isNextFrame(f *frame) (bool, error) {
	if r.sessionVoid || f.Session != r.session || f.Number <= r.lastFrame {
		r.stats.StaleFrames++
		return false, nil
	}
	if f.Number != r.lastFrame+1 {
		return false, fmt.Errorf("%w: number %d expected, found %d", ErrFrameGap, r.lastFrame+1, f.Number)
	}
	r.lastFrame++
	if f.Epoch == 0 || f.Epoch < r.epochSeen {
		hasContent := len(f.Groups)+len(f.Begin)+len(f.End) > 0
		if f.Epoch != 0 || hasContent { // else a heartbeat of a relay that has not seen an epoch
			r.stats.StaleFrames++
		}
		return false, nil
	}
	if f.Epoch > r.epochSeen {
		r.epochSeen = f.Epoch
		r.maxSnapshotEnd = 0
	}
	return true, nil
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
		r.interests[i].inSnapshot = true
		r.interests[i].snapshotMark = r.mark
	}
	return nil
}

// markInvalid records that a record of a scope, or with "" a whole group, could not be decoded: snapshots that are
// under way delete nothing of it.
func (r *replica) markInvalid(scopeName, description string) {
	r.stats.InvalidRecords++
	r.stats.LastInvalid = description
	if scopeName == "" {
		r.invalidGroupMark = r.mark
	} else if s := r.scopes[scopeName]; s != nil {
		s.invalidMark = r.mark
	}
}

func (r *replica) applyGroup(f *frame, g *recordGroup) error {
	if g.Scope == "" || len(g.Scope) > MaxNameBytes {
		r.markInvalid("", fmt.Sprintf("scope %.64q: a name of 1 to %d bytes expected, found %d",
			g.Scope, MaxNameBytes, len(g.Scope)))
		return nil
	}
	if !r.covers(g.Scope) {
		r.stats.ForeignRecords += int64(len(g.Records))
		return nil
	}
	for i := range g.Records {
		in := &g.Records[i]
		if !in.valid() {
			r.markInvalid(g.Scope, fmt.Sprintf("scope %q, key %.64q: flags %#x, version %d, %d bytes",
				g.Scope, in.Key, in.Flags, in.Version, len(in.Body)))
			continue
		}
		if err := r.applyRecord(f.Epoch, g.Scope, in); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies a record if it is newer than what is held. One that is not held, and not newer than what is
// known of its scope, has been deleted.
func (r *replica) applyRecord(epoch uint64, scopeName string, in *record) error {
	position := Position{epoch, in.Version}
	held := r.find(scopeName, in.Key)
	if in.Flags&flagKeyOnly != 0 {
		return r.confirmRecord(held, scopeName, in.Key, position)
	}
	if held != nil {
		switch order := held.position().compare(position); {
		case order == 0:
			held.mark = r.mark
			r.stats.Repeated++
			return nil
		case order > 0:
			r.stats.Stale++
			return nil
		}
	} else if position.compare(r.scopeSyncState(scopeName, r.exactInterest(scopeName)).position) <= 0 {
		r.stats.Stale++
		return nil
	}
	r.stats.Applied++
	return r.upsert(held, scopeName, in.Key, itemState{
		class:    in.class(),
		position: position,
		deleted:  in.Flags&flagDeleted != 0,
		body:     in.Body,
	})
}

// confirmRecord takes in that a record is as the replica's position says. If it is not held, the relay is mistaken.
func (r *replica) confirmRecord(held *item, scopeName, key string, position Position) error {
	if held == nil || held.position().compare(position) < 0 {
		r.resetPositions(scopeName)
		return fmt.Errorf("%w: scope %q, key %q, version %d", ErrMissingRecord, scopeName, key, position.Through)
	}
	held.mark = r.mark
	r.stats.Repeated++
	return nil
}

// endSnapshots ends snapshots: what they did not name, and is not newer than their position, is deleted.
func (r *replica) endSnapshots(now int64, f *frame) error {
	for _, i := range f.End {
		if int(i) >= len(r.interests) || !r.interests[i].inSnapshot {
			return fmt.Errorf("%w: end: a selector that has begun expected, found %d", ErrBadFrame, i)
		}
		n := &r.interests[i]
		position := Position{f.Epoch, f.Through}
		n.inSnapshot = false
		if err := r.sweep(n, position); err != nil {
			return err
		}
		if !n.complete {
			n.complete = true
			r.completeInterests++
		}
		if position.compare(n.position) > 0 {
			n.position = position
		}
		n.asOfNs = max(n.asOfNs, now-f.Age)
		r.maxSnapshotEnd = max(r.maxSnapshotEnd, f.Through)
	}
	return nil
}

// sweep deletes what a snapshot of an interest, at a position, did not name.
func (r *replica) sweep(n *interest, position Position) error {
	if r.invalidGroupMark >= n.snapshotMark {
		return nil // a group could not be decoded, and may have named anything
	}
	for _, it := range r.absentFromSnapshot(n, position) {
		r.stats.Swept++
		if it.epoch != position.Epoch && r.keepsTombstones {
			r.remove(it) // no subscriber was sent it in this epoch, so none needs a tombstone
			continue
		}
		state := itemState{class: it.class.whenDeleted(), position: position, deleted: true, swept: true}
		if err := r.upsert(it, it.scope.name, it.key, state); err != nil {
			return err
		}
	}
	return nil
}

// unnamed returns the live items of an interest that are not newer than a position and were not named since its
// snapshot began.
func (r *replica) absentFromSnapshot(n *interest, position Position) []*item {
	var items []*item
	r.probeScope.name = n.scope
	r.probe.scope = &r.probeScope
	r.probe.key = ""
	r.items.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		if !n.covers(it.scope.name) {
			return false
		}
		named := it.mark >= n.snapshotMark || it.scope.invalidMark >= n.snapshotMark
		if !it.deleted && !named && it.position().compare(position) <= 0 {
			items = append(items, it)
		}
		return true
	})
	return items
}
