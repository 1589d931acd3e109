// Package endpointgossip owns the list of servers as other nodes have it, for a node whose own watch of discovery does not stand: whom it
// asks, how often, which of several answers it takes, and what it answers when asked. It has no I/O, no clock and no goroutine:
// beats are told, loads go out through a Way, and the same calls give the same lists. It must never go before discovery's own word,
// be waited for, lift a drain that a list at least as new has told, or take most of the servers away on one node's word.
//
// The order between lists, each a line of take:
//
//   - What the node's own watch tells ends all gossip.
//   - A list that somebody's watch has told since that node started goes before one that is only remembered.
//   - Of two such, or two remembered ones, the higher version holds. Two of the same version, or a remembered one of a higher
//     version than what is told, make the more cautious of both: more servers, more of them draining, later starts. So nodes that
//     ask one another come to the same list in whatever order answers come, unless lists of one version contradict one another so
//     far that together they leave less than half.
//   - A server that was known and is not on a newer list is taken for draining, not for gone.
//   - A list that leaves less than half of the servers that the node could use counts once two nodes tell it whose own watches
//     stand. Gossip of one, however often repeated, bans nothing of that size.
//   - A list that is not known to have stood within the last FreshFor says who serves, not since when: servers that are new in it
//     are cold. An age is counted from when the question went out, so that a late answer is old.
//
// Bounds, for N nodes. A node whose watch stands sends nothing by itself. One whose watch does not asks at most asksABeat = 4
// times in a beat, and any answers with at most answersABeat = 24 loads; so all of them send at most N · 28 loads in a beat, each
// under MostLoad bytes. Who is asked is drawn, so that nodes that wake together do not ask the same one. Kept are at most two
// lists and the one that is being gathered, of MostLines servers each.
package endpointgossip

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MostLoad is the length that no load reaches.
	MaxMessageBytes = 1000
	// MostLines is how many servers a list may have.
	MaxEndpoints = 8192
	// FreshFor is for how long after it was known to stand a list says since when its servers run, nanoseconds.
	FreshForNs = int64(5e9)

	nodesPerRequest     = 2 // asked at a time
	maxRequestsPerTick  = 4
	maxResponsesPerTick = 24
	maxPagesPerRequest  = 8
	maxBackoffTicks     = 10 // beats between two askings
	watchGraceTicks     = 5  // beats for which a watch that stands may still bring its first line
	pageRetryTicks      = 2  // beats after which pages that were asked for are asked for anew
	gatherTimeoutTicks  = 30 // beats for which a list is gathered without a page of it coming
	maxPageBytes        = MaxMessageBytes - 120
	maxPages            = 1024
	unknownAge          = int64(math.MaxInt64) // as an age
	minUsableShare      = 2                    // a list may leave one in so many on one word
	requiredWitnesses   = 2                    // with standing watches, for more than that
)

// Line is one server of a list.
type Endpoint struct {
	Name      string  `cbor:"1,keyasint"`
	Address   string  `cbor:"2,keyasint"`
	Zone      string  `cbor:"3,keyasint,omitempty"`
	Pod       int     `cbor:"4,keyasint,omitempty"`
	Weight    float64 `cbor:"5,keyasint,omitempty"`
	Draining  bool    `cbor:"6,keyasint,omitempty"`
	StartedNs int64   `cbor:"7,keyasint,omitempty"` // Unix nanoseconds by the list; 0: long ago
}

func (l *Endpoint) valid() bool {
	return l.Name != "" && len(l.Name) <= 256 && len(l.Address) <= 64 && len(l.Zone) <= 64 && l.Weight >= 0 && !math.IsInf(l.Weight, 0) && l.StartedNs >= 0
}

// Way carries loads to other nodes, which are named by their places; it may lose them.
type Transport interface {
	SendPayload(to int, load []byte)
	// Others are the nodes that may hear: all but those that are known not to.
	Reachable() []int
}

// Counts of what has happened since the start. They only grow.
type Counters struct {
	Requests          int64 `json:"asked"`
	Responses         int64 `json:"answered"`
	ResponsesWithheld int64 `json:"held"` // answers not given, beyond the bound
	Invalid           int64 `json:"bad"`  // loads that make no sense
	Accepted          int64 `json:"taken"`
	Unconfirmed       int64 `json:"doubted"` // lists that took most servers away, on one word
}

