package distribution

// Relay holds the newest of each record and sends it on.
type Relay struct{}

// NewRelay makes a relay that holds nothing.
func NewRelay(l Limits) *Relay { return &Relay{} }

// Follow says what a relay takes from its upstream; before the first Upstream.
func (r *Relay) Follow(selectors []Selector) error { return nil }

// Attach takes a subscriber on.
func (r *Relay) Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error) {
	return 0, nil
}

// Detach lets a subscriber go.
func (r *Relay) Detach(id int) {}

// Next is the next frame to a subscriber, or nil and when to ask again.
func (r *Relay) Next(now int64, id int) (frame []byte, at int64) { return nil, now + Heartbeat }

// Ready are the subscribers that have come to have something to be sent since the last call.
func (r *Relay) Ready() []int { return nil }

// Upstream is the hello to the relay's upstream; a new session begins.
func (r *Relay) Upstream(now int64) []byte { return nil }

// Take takes in a frame from upstream.
func (r *Relay) Take(now int64, frame []byte) error { return nil }

// Age is how old what the relay holds is, nanoseconds; unknown until it is whole.
func (r *Relay) Age(now int64) (ns int64, known bool) { return 0, false }

// Stats are the counters.
func (r *Relay) Stats() Stats { return Stats{} }
