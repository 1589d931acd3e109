package simulation

type event struct {
	at     int64
	seq    uint64
	action func()
}

type eventQueue struct {
	now     int64
	seq     uint64
	events  []event // a heap by at, then seq
	handled uint64
}

func (c *eventQueue) less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// at schedules an event. One in the past happens now, after all that are due now already. Of two events at one time
// the one that was scheduled first happens first.
func (c *eventQueue) at(when int64, do func()) {
	c.seq++
	c.events = append(c.events, event{max(when, c.now), c.seq, do})
	for i := len(c.events) - 1; i > 0; {
		up := (i - 1) / 2
		if !c.less(i, up) {
			break
		}
		c.events[i], c.events[up] = c.events[up], c.events[i]
		i = up
	}
}

func (c *eventQueue) after(after int64, do func()) { c.at(c.now+after, do) }

// step runs the next event; false if there is none before an end.
func (c *eventQueue) step(end int64) bool {
	if len(c.events) == 0 || c.events[0].at >= end {
		return false
	}
	next := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if c.less(child, least) {
				least = child
			}
		}
		if least == i {
			break
		}
		c.events[i], c.events[least] = c.events[least], c.events[i]
		i = least
	}
	c.now = next.at
	c.handled++
	next.action()
	return true
}