// list is a whole list as this node has it.
type list struct {
	version     int64
	digest      uint64
	endpoints   []Endpoint // by name
	pages       [][]Endpoint
	confirmedAt int64 // when it was last known to stand with discovery, by this node's clock; 0: not known
	remembered  bool  // nobody's watch told it, as far as known
}

// gathering is a list that comes page by page.
type gathering struct {
	head         message
	pages        [][]Endpoint
	received     int
	requested    int   // pages asked for and not here yet
	lastPageTick int64 // beat at which a page came last
	requestTick  int64 // and at which some were asked for
	from         int   // whom
	witnesses    []int // nodes whose own watches tell it
	unconfirmed  bool
}

// Hearsay is one node's.
type Exchange struct {
	transport Transport
	random    *rand.Rand

	watched        map[string]Endpoint // what its own watch told, or goes on from
	watchedVersion int64               // the version of that; 0: none
	watchUp        bool
	watchHeardAt   int64 // when it last said anything
	silentTicks    int   // beats for which it has stood without telling a list
	usesGossip     bool  // the node goes by gossip

	held            *list // what it answers with, and goes by while its watch does not stand
	gathering       *gathering
	startedAt       int64
	now             int64
	tick            int64
	nextRequest     int64 // beat at which it asks
	backoff         int64
	betterAt        int // who said that it has a better list; -1: nobody
	requestsInTick  int // in this beat
	responsesInTick int
	counters        Counters
}

// New begins with what the node knows from before, which may be nothing; base: its watch goes on from that. now is Unix nanoseconds of the node's clock, which never
// goes back while the node runs.
func New(seed uint64, way Transport, now, version int64, remembered []Endpoint, base bool) *Exchange {
	h := &Exchange{transport: way, random: rand.New(rand.NewPCG(seed, 11)), watched: map[string]Endpoint{}, betterAt: -1, backoff: 1, startedAt: now, now: now}
	if len(remembered) > 0 && len(remembered) <= MaxEndpoints {
		h.held = newList(version, slices.Clone(remembered), 0, true)
		for _, l := range remembered {
			h.watched[l.Name] = l
		}
		if base {
			h.watchedVersion = version
		}
	}
	h.nextRequest = 1 + h.random.Int64N(2)
	return h
}

