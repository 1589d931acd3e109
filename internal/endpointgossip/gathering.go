package endpointgossip

import "slices"

const (
	pageRetryTicks       = 2  // after which missing pages are requested again
	transferTimeoutTicks = 30 // without a page, after which a list is given up
	requiredWitnesses    = 2  // nodes whose watches are up, for a list that removes most endpoints
)

// gathering is a list that comes page by page.
type transfer struct {
	head             message // the first response, with the latest confirmation
	pages            [][]Endpoint
	receivedPages    int // pages
	outstandingPages int // pages that were requested and have not come
	lastPageTick     int64
	lastRequestTick  int64
	lastSender       int   // the node that sent a page last
	witnesses        []int // nodes whose own watches have sent the list
	unconfirmed      bool  // it lacks witnesses
}

// continueTransfer gives up a list whose pages have stopped coming, and requests what is missing.
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

// requestMissing requests missing pages from the node that sent one last.
func (e *Exchange) requestMissing(t *transfer) {
	pages := t.missingPages()
	t.outstandingPages, t.lastRequestTick = len(pages), e.tick
	e.request(t.lastSender, pages)
}

// handleResponse takes in a response; it returns endpoints as Receive does.
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
		return nil // of another list, which is asked for when this one is done
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

// addConfirmation takes in what a response says of the list as a whole.
func (t *transfer) addConfirmation(from int, response *message) {
	if response.confirmedAt() > t.head.confirmedAt() {
		t.head.RequestedAt, t.head.AgeNs = response.RequestedAt, response.AgeNs
	}
	if response.WatchUp && !slices.Contains(t.witnesses, from) && len(t.witnesses) < requiredWitnesses {
		t.witnesses = append(t.witnesses, from)
	}
	t.head.Restored = t.head.Restored && response.Restored
}

// addPage keeps a page, and requests more once those that were requested have come.
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

// missing are the first pages that are missing, as many as one request can name.
func (t *transfer) missingPages() (pages []int) {
	for page := range t.pages {
		if t.pages[page] == nil && len(pages) < maxPagesPerRequest {
			pages = append(pages, page)
		}
	}
	return pages
}

// endpoints are those of all pages.
func (t *transfer) endpoints() []Endpoint { return slices.Concat(t.pages...) }
