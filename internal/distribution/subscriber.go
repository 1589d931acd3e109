package distribution

import "bytes"

// Subscriber keeps the records of its selectors, and tells which have changed.
type Subscriber struct {
	replica *replica
	changes []Change // of the frame that is being received
}

// Interner shares equal values between subscribers of one process. Its functions, where set, return a value equal to
// their argument.
type Interner struct {
	Text func(string) string // keys and names of scopes
	Body func([]byte) []byte
}

// NewSubscriber returns a subscriber that holds nothing. An error says that a selector is invalid or wraps ErrLimit.
func NewSubscriber(selectors []Selector, l Limits) (*Subscriber, error) {
	s := &Subscriber{}
	s.replica = newReplica(s, l)
	return s, s.replica.addSelectors(selectors)
}

// SetInterner sets the interner; to be called before the first Receive.
func (s *Subscriber) SetInterner(i Interner) { s.replica.interner = i }

// Hello returns the first message to a relay; a new session begins, and frames of earlier ones are ignored. It is
// within MaxHelloBytes for up to 4,096 selectors with names of 50 bytes.
func (s *Subscriber) Hello() []byte { return s.replica.newHello() }

// Receive applies a frame and returns the changes of records, in the order in which they were received. Changes
// before an error are returned with it. After an error the connection must be closed.
func (s *Subscriber) Receive(now int64, frame []byte) ([]Change, error) {
	s.changes = nil
	err := s.replica.receive(now, frame)
	changes := s.changes
	s.changes = nil
	return changes, err
}

func (s *Subscriber) beforeChange(*item) {}

func (s *Subscriber) afterChange(it *item, was previousState, swept bool) {
	bothDeleted := it.deleted && !was.live
	same := !it.deleted && was.live && it.class == was.class && bytes.Equal(it.body, was.body)
	if bothDeleted || same {
		return
	}
	s.changes = append(s.changes, Change{Record: it.record(), OldBody: was.body, Swept: swept})
}

func (s *Subscriber) scopeSyncState(scope string) syncState {
	return s.replica.scopeSyncState(scope, s.replica.exactInterest(scope))
}

// Age returns how long ago what is held of a scope was current, in nanoseconds; not known until it was complete once.
func (s *Subscriber) Age(now int64, scope string) (ns int64, known bool) {
	k := s.scopeSyncState(scope)
	return now - k.asOfNs, k.complete
}

// Complete reports whether all selectors have been complete once.
func (s *Subscriber) Complete() bool { return s.replica.completeInterests == len(s.replica.interests) }

// Each calls visit for each record held, ordered by scope and key.
func (s *Subscriber) Each(visit func(Record)) {
	s.replica.items.Ascend(func(it *item) bool {
		if !it.deleted {
			visit(it.record())
		}
		return true
	})
}

// Position returns up to where a scope is known.
func (s *Subscriber) Position(scope string) Position { return s.scopeSyncState(scope).position }

// Stats returns the counters, and what is held now.
func (s *Subscriber) Stats() Stats {
	stats := s.replica.currentStats()
	least := s.replica.minSyncState()
	stats.Through = least.position.Through
	stats.Complete = least.complete
	return stats
}
