// Package classdelay owns by how much later than others requests of one kind are answered, wherever they go: kinds are classes, and
// tenants. It must never know a server, nor what is done about it. Times are nanoseconds.
package classdelay

import "math"

const (
	kept  = 3          // answers of a kind that count
	fresh = int64(4e9) // for how long a kind's answers tell how others fare
	part  = 0.25       // of the shortest latency objective: a lag below it is no kind's own
)

type answer struct {
	sentAt int64 // stands for the attempt
	late   float64
}

type kind struct {
	last  [kept]answer
	next  int
	level float64 // the least of them: all have to be late for it to rise, and one in time lets it fall
	alone float64 // running mean of what its attempts take with nothing else at the server
	at    int64   // of the last answer
	away  int     // requests given up since then
	out   int
	since int64 // something is out, or nothing is
	was   int64 // for how long something was, before
}

func (k *kind) add(now, sentAt int64, late float64) {
	at := k.next
	for i := range k.last {
		if k.last[i].sentAt == sentAt && math.IsInf(k.last[i].late, 1) {
			at = i // it was overdue, and now is answered
		}
	}
	if at == k.next {
		k.next = (k.next + 1) % kept
	}
	k.last[at] = answer{sentAt, max(late, 0)}
	k.at, k.away, k.level = now, 0, math.Inf(1)
	for _, a := range k.last {
		k.level = min(k.level, a.late)
	}
}

// Tracker holds both sorts of kinds.
type Tracker struct {
	sorts [2][]kind
	least float64
}

// New makes a book in which nothing is late.
func New(categories, customers int) *Tracker {
	return &Tracker{sorts: [2][]kind{make([]kind, max(categories, 1)), make([]kind, max(customers, 1))}, least: math.Inf(1)}
}

// AddObjective takes in the latency objective of a class.
func (b *Tracker) AddObjective(limit int64) { b.least = min(b.least, part*float64(limit)) }

// Pair are the two kinds of one request.
type Pair struct {
	book *Tracker
	of   [2]*kind
}

// Of finds those of a class and a tenant.
func (b *Tracker) Of(category, customer int) Pair {
	return Pair{b, [2]*kind{&b.sorts[0][category], &b.sorts[1][min(customer, len(b.sorts[1])-1)]}}
}

// waits is by how much each kind is later than the one of its sort that fares best, or would be with as much work: in a jam
// heavy requests are later than light ones. Kinds that are asked for and given up
// count with what they last showed: who is not let in must not make the late look like all.
func (k Pair) waits(now int64) (waits [2]float64) {
	for i, own := range k.of {
		least := own.level
		for j := range k.book.sorts[i] {
			if o := &k.book.sorts[i][j]; now-o.at < fresh || o.away >= kept {
				least = min(least, o.level*max(1, own.alone/max(o.alone, 1)))
			}
		}
		if own.level-least > k.book.least {
			waits[i] = own.level - least
		}
	}
	return waits
}

// Delay is by how much the kinds are later than others; infinite while nothing but overdue attempts is known.
func (k Pair) Delay(now int64) float64 {
	w := k.waits(now)
	return w[0] + w[1]
}

// MayTry tells whether the kinds that wait may be tried again: nothing is out of them, and there has been for no more than a part
// of the time. So all nodes together try with no more than that part of them at once, in whatever time a try takes.
func (k Pair) MayTry(now int64, part float64) bool {
	for i, w := range k.waits(now) {
		if own := k.of[i]; w > 0 && (own.out > 0 || float64(now-own.since)*part < float64(own.was)*(1-part)) {
			return false
		}
	}
	return true
}

// CountInFlight counts attempts that go out, or are back.
func (k Pair) CountInFlight(now int64, by int) {
	for _, own := range k.of {
		if own.out += by; own.out == 0 {
			own.was, own.since = now-own.since, now
		} else if own.out == by {
			own.since = now
		}
	}
}

// CountGivenUp takes in that a request was given up.
func (k Pair) CountGivenUp() {
	for _, own := range k.of {
		own.away++
	}
}

// Observe takes in how long an attempt took, infinitely while it is overdue, and how long it takes alone at its server. What its
// one kind is known to wait for does not count against the other.
func (k Pair) Observe(now, sentAt int64, took, alone float64) {
	w, late := k.waits(now), took-alone
	for i, own := range k.of {
		own.alone += (alone - own.alone) / 8
		if other := w[1-i]; !math.IsInf(other, 1) {
			own.add(now, sentAt, late-other)
		}
	}
}
