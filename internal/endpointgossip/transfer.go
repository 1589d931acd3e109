package endpointgossip

import "slices"

const (
	pageRetryTicks       = 2  // after which missing pages are requested again
	transferTimeoutTicks = 30 // without a page, after which a transfer is abandoned
	requiredWitnesses    = 2  // for a list that removes most endpoints
)

// transfer is the transfer of a list, page by page, from one or more nodes.
type transfer struct {
	head             message // the first response, updated with the latest confirmation
	pages            [][]Endpoint
	receivedPages    int
	outstandingPages int // pages that were requested and have not been received
	lastPageTick     int64
	lastRequestTick  int64
	lastSender       int   // node that sent the last new page
	witnesses        []int // see the package comment; at most requiredWitnesses
	unconfirmed      bool  // counted as Unconfirmed
}

// continueTransfer abandons a transfer that has timed out, requests a better list that another node has, and requests
// missing pages again.
func (e *Exchange) continueTransfer() {
	if t := e.transfer; t != nil && e.tick-t.lastPageTick > transferTimeoutTicks {
		e.transfer = nil
	}
	if e.betterListNode >= 0 {
		e.request(e.betterListNode, nil)
		e.betterListNode = -1
	}
	if t := e.transfer; t != nil && !t.complete() && e.tick-t.lastRequestTick >= pageRetryTicks {
		e.requestMissing(t)
	}
}

// requestMissing requests missing pages from the node that sent the last new one.
func (e *Exchange) requestMissing(t *transfer) {
	pages := t.missingPages()
	t.outstandingPages, t.lastRequestTick = len(pages), e.tick
	e.request(t.lastSender, pages)
}

// handleResponse handles a response. It returns endpoints as Receive does.
func (e *Exchange) handleResponse(from int, response *message) []Endpoint {
	if current := e.currentList(); current != nil {
		if current.matches(response.Version, response.Digest) {
			current.confirm(response.confirmedAt(), response.Restored)
			return nil
		}
		if (response.Restored || !current.restored) && response.Version < current.version {
			return nil
		}
	}
	if e.transfer == nil || isPreferred(response, &e.transfer.head) {
		e.transfer = e.newTransfer(from, response)
	}
	t := e.transfer
	if !t.matches(response) {
		return nil // a response for another list, which is requested after this transfer
	}
	t.addConfirmation(from, response)
	if response.Page != headOnly && t.pages[response.Page] == nil {
		e.addPage(t, from, response)
	}
	if !t.complete() {
		return nil
	}
	return e.accept(t)
}

func (e *Exchange) newTransfer(from int, head *message) *transfer {
	return &transfer{
		head:             *head,
		lastSender:       from,
		pages:            make([][]Endpoint, head.Pages),
		outstandingPages: min(maxPagesPerRequest, head.Pages),
		lastPageTick:     e.tick,
		lastRequestTick:  e.tick,
	}
}

func (t *transfer) matches(m *message) bool {
	return m.Version == t.head.Version && m.Digest == t.head.Digest && m.Pages == len(t.pages)
}

// addConfirmation updates the age and the witnesses of the list from a response, and whether the list is restored.
func (t *transfer) addConfirmation(from int, response *message) {
	if response.confirmedAt() > t.head.confirmedAt() {
		t.head.RequestedAt, t.head.AgeNs = response.RequestedAt, response.AgeNs
	}
	if response.WatchUp && !slices.Contains(t.witnesses, from) && len(t.witnesses) < requiredWitnesses {
		t.witnesses = append(t.witnesses, from)
	}
	t.head.Restored = t.head.Restored && response.Restored
}

// addPage adds a page to a transfer, and requests the next ones when none is outstanding.
func (e *Exchange) addPage(t *transfer, from int, response *message) {
	t.pages[response.Page] = append([]Endpoint{}, response.Endpoints...)
	t.receivedPages++
	t.lastPageTick, t.lastSender = e.tick, from
	t.outstandingPages--
	if t.outstandingPages <= 0 && !t.complete() {
		e.requestMissing(t)
	}
}

func (t *transfer) complete() bool { return t.receivedPages >= len(t.pages) }

// missingPages returns the numbers of the first missing pages, as many as a request can have.
func (t *transfer) missingPages() (pages []int) {
	for page := range t.pages {
		if t.pages[page] == nil && len(pages) < maxPagesPerRequest {
			pages = append(pages, page)
		}
	}
	return pages
}

// endpoints returns the endpoints of all pages.
func (t *transfer) endpoints() []Endpoint { return slices.Concat(t.pages...) }
