package model

// Deduplicator remembers the idempotency keys of requests for a window of time. The endpoints of a deduplication group
// share one.
type Deduplicator struct {
	window int64
	until  map[string]int64
	order  []string
}

// NewDeduplicator returns a Deduplicator that remembers each key for window nanoseconds.
func NewDeduplicator(window int64) *Deduplicator {
	return &Deduplicator{window: window, until: map[string]int64{}}
}

// Seen reports whether key is remembered, and remembers it otherwise. The window starts at the first call with the key.
func (d *Deduplicator) Seen(now int64, key string) bool {
	for len(d.order) > 0 && d.until[d.order[0]] <= now {
		delete(d.until, d.order[0])
		d.order = d.order[1:]
	}
	if _, known := d.until[key]; known {
		return true
	}
	d.until[key] = now + d.window
	d.order = append(d.order, key)
	return false
}
