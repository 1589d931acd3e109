package endpointgossip

import "slices"

const (
	pageRetryTicks     = 2  // after which missing pages are requested again
	gatherTimeoutTicks = 30 // without a page, after which a list is given up
	requiredWitnesses  = 2  // nodes whose watches are up, for a list that removes most endpoints
)

// gathering is a list that comes page by page.
type gathering struct {
	head         message // the first response, with the latest confirmation
	pages        [][]Endpoint
	received     int // pages
	requested    int // pages that were requested and have not come
	lastPageTick int64
	requestTick  int64
	from         int   // the node that sent a page last
	witnesses    []int // nodes whose own watches have sent the list
	unconfirmed  bool  // it lacks witnesses
}

// continueGathering gives up a list whose pages have stopped coming, and requests what is missing.
func (e *Exchange) continueGathering() {
	if g := e.gathering; g != nil && e.tick-g.lastPageTick > gatherTimeoutTicks {
		e.gathering = nil
	}
	if e.betterAt >= 0 {
		e.request(e.betterAt, nil)
		e.betterAt = -1
	}
	if g := e.gathering; g != nil && !g.complete() && e.tick-g.requestTick >= pageRetryTicks {
		e.requestMissing(g)
	}
}

// requestMissing requests missing pages from the node that sent one last.
func (e *Exchange) requestMissing(g *gathering) {
	pages := g.missing()
	g.requested, g.requestTick = len(pages), e.tick
	e.request(g.from, pages)
}

// responseReceived takes in a response; it returns endpoints as Receive does.
func (e *Exchange) responseReceived(from int, response *message) []Endpoint {
	if current := e.currentList(); current != nil {
		if current.is(response.Version, response.Digest) {
			current.confirm(response.confirmedAt(), response.Remembered)
			return nil
		}
		if (response.Remembered || !current.remembered) && response.Version < current.version {
			return nil
		}
	}
	if e.gathering == nil || preferred(response, &e.gathering.head) {
		e.gathering = e.newGathering(from, response)
	}
	g := e.gathering
	if !g.isOf(response) {
		return nil // of another list, which is asked for when this one is done
	}
	g.addConfirmation(from, response)
	if response.Page != headAlone && g.pages[response.Page] == nil {
		e.addPage(g, from, response)
	}
	if !g.complete() {
		return nil
	}
	return e.accept(g)
}

func (e *Exchange) newGathering(from int, head *message) *gathering {
	return &gathering{
		head:         *head,
		from:         from,
		pages:        make([][]Endpoint, head.Pages),
		requested:    min(maxPagesPerRequest, head.Pages),
		lastPageTick: e.tick,
		requestTick:  e.tick,
	}
}

func (g *gathering) isOf(m *message) bool {
	return m.Version == g.head.Version && m.Digest == g.head.Digest && m.Pages == len(g.pages)
}

// addConfirmation takes in what a response says of the list as a whole.
func (g *gathering) addConfirmation(from int, response *message) {
	if response.confirmedAt() > g.head.confirmedAt() {
		g.head.RequestedAt, g.head.AgeNs = response.RequestedAt, response.AgeNs
	}
	if response.WatchUp && !slices.Contains(g.witnesses, from) && len(g.witnesses) < requiredWitnesses {
		g.witnesses = append(g.witnesses, from)
	}
	g.head.Remembered = g.head.Remembered && response.Remembered
}

// addPage keeps a page, and requests more once those that were requested have come.
func (e *Exchange) addPage(g *gathering, from int, response *message) {
	g.pages[response.Page] = append([]Endpoint{}, response.Endpoints...)
	g.received++
	g.lastPageTick, g.from = e.tick, from
	g.requested--
	if g.requested <= 0 && !g.complete() {
		e.requestMissing(g)
	}
}

func (g *gathering) complete() bool { return g.received >= len(g.pages) }

// missing are the first pages that are missing, as many as one request can name.
func (g *gathering) missing() (pages []int) {
	for page := range g.pages {
		if g.pages[page] == nil && len(pages) < maxPagesPerRequest {
			pages = append(pages, page)
		}
	}
	return pages
}

// endpoints are those of all pages.
func (g *gathering) endpoints() []Endpoint { return slices.Concat(g.pages...) }
