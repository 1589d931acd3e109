package endpointgossip

// Requests and responses: a request carries the version and digest of the list that the requesting node has; a response
// carries those of the responder's list, and a page of it if that list is the better one. Further pages are requested
// by number.

const maxPagesPerRequest = 8

// requestFromRandomNodes requests the lists of random nodes, and schedules the next such requests with a backoff.
func (e *Exchange) requestFromRandomNodes() {
	nodes := e.transport.Reachable()
	for range min(nodesPerRequest, len(nodes)) {
		i := e.random.IntN(len(nodes))
		e.request(nodes[i], nil)
		nodes[i] = nodes[len(nodes)-1]
		nodes = nodes[:len(nodes)-1]
	}
	e.backoffTicks = min(2*e.backoffTicks, maxBackoffTicks)
	e.nextRequestTick = e.tick + 1 + e.random.Int64N(e.backoffTicks)
}

// request sends a request for pages of the list that is being transferred, or, if pages is nil, for a better list than
// the node has. It sends nothing beyond maxRequestsPerTick.
func (e *Exchange) request(to int, pages []int) {
	e.requestsInTick++
	if e.requestsInTick > maxRequestsPerTick {
		return
	}
	m := message{Kind: requestKind, RequestedAt: e.now, WantPages: pages}
	if l := e.currentList(); l != nil {
		m.Version, m.Digest, m.Restored = l.version, l.digest, l.restored
	}
	if pages != nil {
		m.Version, m.Digest = e.transfer.head.Version, e.transfer.head.Digest
	}
	e.counters.Requests++
	e.transport.SendPayload(to, encode(&m))
}

// respond sends pages of the current list, or a response without endpoints if the requesting node has the same or a
// better list.
func (e *Exchange) respond(to int, request *message) {
	l := e.currentList()
	ahead := request.isAheadOf(l)
	if ahead && !e.watchUp {
		e.betterListNode = to
	}
	if l == nil {
		return
	}
	response := message{
		Kind:        responseKind,
		RequestedAt: request.RequestedAt,
		Version:     l.version,
		Digest:      l.digest,
		Pages:       len(l.pages),
		AgeNs:       max(e.age(l), 0),
		WatchUp:     e.watchUp,
		Restored:    l.restored,
	}
	for _, page := range pagesFor(request, l, ahead) {
		if page >= len(l.pages) {
			continue
		}
		e.responsesInTick++
		if e.responsesInTick > maxResponsesPerTick {
			e.counters.RateLimited++
			return
		}
		response.Page, response.Endpoints = page, nil
		if page != headOnly {
			response.Endpoints = l.pages[page]
		}
		e.counters.Responses++
		e.transport.SendPayload(to, encode(&response))
	}
}

// isAheadOf reports whether the sender of a request has a better list than l.
func (m *message) isAheadOf(l *list) bool {
	if len(m.WantPages) > 0 || m.Digest == 0 {
		return false
	}
	return l == nil || isPreferred(m, &message{Version: l.version, Restored: l.restored})
}

// pagesFor returns the numbers of the pages to respond with, or headOnly for a response without endpoints.
func pagesFor(request *message, l *list, ahead bool) []int {
	same := l.matches(request.Version, request.Digest)
	switch {
	case len(request.WantPages) > 0 && same:
		return request.WantPages[:min(len(request.WantPages), maxPagesPerRequest)]
	case len(request.WantPages) == 0 && !same && !ahead:
		pages := make([]int, min(maxPagesPerRequest, len(l.pages)))
		for i := range pages {
			pages[i] = i
		}
		return pages
	default:
		return []int{headOnly}
	}
}

// isPreferred reports whether the list of candidate is better than that of other: watched rather than restored, else of
// a higher version.
func isPreferred(candidate, other *message) bool {
	if candidate.Restored != other.Restored {
		return other.Restored
	}
	return candidate.Version > other.Version
}
