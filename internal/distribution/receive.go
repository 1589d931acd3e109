package distribution

import "fmt"

// A replica processes a frame in this order: it begins snapshots, applies records, ends snapshots and advances its
// positions. An older state never replaces a newer one. Only a snapshot that was received to its end, within one
// session, deletes the records that it did not contain.

// receive applies a frame. After an error it ignores further frames of the session.
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
		r.markInvalid(scope, fmt.Sprintf("scope %q: record can't be decoded", scope))
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

// isNextFrame reports whether a frame must be applied: it is the next one of this session, and its epoch is not older
// than the highest one seen.
func (r *replica) isNextFrame(f *frame) (bool, error) {
	if r.sessionVoid || f.Session != r.session || f.Number <= r.lastFrame {
		r.stats.StaleFrames++
		return false, nil
	}
	if f.Number != r.lastFrame+1 {
		return false, fmt.Errorf("%w: expected number %d, found %d", ErrFrameGap, r.lastFrame+1, f.Number)
	}
	r.lastFrame++
	if f.Epoch == 0 || f.Epoch < r.epochSeen {
		hasContent := len(f.Groups)+len(f.Begin)+len(f.End) > 0
		if f.Epoch != 0 || hasContent { // otherwise it is a heartbeat of a relay that has no epoch yet
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
			return fmt.Errorf("%w: begin: expected a selector below %d, found %d", ErrBadFrame, len(r.interests), i)
		}
		r.unshare(int32(i))
		r.interests[i].inSnapshot = true
		r.interests[i].snapshotMark = r.mark
	}
	return nil
}

// markInvalid counts a record of a scope, or with "" a whole group, that could not be decoded. Snapshots in progress
// then delete no records of that scope, or with "" no records at all, since the invalid record may have been any of
// them.
func (r *replica) markInvalid(scopeName, description string) {
	r.stats.InvalidRecords++
	r.stats.LastInvalid = description
	if scopeName == "" {
		r.invalidGroupMark = r.mark
	} else if s := r.scopes[scopeName]; s != nil {
		s.invalidMark = r.mark
	}
}

func (r *replica) applyGroup(f *frame, group *recordGroup) error {
	if group.Scope == "" || len(group.Scope) > MaxNameBytes {
		r.markInvalid("", fmt.Sprintf("scope %.64q: expected a name of 1 to %d bytes, found %d",
			group.Scope, MaxNameBytes, len(group.Scope)))
		return nil
	}
	if !r.covers(group.Scope) {
		r.stats.ForeignRecords += int64(len(group.Records))
		return nil
	}
	for i := range group.Records {
		received := &group.Records[i]
		if !received.valid() {
			r.markInvalid(group.Scope, fmt.Sprintf("scope %q, key %.64q: invalid record: flags %#x, version %d, %d bytes",
				group.Scope, received.Key, received.Flags, received.Version, len(received.Body)))
			continue
		}
		if err := r.applyRecord(f.Epoch, group.Scope, received); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies a record if it is newer than the state held. A record that is not held, and not newer than the
// position of its scope, has been deleted and is ignored.
func (r *replica) applyRecord(epoch uint64, scopeName string, received *record) error {
	position := Position{epoch, received.Version}
	held := r.find(scopeName, received.Key)
	if received.Flags&flagKeyOnly != 0 {
		return r.confirmRecord(held, scopeName, received.Key, position)
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
	return r.upsert(held, scopeName, received.Key, itemState{
		class:    received.class(),
		position: position,
		deleted:  received.Flags&flagDeleted != 0,
		body:     received.Body,
	})
}

// confirmRecord handles a record sent without its body: the relay assumes, from the replica's position, that the
// replica holds it. If the replica doesn't, it clears the positions of the scope and fails.
func (r *replica) confirmRecord(held *item, scopeName, key string, position Position) error {
	if held == nil || held.position().compare(position) < 0 {
		r.resetPositions(scopeName)
		return fmt.Errorf("%w: scope %q, key %q, version %d", ErrMissingRecord, scopeName, key, position.Through)
	}
	held.mark = r.mark
	r.stats.Repeated++
	return nil
}

// endSnapshots ends snapshots: it deletes records that they did not contain and that are not newer than their position.
func (r *replica) endSnapshots(now int64, f *frame) error {
	for _, i := range f.End {
		if int(i) >= len(r.interests) || !r.interests[i].inSnapshot {
			return fmt.Errorf("%w: end: expected a selector whose snapshot has begun, found %d", ErrBadFrame, i)
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

// sweep deletes the records that a snapshot of an interest, at a position, did not contain.
func (r *replica) sweep(n *interest, position Position) error {
	if r.invalidGroupMark >= n.snapshotMark {
		return nil // a group could not be decoded, and may have contained any of the records
	}
	for _, held := range r.absentFromSnapshot(n, position) {
		r.stats.Swept++
		if held.epoch != position.Epoch && r.keepsTombstones {
			r.remove(held) // not sent to any subscriber in this epoch, so that none needs a tombstone
			continue
		}
		state := itemState{class: held.class.whenDeleted(), position: position, deleted: true, swept: true}
		if err := r.upsert(held, held.scope.name, held.key, state); err != nil {
			return err
		}
	}
	return nil
}

// absentFromSnapshot returns the live items of an interest that are not newer than a position and that no frame has
// contained since the snapshot of the interest began.
func (r *replica) absentFromSnapshot(n *interest, position Position) []*item {
	var items []*item
	r.probeScope.name = n.scope
	r.probe.scope = &r.probeScope
	r.probe.key = ""
	r.items.AscendGreaterOrEqual(&r.probe, func(held *item) bool {
		if !n.covers(held.scope.name) {
			return false
		}
		contained := held.mark >= n.snapshotMark || held.scope.invalidMark >= n.snapshotMark
		if !held.deleted && !contained && held.position().compare(position) <= 0 {
			items = append(items, held)
		}
		return true
	})
	return items
}
