package distribution

// This file owns the end of the tree: what a node holds. It must never tell of a change that is none.

import "bytes"

// Subscriber keeps the records of its selectors. One caller at a time.
type Subscriber struct {
	held    *replica
	changes []Change
}

// Intern, where set, are given what is to be kept and may return an equal value that is shared with others.
type Intern struct {
	Text func(string) string // keys and names of scopes
	Body func([]byte) []byte
}

// NewSubscriber makes a subscriber that holds nothing.
func NewSubscriber(selectors []Selector, l Limits) (*Subscriber, error) {
	s := &Subscriber{}
	s.held = newReplica(s, l)
	return s, s.held.follow(selectors)
}

// Share has the subscriber keep values that are shared with others; before the first Take.
func (s *Subscriber) Share(i Intern) { s.held.intern = i }

// Hello is the first message to a relay, within MaxHello for up to 4,096 selectors with names of 50 bytes. A new session begins,
// and frames of those before are passed over.
func (s *Subscriber) Hello() []byte { return s.held.hello() }

// Take takes in a frame. Changes are what became of records, in the order in which they were told, also those before an error.
// After an error the connection is to be ended.
func (s *Subscriber) Take(now int64, frame []byte) (changes []Change, err error) {
	s.changes = nil
	err = s.held.take(now, frame)
	changes, s.changes = s.changes, nil
	return changes, err
}

func (s *Subscriber) leaves(*item) {}

func (s *Subscriber) changed(it *item, was prior, swept bool) {
	if it.gone && !was.live || !it.gone && was.live && it.class == was.class && bytes.Equal(it.body, was.body) {
		return
	}
	s.changes = append(s.changes, Change{Record: it.record(), Old: was.body, Swept: swept})
}

// Age is how long ago what is held of a scope was known to be all that there is, nanoseconds; unknown until it was whole once.
func (s *Subscriber) Age(now int64, scope string) (ns int64, known bool) {
	_, asOf, known := s.held.of(scope, s.exact(scope))
	return now - asOf, known
}

func (s *Subscriber) exact(scope string) int32 {
	if i, ok := s.held.exact[scope]; ok {
		return i
	}
	return -1
}

// Complete says that all selectors have been whole once.
func (s *Subscriber) Complete() bool { return s.held.wholes == len(s.held.interests) }

// Each calls for each record held, ordered by scope and key.
func (s *Subscriber) Each(call func(Record)) {
	s.held.items.Ascend(func(it *item) bool {
		if !it.gone {
			call(it.record())
		}
		return true
	})
}

// Position is up to where a scope is known.
func (s *Subscriber) Position(scope string) Position {
	at, _, _ := s.held.of(scope, s.exact(scope))
	return at
}

// Stats are the counters.
func (s *Subscriber) Stats() Stats {
	t := s.held.counts()
	at, _, whole := s.held.least()
	t.Through, t.Whole = at.Through, whole
	return t
}
