package distribution

import "slices"

const (
	minPacedRecordsBytes = 1024 // minimum space for records in a frame, however low the pace
	paceFramesPerSecond  = 8    // a frame holds at most 1/paceFramesPerSecond of the bytes allowed in a second
	snapshotEventBytes   = 3    // size of an entry in Begin or End
	recordOverheadBytes  = 20   // maximum encoding overhead of a record
	groupOverheadBytes   = 8    // maximum encoding overhead of a group
	nanosPerSecond       = int64(1e9)
)

// Next returns the next frame for a subscriber, or nil if none is due. If it returns nil, the caller must call again at
// the time at, or earlier if Ready returns the subscriber.
func (r *Relay) Next(now int64, id int) (out []byte, at int64) {
	s := r.sessions[id]
	if s == nil {
		return nil, now + HeartbeatNs
	}
	heartbeatAt := s.lastSentNs + HeartbeatNs
	heartbeatDue := now >= heartbeatAt
	pending := s.hasQueued()
	withinPace := s.bytesPerSecond == 0 || s.pacedUntilNs-BurstNs <= now
	if pending && !withinPace && !heartbeatDue {
		return nil, min(s.pacedUntilNs-BurstNs, heartbeatAt)
	}
	w := newFrameWriter(r, s)
	if pending && withinPace {
		w.fill()
	}
	w.addPosition(now, heartbeatDue)
	if !heartbeatDue && !w.hasContent() {
		return nil, heartbeatAt
	}
	return w.finish(now), now
}

// frameWriter builds one frame for a subscriber.
type frameWriter struct {
	relay          *Relay
	session        *session
	frame          frame
	remainingBytes int  // estimated space left for records
	full           bool // the records of a feed did not fit, so it was queued again
}

func newFrameWriter(r *Relay, s *session) *frameWriter {
	w := &frameWriter{
		relay:          r,
		session:        s,
		frame:          frame{Session: s.clientSession, Epoch: r.epoch},
		remainingBytes: maxRecordsBytes,
	}
	if s.bytesPerSecond > 0 {
		w.remainingBytes = int(min(max(s.bytesPerSecond/paceFramesPerSecond, minPacedRecordsBytes), maxRecordsBytes))
	}
	return w
}

// fill takes feeds from the queues, class by class, until the frame is full.
func (w *frameWriter) fill() {
	s := w.session
	for queue := range queueCount {
		for n := s.queues[queue].len(); n > 0 && (queue == endQueue || !w.full); n-- {
			index := s.queues[queue].pop()
			f := &s.feeds[index]
			s.setState(f, f.state, f.queued&^(1<<queue))
			w.writeFeed(f, index, queue)
		}
	}
}

// writeFeed writes the unsent records of one class of a feed, and the end of its snapshot after the last record.
func (w *frameWriter) writeFeed(f *feed, index int32, queue int) {
	if f.state == feedWaiting {
		return
	}
	if f.state == feedSnapshotPending && !w.writeBegin(f, index) {
		w.requeue(index, queue)
		return
	}
	if queue < endQueue && !w.writeRecords(f, Class(queue)) {
		w.requeue(index, queue)
		return
	}
	if f.queued&recordQueues == 0 && f.state == feedSnapshot && w.relay.complete {
		w.writeEnd(f, index)
	}
}

func (w *frameWriter) requeue(index int32, queue int) {
	w.full = true
	w.session.enqueue(w.relay, index, queue)
}

func (w *frameWriter) writeBegin(f *feed, index int32) (written bool) {
	if len(w.frame.Begin) == maxSnapshotEvents || w.remainingBytes <= 0 {
		return false
	}
	w.frame.Begin = append(w.frame.Begin, uint32(index))
	w.remainingBytes -= snapshotEventBytes
	f.snapshotSeq = w.relay.seq
	w.session.setState(f, feedSnapshot, f.queued)
	return true
}

func (w *frameWriter) writeEnd(f *feed, index int32) {
	if len(w.frame.End) == maxSnapshotEvents || w.remainingBytes <= 0 {
		w.session.enqueue(w.relay, index, endQueue)
		return
	}
	w.frame.End = append(w.frame.End, uint32(index))
	w.remainingBytes -= snapshotEventBytes
	f.position = w.relay.advertised
	w.session.setState(f, feedDelta, f.queued&^(1<<endQueue))
}

