// Package discovery decides when a node calls discovery while no watch of the list stands.
package discovery

// This file owns the pace of the calls that are out for one watch: when a further one is opened beside one that waits, and in whose
// place. It must never have more than two out, nor give up the call that waits longest while there is reason to think that discovery
// has it: discovery works calls in turn, and who begins again at the queue's end may never be answered. No I/O, clock or goroutine.

import "slices"

// Most is how many calls may be out at a time.
const MaxCalls = 2

const (
	second = int64(1e9)
	// While a further connection can't be made, discovery can't be reached: it is tried again after waits that grow up to this, as
	// what it has to tell counts as told 6 s after it can be.
	mostAgain = second
	// One connection that can't be made may be the crowd at the door; so many in a row tell that discovery can't be reached.
	doubtful = 2
	// Gaps beyond those below double, up to this part of the first; a queue may be longer than anybody thinks, and the one call that is
	// kept in it may have been lost.
	mostGap = 256
)

// gaps are the times from the second call of a watch to the third and so on, in parts of the shell's gap. What discovery has to tell counts
// as told 6 s after it could be reached, so they are short for as long as most outages last (14 s, by a gap of 3 s), in case all that is
// out went to a machine that has vanished since and nobody noticed; then they double, as each call costs a discovery that is only slow
// another turn, whether or not it is given up.
var gaps = []float64{1, 4. / 3, 4. / 3}

type call struct {
	id      int
	doubted bool // discovery could not be reached since
}

// Pace is the state of the calls for one watch. Times are in ns of any one clock.
type Pace struct {
	first, gap  int64 // first: the gap before the second call; gap: that by which the others go
	again, wait int64 // between connections that can't be made
	opened      int
	missed      int   // in a row
	due         int64 // when the next connection is to be made
	out         []call
}

// New begins with a call that is due at once. first is the time from the first call to one beside it, gap what the later go by, again the
// first wait after a connection could not be made, all in ns.
func NewPace(now, first, gap, again int64) *Pace {
	return &Pace{first: first, gap: gap, again: again, wait: again, due: now}
}

// Due tells when the next connection is to be made.
func (p *Pace) Due() int64 { return p.due }

// Out tells how many calls are out.
func (p *Pace) Out() int { return len(p.out) }

// Opened takes in a call whose connection stands, and tells which other has to be closed before its request goes out, if any.
func (p *Pace) Opened(now int64, id int) (close int, any bool) {
	if any = len(p.out) == MaxCalls; any {
		at := p.victim()
		close = p.out[at].id
		p.out = slices.Delete(p.out, at, at+1)
	}
	p.out = append(p.out, call{id: id})
	if p.opened++; p.opened == 1 {
		p.due = now + p.first
	} else {
		n := p.opened - 2
		part := gaps[min(n, len(gaps)-1)] * float64(int64(1)<<min(max(n-len(gaps)+1, 0), 30))
		p.due = now + int64(float64(p.gap)*min(part, mostGap))
	}
	p.missed, p.wait = 0, p.again
	return close, any
}

// victim is the call that a third takes the place of: one that most likely went to a machine that has vanished, else the one with less
// of its turn behind it.
func (p *Pace) victim() int {
	if at := slices.IndexFunc(p.out, func(c call) bool { return c.doubted }); at >= 0 {
		return at
	}
	return len(p.out) - 1
}

// Missed takes in a connection that could not be made. After some in a row, whatever is out may wait at a machine that has vanished.
func (p *Pace) Missed(now int64) {
	p.missed++
	for i := range p.out {
		p.out[i].doubted = p.out[i].doubted || p.missed >= doubtful
	}
	p.due = now + p.wait
	p.wait = min(2*p.wait, max(mostAgain, p.again))
}

// Ended takes in a call that was ended by the other side, or by what it answered, and tells whether another is out.
func (p *Pace) Ended(id int) bool {
	p.out = slices.DeleteFunc(p.out, func(c call) bool { return c.id == id })
	return len(p.out) > 0
}

// Head takes in the head of an answer: from there on discovery has a word due, within a time, and a call beside comes no later than
// that.
func (p *Pace) Head(now, within int64) { p.due = min(p.due, now+within) }
