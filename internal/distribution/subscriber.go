package distribution

import "bytes"

// Subscriber holds the records of its selectors and reports their changes.
type Subscriber struct {
	replica *replica
	changes []Change // of the frame that is being received
}

// Interner shares equal values between the subscribers of a process. Each function may be nil; otherwise it returns a
// value equal to its argument.
type Interner struct {
	Text func(string) string // interns keys and names of scopes
	Body func([]byte) []byte // interns bodies
}

// NewSubscriber returns a subscriber without records. An error means that a selector is invalid, or wraps ErrLimit.
func NewSubscriber(selectors []Selector, l Limits) (*Subscriber, error) {
	s := &Subscriber{}
	s.replica = newReplica(s, l)
	return s, s.replica.addSelectors(selectors)
}

// SetInterner sets the interner. It must be called before the first Receive.
func (s *Subscriber) SetInterner(i Interner) { s.replica.interner = i }

// Hello starts a new session and returns its first message to the relay; frames of earlier sessions are ignored from
// now on. The hello is within MaxHelloBytes for up to 4,096 selectors with names of 50 bytes.
func (s *Subscriber) Hello() []byte { return s.replica.newHello() }

// Receive applies a frame and returns the changes of records in the order in which they were received. If it fails, it
// also returns the changes applied before the error. After an error the caller must close the connection.
func (s *Subscriber) Receive(now int64, frame []byte) ([]Change, error) {
	s.changes = nil
	err := s.replica.receive(now, frame)
	changes := s.changes
	s.changes = nil
	return changes, err
}

func (s *Subscriber) beforeChange(*item) {}

func (s *Subscriber) afterChange(held *item, previous previousState, swept bool) {
	bothDeleted := held.deleted && !previous.live
	same := !held.deleted && previous.live && held.class == previous.class && bytes.Equal(held.body, previous.body)
	if bothDeleted || same {
		return
	}
	s.changes = append(s.changes, Change{Record: held.record(), OldBody: previous.body, Swept: swept})
}

func (s *Subscriber) scopeSyncState(scope string) syncState {
	return s.replica.scopeSyncState(scope, s.replica.exactInterest(scope))
}

// Age returns how long ago the records held of a scope were current, in nanoseconds. The age is unknown until the scope
// has been complete once.
func (s *Subscriber) Age(now int64, scope string) (ns int64, known bool) {
	state := s.scopeSyncState(scope)
	return now - state.asOfNs, state.complete
}

// Complete reports whether all selectors have been complete once.
func (s *Subscriber) Complete() bool { return s.replica.completeInterests == len(s.replica.interests) }

// Each calls visit for each record held, in the order of scope and key.
func (s *Subscriber) Each(visit func(Record)) {
	s.replica.items.Ascend(func(held *item) bool {
		if !held.deleted {
			visit(held.record())
		}
		return true
	})
}

// Position returns the position up to which all changes of a scope have been received.
func (s *Subscriber) Position(scope string) Position { return s.scopeSyncState(scope).position }

// Stats returns the counters, and the current state.
func (s *Subscriber) Stats() Stats {
	stats := s.replica.currentStats()
	state := s.replica.minSyncState()
	stats.Through = state.position.Through
	stats.Complete = state.complete
	return stats
}
