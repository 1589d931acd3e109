package model

// This file owns what servers remember of ticketed tasks, so that the same one is not done twice by a group. It must
// never forget before the span is over.

// Memory is shared by the servers of a fleet, a zone or a pod.
type Deduplicator struct {
	window int64
	until  map[string]int64
	order  []string
}

// NewMemory makes one that remembers for a span.
func NewDeduplicator(span int64) *Deduplicator {
	return &Deduplicator{window: span, until: map[string]int64{}}
}

// Seen tells whether the ticket is remembered, and remembers it if not. The span counts from the first time.
func (m *Deduplicator) Seen(now int64, ticket string) bool {
	for len(m.order) > 0 && m.until[m.order[0]] <= now {
		delete(m.until, m.order[0])
		m.order = m.order[1:]
	}
	if _, known := m.until[ticket]; known {
		return true
	}
	m.until[ticket] = now + m.window
	m.order = append(m.order, ticket)
	return false
}