func newList(version int64, lines []Endpoint, stood int64, recalled bool) *list {
	slices.SortFunc(lines, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	l := &list{version: version, endpoints: lines, confirmedAt: stood, remembered: recalled}
	sum, room, page := xxhash.New(), 0, []Endpoint(nil)
	for i := range lines {
		text := encode(&lines[i])
		sum.Write(text)
		if room += len(text); room > maxPageBytes && len(page) > 0 {
			l.pages, page, room = append(l.pages, page), nil, len(text)
		}
		page = append(page, lines[i])
	}
	l.pages = append(l.pages, page)
	l.digest = sum.Sum64()
	return l
}

// Listed takes what the node's own watch tells; that ends what it had from others. gone are no longer on the list. Where the node
// went by gossip it is to go by the lines that are returned instead, as the whole list.
func (h *Exchange) WatchUpdated(now, version int64, lines []Endpoint, gone []string, whole bool) []Endpoint {
	if whole {
		h.watched = map[string]Endpoint{}
	}
	for _, l := range lines {
		h.watched[l.Name] = l
	}
	for _, name := range gone {
		delete(h.watched, name)
	}
	h.now = max(h.now, now)
	h.watchedVersion = version
	return h.watchRestored(h.now)
}

// back goes by the own watch again.
func (h *Exchange) watchRestored(word int64) (lines []Endpoint) {
	h.watchUp, h.watchHeardAt, h.silentTicks, h.gathering, h.betterAt = true, word, 0, nil, -1
	h.held = nil // made when it is asked for
	if h.usesGossip {
		lines = h.currentList().endpoints
	}
	h.usesGossip = false
	return lines
}

// mine is the list that this node answers with; nil: it has none.
func (h *Exchange) currentList() *list {
	if h.watchUp {
		if h.held == nil {
			h.held = newList(h.watchedVersion, slices.Collect(maps.Values(h.watched)), 0, false)
		}
		h.held.confirmedAt = h.watchHeardAt
	}
	return h.held
}

// age is for how long a list has not been known to stand.
func (h *Exchange) age(l *list) int64 {
	if l.confirmedAt == 0 {
		return unknownAge
	}
	return h.now - l.confirmedAt
}

// Beat is called ten times in a round. word is when the node's own watch last said anything, an empty line too; 0: it does not
// stand. The lines that it returns are as those of Listed.
func (h *Exchange) Tick(now, word int64) []Endpoint {
	h.now = max(h.now, now)
	h.tick++
	h.requestsInTick, h.responsesInTick = 0, 0
	if word > 0 && h.watchUp {
		h.watchHeardAt = max(h.watchHeardAt, word)
		return nil
	}
	if h.silentTicks++; word == 0 {
		h.silentTicks = 0
	}
	if h.silentTicks > watchGraceTicks && h.watchedVersion > 0 { // a watch that goes on from what the node had, and has nothing to add
		return h.watchRestored(word)
	}
	if h.watchUp {
		h.currentList()
		h.watchUp, h.backoff = false, 1
		h.nextRequest = h.tick + h.random.Int64N(maxBackoffTicks) // all lose discovery at one moment
	}
	if g := h.gathering; g != nil && h.tick-g.lastPageTick > gatherTimeoutTicks {
		h.gathering = nil
	}
	if h.betterAt >= 0 {
		h.request(h.betterAt, nil)
		h.betterAt = -1
	}
	if g := h.gathering; g != nil && g.received < len(g.pages) && h.tick-g.requestTick >= pageRetryTicks { // of what was asked for something is lost
		h.requestMissing(g)
	}
	if h.tick < h.nextRequest {
		return nil
	}
	others := h.transport.Reachable()
	for range min(nodesPerRequest, len(others)) {
		i := h.random.IntN(len(others))
		h.request(others[i], nil)
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	h.backoff = min(2*h.backoff, maxBackoffTicks)
	h.nextRequest = h.tick + 1 + h.random.Int64N(h.backoff)
	return nil
}

func (h *Exchange) request(to int, pages []int) {
	if h.requestsInTick++; h.requestsInTick > maxRequestsPerTick {
		return
	}
	q := message{Kind: requestKind, RequestedAt: h.now, WantPages: pages}
	if l := h.currentList(); l != nil {
		q.Version, q.Digest, q.Remembered = l.version, l.digest, l.remembered
	}
	if pages != nil {
		q.Version, q.Digest = h.gathering.head.Version, h.gathering.head.Digest
	}
	h.counters.Requests++
	h.transport.SendPayload(to, encode(&q))
}

// askFor asks for pages that are missing, who told of them last.
func (h *Exchange) requestMissing(g *gathering) {
	pages := g.missing()
	g.requested, g.requestTick = len(pages), h.tick
	h.request(g.from, pages)
}

// Heard takes in a load. It returns the lines that the node is to go by from now on: those that differ from what it was told
// before need not be the only ones, and a server that is in none of them stays as it is. Nil: nothing changes.
func (h *Exchange) Receive(now int64, from int, load []byte) []Endpoint {
	h.now = max(h.now, now)
	var m message
	if len(load) >= MaxMessageBytes || decMode.Unmarshal(load, &m) != nil || !m.valid() {
		h.counters.Invalid++
		return nil
	}
	if m.Kind == requestKind {
		h.respond(from, &m)
		return nil
	}
	if h.watchUp {
		return nil
	}
	if m.RequestedAt < h.startedAt || m.RequestedAt > h.now { // of an earlier life, or to nothing that this node asked
		h.counters.Invalid++
		return nil
	}
	return h.responseReceived(from, &m)
}

// answer says which list this node has, and sends pages of it to who has not got it.
func (h *Exchange) respond(to int, q *message) {
	l := h.currentList()
	ahead := len(q.WantPages) == 0 && q.Digest != 0 && (l == nil || preferred(q, &message{Version: l.version, Remembered: l.remembered}))
	if ahead && !h.watchUp {
		h.betterAt = to
	}
	if l == nil {
		return
	}
	a := message{
		Kind: responseKind, RequestedAt: q.RequestedAt, Version: l.version, Digest: l.digest, Pages: len(l.pages), Page: -1, AgeNs: max(h.age(l), 0),
		WatchUp: h.watchUp, Remembered: l.remembered,
	}
	want := q.WantPages
	switch same := q.Version == l.version && q.Digest == l.digest; {
	case len(want) > 0 && !same: // the list that it gathers is not this node's any more
		want = nil
	case len(want) == 0 && !same && !ahead:
		for p := range min(maxPagesPerRequest, len(l.pages)) {
			want = append(want, p)
		}
	}
	if len(want) == 0 {
		want = []int{-1}
	}
	for _, p := range want[:min(len(want), maxPagesPerRequest)] {
		if p >= len(l.pages) {
			continue
		}
		if h.responsesInTick++; h.responsesInTick > maxResponsesPerTick {
			h.counters.ResponsesWithheld++
			return
		}
		if a.Page, a.Endpoints = p, nil; p >= 0 {
			a.Endpoints = l.pages[p]
		}
		h.counters.Responses++
		h.transport.SendPayload(to, encode(&a))
	}
}

// answered takes an answer in.
func (h *Exchange) responseReceived(from int, a *message) []Endpoint {
	now := h.currentList()
	if now != nil && a.Version == now.version && a.Digest == now.digest {
		now.confirmedAt, now.remembered = max(now.confirmedAt, a.confirmedAt()), now.remembered && a.Remembered // it stands, or did more lately than this node knew
		return nil
	}
	if now != nil && (a.Remembered || !now.remembered) && a.Version < now.version {
		return nil
	}
	g := h.gathering
	if g == nil || preferred(a, &g.head) {
		g = &gathering{head: *a, from: from, pages: make([][]Endpoint, a.Pages), requested: min(maxPagesPerRequest, a.Pages), lastPageTick: h.tick, requestTick: h.tick}
		h.gathering = g
	}
	if a.Version != g.head.Version || a.Digest != g.head.Digest || a.Pages != len(g.pages) {
		return nil // another one, when this is done
	}
	if a.confirmedAt() > g.head.confirmedAt() {
		g.head.RequestedAt, g.head.AgeNs = a.RequestedAt, a.AgeNs
	}
	if a.WatchUp && !slices.Contains(g.witnesses, from) && len(g.witnesses) < requiredWitnesses {
		g.witnesses = append(g.witnesses, from)
	}
	g.head.Remembered = g.head.Remembered && a.Remembered
	if a.Page >= 0 && g.pages[a.Page] == nil {
		g.pages[a.Page] = append([]Endpoint{}, a.Endpoints...)
		g.received++
		g.lastPageTick, g.from = h.tick, from
		if g.requested--; g.requested <= 0 && g.received < len(g.pages) {
			h.requestMissing(g)
		}
	}
	if g.received < len(g.pages) {
		return nil
	}
	return h.accept(g)
}

// better tells whether a list is rather gathered than the one under way.
func preferred(a, than *message) bool {
	if a.Remembered != than.Remembered {
		return than.Remembered
	}
	return a.Version > than.Version
}

func (g *gathering) missing() (out []int) {
	for p := range g.pages {
		if g.pages[p] == nil && len(out) < maxPagesPerRequest {
			out = append(out, p)
		}
	}
	return out
}

// take makes a gathered list the one that the node goes by, in the order that the package's head gives.
func (h *Exchange) accept(g *gathering) []Endpoint {
	var lines []Endpoint
	for _, p := range g.pages {
		lines = append(lines, p...)
	}
	stood := g.head.confirmedAt()
	fresh := newList(g.head.Version, lines, stood, g.head.Remembered)
	if fresh.digest != g.head.Digest || len(lines) > MaxEndpoints { // pages of different makers
		h.counters.Invalid++
		h.gathering = nil
		return nil
	}
	now := h.currentList()
	next := fresh
	var absent []Endpoint
	if now != nil {
		if fresh.version > now.version && (now.remembered || !fresh.remembered) {
			absent = drainingAbsent(now.endpoints, lines)
		} else {
			a, b := now, fresh
			if b.remembered { // who was told knows since when servers run
				a, b = b, a
			}
			next = newList(max(a.version, b.version), mergeCautious(a.endpoints, b.endpoints, a.remembered && !b.remembered), max(a.confirmedAt, b.confirmedAt), a.remembered && b.remembered)
		}
		if activeCount(next.endpoints)*minUsableShare < activeCount(now.endpoints) && len(g.witnesses) < requiredWitnesses {
			if !g.unconfirmed {
				g.unconfirmed = true
				h.counters.Unconfirmed++
			}
			return nil // until another vouches for it, or something better comes
		}
	}
	h.gathering = nil
	if now != nil && next.version == now.version && next.digest == now.digest {
		now.confirmedAt, now.remembered = max(now.confirmedAt, stood), now.remembered && fresh.remembered
		return nil
	}
	h.held, h.usesGossip = next, true
	h.counters.Accepted++
	out := append(slices.Clone(next.endpoints), absent...)
	if h.age(next) > FreshForNs {
		was := map[string]int64{}
		if now != nil {
			for _, l := range now.endpoints {
				was[l.Name] = l.StartedNs
			}
		}
		for i := range out {
			if before, known := was[out[i].Name]; known {
				out[i].StartedNs = max(out[i].StartedNs, before)
			} else {
				out[i].StartedNs = h.now
			}
		}
	}
	return out
}

// join is the more cautious of two lists, server by server; told: the second alone knows since when servers run.
func mergeCautious(a, b []Endpoint, told bool) []Endpoint {
	of := map[string]Endpoint{}
	for _, l := range a {
		of[l.Name] = l
	}
	for _, l := range b {
		if was, known := of[l.Name]; known {
			if l.Draining = l.Draining || was.Draining; !told {
				l.StartedNs = max(l.StartedNs, was.StartedNs)
			}
			l.Address = max(l.Address, was.Address) // any, as long as it is the same everywhere
			l.Zone, l.Pod, l.Weight = max(l.Zone, was.Zone), max(l.Pod, was.Pod), min(l.Weight, was.Weight)
		}
		of[l.Name] = l
	}
	return slices.Collect(maps.Values(of))
}

// without are the servers of a list that another lacks, taken for draining.
func drainingAbsent(a, b []Endpoint) (out []Endpoint) {
	on := map[string]bool{}
	for _, l := range b {
		on[l.Name] = true
	}
	for _, l := range a {
		if !on[l.Name] {
			l.Draining = true
			out = append(out, l)
		}
	}
	return out
}

func activeCount(lines []Endpoint) (n int) {
	for i := range lines {
		if !lines[i].Draining {
			n++
		}
	}
	return n
}

// View is what the node has, for who asks.
type View struct {
	WatchUp    bool     `json:"watch_stands"`
	Version    int64    `json:"version"` // of the list that it goes by
	Endpoints  int      `json:"servers"`
	Remembered bool     `json:"remembered"` // nobody's watch told it since that node started, as far as known
	AgeSeconds float64  `json:"age_s"`      // since it was last known to stand; -1: not known
	Counters   Counters `json:"counts"`
}

// View tells what the node has.
func (h *Exchange) View() View {
	v := View{WatchUp: h.watchUp, AgeSeconds: -1, Counters: h.counters}
	if l := h.currentList(); l != nil {
		v.Version, v.Endpoints, v.Remembered = l.version, len(l.endpoints), l.remembered
		if l.confirmedAt > 0 {
			v.AgeSeconds = float64(h.age(l)) / 1e9
		}
	}
	return v
}

type kind uint8

const (
	requestKind kind = 1 + iota
	responseKind
)

// message is a load. Fields that a later version adds are passed over; a field is never put to another use.
type message struct {
	Kind        kind       `cbor:"1,keyasint"`
	Version     int64      `cbor:"2,keyasint"`
	Digest      uint64     `cbor:"3,keyasint"`
	WantPages   []int      `cbor:"4,keyasint,omitempty"`
	Pages       int        `cbor:"5,keyasint,omitempty"`
	Page        int        `cbor:"6,keyasint,omitempty"` // -1: the head alone
	Endpoints   []Endpoint `cbor:"7,keyasint,omitempty"`
	AgeNs       int64      `cbor:"8,keyasint,omitempty"`
	WatchUp     bool       `cbor:"9,keyasint,omitempty"` // the sender's own watch stands
	Remembered  bool       `cbor:"10,keyasint,omitempty"`
	RequestedAt int64      `cbor:"11,keyasint"` // when the question went out, by the asker's clock
}

// stood is when the list was known to stand, by the clock of who asked; 0: not known.
func (m *message) confirmedAt() int64 {
	if m.AgeNs >= m.RequestedAt {
		return 0
	}
	return m.RequestedAt - m.AgeNs
}

func (m *message) valid() bool {
	if m.Version < 0 || m.AgeNs < 0 || m.RequestedAt < 0 || len(m.WantPages) > maxPagesPerRequest || m.Kind != requestKind && m.Kind != responseKind {
		return false
	}
	for _, p := range m.WantPages {
		if p < 0 || p >= maxPages {
			return false
		}
	}
	for i := range m.Endpoints {
		if !m.Endpoints[i].valid() {
			return false
		}
	}
	return m.Kind == requestKind || m.Pages >= 1 && m.Pages <= maxPages && m.Page >= -1 && m.Page < m.Pages
}

var (
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options
	}
	return v
}

func encode(of any) []byte {
	text, err := encMode.Marshal(of)
	if err != nil {
		panic(err) // plain numbers and names
	}
	return text
}