// writeRecords writes the records of one class of a feed after the feed's cursor. It reports whether all of them fit.
func (w *frameWriter) writeRecords(f *feed, class Class) (allFit bool) {
	allFit = true
	w.relay.ascendRecords(f, class, func(held *item) bool {
		if w.needsRecord(f, held) && !w.writeRecord(f, held) {
			allFit = false
			return false
		}
		f.cursor[class] = held.seq
		return true
	})
	return allFit
}

// needsRecord reports whether an item must be sent to a feed. Only items of the relay's epoch are sent: in a snapshot
// all except the tombstones from before the snapshot began, in a delta those newer than the feed's position.
func (w *frameWriter) needsRecord(f *feed, held *item) bool {
	if held.epoch != w.relay.epoch {
		return false
	}
	if f.state == feedSnapshot {
		return !held.deleted || held.seq > f.snapshotSeq
	}
	return held.position().compare(f.position) > 0
}

func (w *frameWriter) writeRecord(f *feed, held *item) (written bool) {
	out := record{Key: held.key, Flags: uint8(held.class), Version: held.version, Body: held.body}
	if held.deleted {
		out.Flags |= flagDeleted
	} else if f.state == feedSnapshot && f.position.Epoch == held.epoch && held.position().compare(f.position) <= 0 {
		out.Flags |= flagKeyOnly
		out.Body = nil
	}
	groups := w.frame.Groups
	size := len(out.Key) + len(out.Body) + recordOverheadBytes
	newGroup := len(groups) == 0 || groups[len(groups)-1].Scope != held.scope.name
	if newGroup {
		size += len(held.scope.name) + groupOverheadBytes
	}
	if size > w.remainingBytes && len(groups) > 0 {
		return false
	}
	if newGroup {
		w.frame.Groups = append(w.frame.Groups, recordGroup{Scope: held.scope.name})
	}
	group := &w.frame.Groups[len(w.frame.Groups)-1]
	group.Records = append(group.Records, out)
	w.remainingBytes -= size
	w.relay.stats.SentRecords++
	if out.Flags&flagKeyOnly != 0 {
		w.relay.stats.SentKeysOnly++
	}
	return true
}

// addPosition adds the position that the subscriber has reached after this frame. Only a complete relay advertises a
// position, and only for feeds without unsent records; a heartbeat lists the other feeds in Except. Feeds in state
// feedWaiting count as behind but are in no queue, so no position is advertised for all selectors while there are any.
func (w *frameWriter) addPosition(now int64, heartbeatDue bool) {
	r, s := w.relay, w.session
	if !r.complete {
		return
	}
	if s.feedsBehind > 0 && heartbeatDue && s.feedsBehind <= maxExcept {
		w.frame.Except = s.queuedFeeds()
	}
	w.frame.All = len(w.frame.Except) == s.feedsBehind
	if !w.frame.All {
		w.frame.Except = nil
	}
	if w.frame.All || w.frame.End != nil {
		w.frame.Through = r.advertised.Through
		w.frame.Age = max(0, now-r.asOfNs(now))
	}
}

// queuedFeeds returns the indexes of all feeds that are in a queue.
func (s *session) queuedFeeds() []uint32 {
	var feeds []uint32
	for i := range s.queues {
		queue := &s.queues[i]
		for _, index := range queue.list[queue.head:] {
			if !slices.Contains(feeds, uint32(index)) {
				feeds = append(feeds, uint32(index))
			}
		}
	}
	return feeds
}

// hasContent reports whether the frame carries anything new to the subscriber.
func (w *frameWriter) hasContent() bool {
	newEpoch := w.frame.All && w.session.advertised.Epoch != w.relay.epoch
	return w.frame.Begin != nil || w.frame.Groups != nil || w.frame.End != nil || newEpoch
}

// finish numbers and encodes the frame, and charges it to the subscriber's pace.
func (w *frameWriter) finish(now int64) []byte {
	r, s := w.relay, w.session
	s.lastFrame++
	w.frame.Number = s.lastFrame
	if w.frame.All && w.frame.Except == nil {
		s.advertised = r.advertised
	}
	out := encode(&w.frame)
	s.lastSentNs = now
	if s.bytesPerSecond > 0 {
		s.pacedUntilNs = max(s.pacedUntilNs, now) + int64(len(out))*nanosPerSecond/s.bytesPerSecond
	}
	r.stats.Sent++
	r.stats.SentBytes += int64(len(out))
	return out
}
