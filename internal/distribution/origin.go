package distribution

// Origin owns truth.
type Origin struct{ relay *Relay }

// NewOrigin makes an origin with nothing in it. The epoch must be higher than that of any origin before.
func NewOrigin(epoch uint64, l Limits) *Origin { return &Origin{NewRelay(l)} }

// Relay is through which the origin's subscribers are served.
func (o *Origin) Relay() *Relay { return o.relay }

// Await names kinds of which a Replace must have come before the origin claims anything to be whole.
func (o *Origin) Await(kinds ...string) {}

// Put sets a record; the same again is no change.
func (o *Origin) Put(now int64, scope, key string, class Class, body []byte) (version uint64, err error) {
	return 0, nil
}

// Remove takes a record away.
func (o *Origin) Remove(now int64, scope, key string) (version uint64, removed bool) { return 0, false }

// Replace takes in a whole list: records whose key begins with kind and a slash and that are not in it go.
func (o *Origin) Replace(now int64, kind string, all []Record) (changed int, err error) {
	return 0, nil
}
