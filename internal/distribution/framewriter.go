package distribution

import "slices"

const (
	minPacedRecordsBytes = 1024 // of records in a frame, at the lowest paces
	paceFramesPerSecond  = 8    // a frame holds at most this part of a second's bytes
	snapshotEventBytes   = 3    // of an entry in Begin or End
	recordOverheadBytes  = 20   // of a record in a frame, at most
	groupOverheadBytes   = 8    // of a group in a frame, at most
	nanosPerSecond       = int64(1e9)
)

// Next returns the next frame to a subscriber, or nil. Without a frame, at is when to call again; earlier once Ready
// names the subscriber.
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

// frameWriter builds one frame to a subscriber.
type frameWriter struct {
	relay          *Relay
	session        *session
	frame          frame
	remainingBytes int  // left for records, by estimate
	full           bool // a feed had to be queued again
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

// writeFeed writes what a feed lacks of a class, and where that was the last of a snapshot, its end.
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

// writeRecords writes the records of a feed's class after its cursor; false: some are left.
func (w *frameWriter) writeRecords(f *feed, class Class) (all bool) {
	all = true
	w.relay.ascendRecords(f, class, func(it *item) bool {
		if w.needsRecord(f, it) && !w.writeRecord(f, it) {
			all = false
			return false
		}
		f.cursor[class] = it.seq
		return true
	})
	return all
}

// needs reports whether a feed is to be sent an item: one of this epoch, in a snapshot all but the tombstones from
// before it began, in a delta what is newer than the position.
func (w *frameWriter) needsRecord(f *feed, it *item) bool {
	if it.epoch != w.relay.epoch {
		return false
	}
	if f.state == feedSnapshot {
		return !it.deleted || it.seq > f.snapshotSeq
	}
	return it.position().compare(f.position) > 0
}

func (w *frameWriter) writeRecord(f *feed, it *item) (written bool) {
	out := record{Key: it.key, Flags: uint8(it.class), Version: it.version, Body: it.body}
	if it.deleted {
		out.Flags |= flagDeleted
	} else if f.state == feedSnapshot && f.position.Epoch == it.epoch && it.position().compare(f.position) <= 0 {
		out.Flags |= flagKeyOnly
		out.Body = nil
	}
	groups := w.frame.Groups
	size := len(out.Key) + len(out.Body) + recordOverheadBytes
	newGroup := len(groups) == 0 || groups[len(groups)-1].Scope != it.scope.name
	if newGroup {
		size += len(it.scope.name) + groupOverheadBytes
	}
	if size > w.remainingBytes && len(groups) > 0 {
		return false
	}
	if newGroup {
		w.frame.Groups = append(w.frame.Groups, recordGroup{Scope: it.scope.name})
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

// addPosition adds up to where the subscriber then knows all changes. Only a relay that is complete claims anything, and
// only for feeds that lack nothing: those that do are excepted, in a heartbeat. Feeds that wait for an epoch are
// unsettled and in no queue, so that nothing is claimed beside them.
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

// hasContent reports whether the frame says anything that the subscriber doesn't know.
func (w *frameWriter) hasContent() bool {
	newEpoch := w.frame.All && w.session.advertised.Epoch != w.relay.epoch
	return w.frame.Begin != nil || w.frame.Groups != nil || w.frame.End != nil || newEpoch
}

// finish numbers and encodes the frame.
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
