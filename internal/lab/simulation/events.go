package simulation

// event is an action at a virtual time.
type event struct {
	at     int64
	seq    uint64
	action func()
}

// eventQueue is the virtual clock and the events that are scheduled on it.
type eventQueue struct {
	now     int64
	seq     uint64
	events  []event // min-heap by at, then seq
	handled uint64
}

func (q *eventQueue) less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// at schedules an event. An event in the past runs at the current time, after all events that are already due. Events
// at the same time run in the order in which they were scheduled.
func (q *eventQueue) at(when int64, action func()) {
	q.seq++
	q.events = append(q.events, event{max(when, q.now), q.seq, action})
	for i := len(q.events) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.less(i, up) {
			break
		}
		q.events[i], q.events[up] = q.events[up], q.events[i]
		i = up
	}
}

func (q *eventQueue) after(delay int64, action func()) { q.at(q.now+delay, action) }

// step runs the next event. It returns false if there is no event before end.
func (q *eventQueue) step(end int64) bool {
	if len(q.events) == 0 || q.events[0].at >= end {
		return false
	}
	next := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			break
		}
		q.events[i], q.events[least] = q.events[least], q.events[i]
		i = least
	}
	q.now = next.at
	q.handled++
	next.action()
	return true
}
