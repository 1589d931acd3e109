package distribution

// Subscriber keeps the records of its selectors.
type Subscriber struct{}

// Intern, where set, are given what is to be kept and may return an equal value that is shared with others.
type Intern struct {
	Text func(string) string // keys and names of scopes
	Body func([]byte) []byte
}

// NewSubscriber makes a subscriber that holds nothing.
func NewSubscriber(selectors []Selector, l Limits) (*Subscriber, error) { return &Subscriber{}, nil }

// Share has the subscriber keep values that are shared with others; before the first Take.
func (s *Subscriber) Share(i Intern) {}

// Hello is the first message to a relay; a new session begins, and frames of those before are passed over.
func (s *Subscriber) Hello() []byte { return nil }

// Take takes in a frame.
func (s *Subscriber) Take(now int64, frame []byte) (changes []Change, err error) { return nil, nil }

// Age is how long ago what is held of a scope was known to be all, nanoseconds.
func (s *Subscriber) Age(now int64, scope string) (ns int64, known bool) { return 0, false }

// Complete says that all selectors have been whole once.
func (s *Subscriber) Complete() bool { return false }

// Each calls for each record held, ordered by scope and key.
func (s *Subscriber) Each(call func(Record)) {}

// Position is up to where a scope is known.
func (s *Subscriber) Position(scope string) Position { return Position{} }

// Stats are the counters.
func (s *Subscriber) Stats() Stats { return Stats{} }
