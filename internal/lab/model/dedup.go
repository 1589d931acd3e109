package model

// Deduplicator remembers the keys of requests that must run once. The endpoints of a deduplication group share one.
type Deduplicator struct {
	window int64
	until  map[string]int64
	order  []string
}

// NewDeduplicator returns one that remembers a key for a window, in nanoseconds.
func NewDeduplicator(window int64) *Deduplicator {
	return &Deduplicator{window: window, until: map[string]int64{}}
}

// Seen tells whether a key is remembered, and remembers it if not. The window counts from the first time.
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
