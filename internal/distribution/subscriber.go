package distribution

// This file owns the end of the tree: what a node holds. It must never tell of a change that is none.

import "bytes"

// Subscriber keeps the records of its selectors. One caller at a time.
type Subscriber struct {
	replica *replica
	changes []Change
}

// Intern, where set, are given what is to be kept and may return an equal value that is shared with others.
type Interner struct {
	Text func(string) string // keys and names of scopes
	Body func([]byte) []byte
}

// NewSubscriber makes a subscriber that holds nothing.
func NewSubscriber(selectors []Selector, l Limits) (*Subscriber, error) {
	s := &Subscriber{}
	s.replica = newReplica(s, l)
	return s, s.replica.addSelectors(selectors)
}

// Share has the subscriber keep values that are shared with others; before the first Take.
func (s *Subscriber) SetInterner(i Interner) { s.replica.interner = i }

// Hello is the first message to a relay, within MaxHello for up to 4,096 selectors with names of 50 bytes. A new session begins,
// and frames of those before are passed over.
func (s *Subscriber) Hello() []byte { return s.replica.newHello() }

// Take takes in a frame. Changes are what became of records, in the order in which they were told, also those before an error.
// After an error the connection is to be ended.
func (s *Subscriber) Receive(now int64, frame []byte) (changes []Change, err error) {
	s.changes = nil
	err = s.replica.receive(now, frame)
	changes, s.changes = s.changes, nil
	return changes, err
}

func (s *Subscriber) beforeChange(*item) {}

func (s *Subscriber) afterChange(it *item, was previousState, swept bool) {
	if it.deleted && !was.live || !it.deleted && was.live && it.class == was.class && bytes.Equal(it.body, was.body) {
		return
	}
	s.changes = append(s.changes, Change{Record: it.record(), Old: was.body, Swept: swept})
}

// Age is how long ago what is held of a scope was known to be all that there is, nanoseconds; unknown until it was whole once.
func (s *Subscriber) Age(now int64, scope string) (ns int64, known bool) {
	_, asOf, known := s.replica.scopePosition(scope, s.exactInterest(scope))
	return now - asOf, known
}

func (s *Subscriber) exactInterest(scope string) int32 {
	if i, ok := s.replica.exactInterests[scope]; ok {
		return i
	}
	return -1
}

// Complete says that all selectors have been whole once.
func (s *Subscriber) Complete() bool { return s.replica.completeInterests == len(s.replica.interests) }

// Each calls for each record held, ordered by scope and key.
func (s *Subscriber) Each(call func(Record)) {
	s.replica.items.Ascend(func(it *item) bool {
		if !it.deleted {
			call(it.record())
		}
		return true
	})
}

// Position is up to where a scope is known.
func (s *Subscriber) Position(scope string) Position {
	at, _, _ := s.replica.scopePosition(scope, s.exactInterest(scope))
	return at
}

// Stats are the counters.
func (s *Subscriber) Stats() Stats {
	t := s.replica.currentStats()
	at, _, whole := s.replica.leastPosition()
	t.Through, t.Complete = at.Through, whole
	return t
}
