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
	if g := e.transfer; g != nil && e.tick-g.lastPageTick > transferTimeoutTicks {
		e.transfer = nil
	}
	if e.betterListNode >= 0 {
		e.request(e.betterListNode, nil)
		e.betterListNode = -1
	}
	if g := e.transfer; g != nil && !g.complete() && e.tick-g.lastRequestTick >= pageRetryTicks {
		e.requestMissing(g)
	}
}

// requestMissing requests missing pages from the node that sent one last.
func (e *Exchange) requestMissing(g *transfer) {
	pages := g.missingPages()
	g.outstandingPages, g.lastRequestTick = len(pages), e.tick
	e.request(g.lastSender, pages)
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
	g := e.transfer
	if !g.matches(response) {
		return nil // of another list, which is asked for when this one is done
	}
	g.addConfirmation(from, response)
	if response.Page != headOnly && g.pages[response.Page] == nil {
		e.addPage(g, from, response)
	}
	if !g.complete() {
		return nil
	}
	return e.accept(g)
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

func (g *transfer) matches(m *message) bool {
	return m.Version == g.head.Version && m.Digest == g.head.Digest && m.Pages == len(g.pages)
}

// addConfirmation takes in what a response says of the list as a whole.
func (g *transfer) addConfirmation(from int, response *message) {
	if response.confirmedAt() > g.head.confirmedAt() {
		g.head.RequestedAt, g.head.AgeNs = response.RequestedAt, response.AgeNs
	}
	if response.WatchUp && !slices.Contains(g.witnesses, from) && len(g.witnesses) < requiredWitnesses {
		g.witnesses = append(g.witnesses, from)
	}
	g.head.Restored = g.head.Restored && response.Restored
}

// addPage keeps a page, and requests more once those that were requested have come.
func (e *Exchange) addPage(g *transfer, from int, response *message) {
	g.pages[response.Page] = append([]Endpoint{}, response.Endpoints...)
	g.receivedPages++
	g.lastPageTick, g.lastSender = e.tick, from
	g.outstandingPages--
	if g.outstandingPages <= 0 && !g.complete() {
		e.requestMissing(g)
	}
}

func (g *transfer) complete() bool { return g.receivedPages >= len(g.pages) }

// missing are the first pages that are missing, as many as one request can name.
func (g *transfer) missingPages() (pages []int) {
	for page := range g.pages {
		if g.pages[page] == nil && len(pages) < maxPagesPerRequest {
			pages = append(pages, page)
		}
	}
	return pages
}

// endpoints are those of all pages.
func (g *transfer) endpoints() []Endpoint { return slices.Concat(g.pages...) }
