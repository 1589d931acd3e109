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
	MostLoad = 1000
	// MostLines is how many servers a list may have.
	MostLines = 8192
	// FreshFor is for how long after it was known to stand a list says since when its servers run, nanoseconds.
	FreshFor = int64(5e9)

	few          = 2 // asked at a time
	asksABeat    = 4
	answersABeat = 24
	pagesAtOnce  = 8
	slowest      = 10 // beats between two askings
	quiet        = 5  // beats for which a watch that stands may still bring its first line
	again        = 2  // beats after which pages that were asked for are asked for anew
	patience     = 30 // beats for which a list is gathered without a page of it coming
	pageRoom     = MostLoad - 120
	mostPages    = 1024
	unknown      = int64(math.MaxInt64) // as an age
	usable       = 2                    // a list may leave one in so many on one word
	witnesses    = 2                    // with standing watches, for more than that
)

// Line is one server of a list.
type Line struct {
	Name     string  `cbor:"1,keyasint"`
	Address  string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint,omitempty"`
	Pod      int     `cbor:"4,keyasint,omitempty"`
	Weight   float64 `cbor:"5,keyasint,omitempty"`
	Draining bool    `cbor:"6,keyasint,omitempty"`
	Started  int64   `cbor:"7,keyasint,omitempty"` // Unix nanoseconds by the list; 0: long ago
}

func (l *Line) sound() bool {
	return l.Name != "" && len(l.Name) <= 256 && len(l.Address) <= 64 && len(l.Zone) <= 64 && l.Weight >= 0 && !math.IsInf(l.Weight, 0) && l.Started >= 0
}

// Way carries loads to other nodes, which are named by their places; it may lose them.
type Way interface {
	SendPayload(to int, load []byte)
	// Others are the nodes that may hear: all but those that are known not to.
	Reachable() []int
}

// Counts of what has happened since the start. They only grow.
type Counts struct {
	Asked    int64 `json:"asked"`
	Answered int64 `json:"answered"`
	Held     int64 `json:"held"` // answers not given, beyond the bound
	Bad      int64 `json:"bad"`  // loads that make no sense
	Taken    int64 `json:"taken"`
	Doubted  int64 `json:"doubted"` // lists that took most servers away, on one word
}

// list is a whole list as this node has it.
type list struct {
	version  int64
	digest   uint64
	lines    []Line // by name
	pages    [][]Line
	stood    int64 // when it was last known to stand with discovery, by this node's clock; 0: not known
	recalled bool  // nobody's watch told it, as far as known
}

// gathering is a list that comes page by page.
type gathering struct {
	head   message
	pages  [][]Line
	have   int
	out    int   // pages asked for and not here yet
	since  int64 // beat at which a page came last
	asked  int64 // and at which some were asked for
	from   int   // whom
	vouch  []int // nodes whose own watches tell it
	doubts bool
}

// Hearsay is one node's.
type Hearsay struct {
	way  Way
	draw *rand.Rand

	own     map[string]Line // what its own watch told, or goes on from
	at      int64           // the version of that; 0: none
	stands  bool
	word    int64 // when it last said anything
	mute    int   // beats for which it has stood without telling a list
	strayed bool  // the node goes by gossip

	best    *list // what it answers with, and goes by while its watch does not stand
	other   *gathering
	birth   int64
	now     int64
	beat    int64
	next    int64 // beat at which it asks
	wait    int64
	hint    int // who said that it has a better list; -1: nobody
	asks    int // in this beat
	answers int
	counts  Counts
}

// New begins with what the node knows from before, which may be nothing; base: its watch goes on from that. now is Unix nanoseconds of the node's clock, which never
// goes back while the node runs.
func New(seed uint64, way Way, now, version int64, remembered []Line, base bool) *Hearsay {
	h := &Hearsay{way: way, draw: rand.New(rand.NewPCG(seed, 11)), own: map[string]Line{}, hint: -1, wait: 1, birth: now, now: now}
	if len(remembered) > 0 && len(remembered) <= MostLines {
		h.best = newList(version, slices.Clone(remembered), 0, true)
		for _, l := range remembered {
			h.own[l.Name] = l
		}
		if base {
			h.at = version
		}
	}
	h.next = 1 + h.draw.Int64N(2)
	return h
}

func newList(version int64, lines []Line, stood int64, recalled bool) *list {
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Compare(a.Name, b.Name) })
	l := &list{version: version, lines: lines, stood: stood, recalled: recalled}
	sum, room, page := xxhash.New(), 0, []Line(nil)
	for i := range lines {
		text := encode(&lines[i])
		sum.Write(text)
		if room += len(text); room > pageRoom && len(page) > 0 {
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
func (h *Hearsay) Listed(now, version int64, lines []Line, gone []string, whole bool) []Line {
	if whole {
		h.own = map[string]Line{}
	}
	for _, l := range lines {
		h.own[l.Name] = l
	}
	for _, name := range gone {
		delete(h.own, name)
	}
	h.now = max(h.now, now)
	h.at = version
	return h.back(h.now)
}

// back goes by the own watch again.
func (h *Hearsay) back(word int64) (lines []Line) {
	h.stands, h.word, h.mute, h.other, h.hint = true, word, 0, nil, -1
	h.best = nil // made when it is asked for
	if h.strayed {
		lines = h.mine().lines
	}
	h.strayed = false
	return lines
}

// mine is the list that this node answers with; nil: it has none.
func (h *Hearsay) mine() *list {
	if h.stands {
		if h.best == nil {
			h.best = newList(h.at, slices.Collect(maps.Values(h.own)), 0, false)
		}
		h.best.stood = h.word
	}
	return h.best
}

// age is for how long a list has not been known to stand.
func (h *Hearsay) age(l *list) int64 {
	if l.stood == 0 {
		return unknown
	}
	return h.now - l.stood
}

// Beat is called ten times in a round. word is when the node's own watch last said anything, an empty line too; 0: it does not
// stand. The lines that it returns are as those of Listed.
func (h *Hearsay) Beat(now, word int64) []Line {
	h.now = max(h.now, now)
	h.beat++
	h.asks, h.answers = 0, 0
	if word > 0 && h.stands {
		h.word = max(h.word, word)
		return nil
	}
	if h.mute++; word == 0 {
		h.mute = 0
	}
	if h.mute > quiet && h.at > 0 { // a watch that goes on from what the node had, and has nothing to add
		return h.back(word)
	}
	if h.stands {
		h.mine()
		h.stands, h.wait = false, 1
		h.next = h.beat + h.draw.Int64N(slowest) // all lose discovery at one moment
	}
	if g := h.other; g != nil && h.beat-g.since > patience {
		h.other = nil
	}
	if h.hint >= 0 {
		h.ask(h.hint, nil)
		h.hint = -1
	}
	if g := h.other; g != nil && g.have < len(g.pages) && h.beat-g.asked >= again { // of what was asked for something is lost
		h.askFor(g)
	}
	if h.beat < h.next {
		return nil
	}
	others := h.way.Reachable()
	for range min(few, len(others)) {
		i := h.draw.IntN(len(others))
		h.ask(others[i], nil)
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	h.wait = min(2*h.wait, slowest)
	h.next = h.beat + 1 + h.draw.Int64N(h.wait)
	return nil
}

func (h *Hearsay) ask(to int, pages []int) {
	if h.asks++; h.asks > asksABeat {
		return
	}
	q := message{Kind: question, Asked: h.now, Want: pages}
	if l := h.mine(); l != nil {
		q.Version, q.Digest, q.Recalled = l.version, l.digest, l.recalled
	}
	if pages != nil {
		q.Version, q.Digest = h.other.head.Version, h.other.head.Digest
	}
	h.counts.Asked++
	h.way.SendPayload(to, encode(&q))
}

// askFor asks for pages that are missing, who told of them last.
func (h *Hearsay) askFor(g *gathering) {
	pages := g.missing()
	g.out, g.asked = len(pages), h.beat
	h.ask(g.from, pages)
}

// Heard takes in a load. It returns the lines that the node is to go by from now on: those that differ from what it was told
// before need not be the only ones, and a server that is in none of them stays as it is. Nil: nothing changes.
func (h *Hearsay) Heard(now int64, from int, load []byte) []Line {
	h.now = max(h.now, now)
	var m message
	if len(load) >= MostLoad || reading.Unmarshal(load, &m) != nil || !m.sound() {
		h.counts.Bad++
		return nil
	}
	if m.Kind == question {
		h.answer(from, &m)
		return nil
	}
	if h.stands {
		return nil
	}
	if m.Asked < h.birth || m.Asked > h.now { // of an earlier life, or to nothing that this node asked
		h.counts.Bad++
		return nil
	}
	return h.answered(from, &m)
}

// answer says which list this node has, and sends pages of it to who has not got it.
func (h *Hearsay) answer(to int, q *message) {
	l := h.mine()
	ahead := len(q.Want) == 0 && q.Digest != 0 && (l == nil || better(q, &message{Version: l.version, Recalled: l.recalled}))
	if ahead && !h.stands {
		h.hint = to
	}
	if l == nil {
		return
	}
	a := message{
		Kind: reply, Asked: q.Asked, Version: l.version, Digest: l.digest, Pages: len(l.pages), Page: -1, Age: max(h.age(l), 0),
		First: h.stands, Recalled: l.recalled,
	}
	want := q.Want
	switch same := q.Version == l.version && q.Digest == l.digest; {
	case len(want) > 0 && !same: // the list that it gathers is not this node's any more
		want = nil
	case len(want) == 0 && !same && !ahead:
		for p := range min(pagesAtOnce, len(l.pages)) {
			want = append(want, p)
		}
	}
	if len(want) == 0 {
		want = []int{-1}
	}
	for _, p := range want[:min(len(want), pagesAtOnce)] {
		if p >= len(l.pages) {
			continue
		}
		if h.answers++; h.answers > answersABeat {
			h.counts.Held++
			return
		}
		if a.Page, a.Lines = p, nil; p >= 0 {
			a.Lines = l.pages[p]
		}
		h.counts.Answered++
		h.way.SendPayload(to, encode(&a))
	}
}

// answered takes an answer in.
func (h *Hearsay) answered(from int, a *message) []Line {
	now := h.mine()
	if now != nil && a.Version == now.version && a.Digest == now.digest {
		now.stood, now.recalled = max(now.stood, a.stood()), now.recalled && a.Recalled // it stands, or did more lately than this node knew
		return nil
	}
	if now != nil && (a.Recalled || !now.recalled) && a.Version < now.version {
		return nil
	}
	g := h.other
	if g == nil || better(a, &g.head) {
		g = &gathering{head: *a, from: from, pages: make([][]Line, a.Pages), out: min(pagesAtOnce, a.Pages), since: h.beat, asked: h.beat}
		h.other = g
	}
	if a.Version != g.head.Version || a.Digest != g.head.Digest || a.Pages != len(g.pages) {
		return nil // another one, when this is done
	}
	if a.stood() > g.head.stood() {
		g.head.Asked, g.head.Age = a.Asked, a.Age
	}
	if a.First && !slices.Contains(g.vouch, from) && len(g.vouch) < witnesses {
		g.vouch = append(g.vouch, from)
	}
	g.head.Recalled = g.head.Recalled && a.Recalled
	if a.Page >= 0 && g.pages[a.Page] == nil {
		g.pages[a.Page] = append([]Line{}, a.Lines...)
		g.have++
		g.since, g.from = h.beat, from
		if g.out--; g.out <= 0 && g.have < len(g.pages) {
			h.askFor(g)
		}
	}
	if g.have < len(g.pages) {
		return nil
	}
	return h.take(g)
}

// better tells whether a list is rather gathered than the one under way.
func better(a, than *message) bool {
	if a.Recalled != than.Recalled {
		return than.Recalled
	}
	return a.Version > than.Version
}

func (g *gathering) missing() (out []int) {
	for p := range g.pages {
		if g.pages[p] == nil && len(out) < pagesAtOnce {
			out = append(out, p)
		}
	}
	return out
}

// take makes a gathered list the one that the node goes by, in the order that the package's head gives.
func (h *Hearsay) take(g *gathering) []Line {
	var lines []Line
	for _, p := range g.pages {
		lines = append(lines, p...)
	}
	stood := g.head.stood()
	fresh := newList(g.head.Version, lines, stood, g.head.Recalled)
	if fresh.digest != g.head.Digest || len(lines) > MostLines { // pages of different makers
		h.counts.Bad++
		h.other = nil
		return nil
	}
	now := h.mine()
	next := fresh
	var absent []Line
	if now != nil {
		if fresh.version > now.version && (now.recalled || !fresh.recalled) {
			absent = without(now.lines, lines)
		} else {
			a, b := now, fresh
			if b.recalled { // who was told knows since when servers run
				a, b = b, a
			}
			next = newList(max(a.version, b.version), join(a.lines, b.lines, a.recalled && !b.recalled), max(a.stood, b.stood), a.recalled && b.recalled)
		}
		if usableOf(next.lines)*usable < usableOf(now.lines) && len(g.vouch) < witnesses {
			if !g.doubts {
				g.doubts = true
				h.counts.Doubted++
			}
			return nil // until another vouches for it, or something better comes
		}
	}
	h.other = nil
	if now != nil && next.version == now.version && next.digest == now.digest {
		now.stood, now.recalled = max(now.stood, stood), now.recalled && fresh.recalled
		return nil
	}
	h.best, h.strayed = next, true
	h.counts.Taken++
	out := append(slices.Clone(next.lines), absent...)
	if h.age(next) > FreshFor {
		was := map[string]int64{}
		if now != nil {
			for _, l := range now.lines {
				was[l.Name] = l.Started
			}
		}
		for i := range out {
			if before, known := was[out[i].Name]; known {
				out[i].Started = max(out[i].Started, before)
			} else {
				out[i].Started = h.now
			}
		}
	}
	return out
}

// join is the more cautious of two lists, server by server; told: the second alone knows since when servers run.
func join(a, b []Line, told bool) []Line {
	of := map[string]Line{}
	for _, l := range a {
		of[l.Name] = l
	}
	for _, l := range b {
		if was, known := of[l.Name]; known {
			if l.Draining = l.Draining || was.Draining; !told {
				l.Started = max(l.Started, was.Started)
			}
			l.Address = max(l.Address, was.Address) // any, as long as it is the same everywhere
			l.Zone, l.Pod, l.Weight = max(l.Zone, was.Zone), max(l.Pod, was.Pod), min(l.Weight, was.Weight)
		}
		of[l.Name] = l
	}
	return slices.Collect(maps.Values(of))
}

// without are the servers of a list that another lacks, taken for draining.
func without(a, b []Line) (out []Line) {
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

func usableOf(lines []Line) (n int) {
	for i := range lines {
		if !lines[i].Draining {
			n++
		}
	}
	return n
}

// View is what the node has, for who asks.
type View struct {
	Stands   bool    `json:"watch_stands"`
	Version  int64   `json:"version"` // of the list that it goes by
	Servers  int     `json:"servers"`
	Recalled bool    `json:"remembered"` // nobody's watch told it since that node started, as far as known
	Age      float64 `json:"age_s"`      // since it was last known to stand; -1: not known
	Counts   Counts  `json:"counts"`
}

// View tells what the node has.
func (h *Hearsay) View() View {
	v := View{Stands: h.stands, Age: -1, Counts: h.counts}
	if l := h.mine(); l != nil {
		v.Version, v.Servers, v.Recalled = l.version, len(l.lines), l.recalled
		if l.stood > 0 {
			v.Age = float64(h.age(l)) / 1e9
		}
	}
	return v
}

type kind uint8

const (
	question kind = 1 + iota
	reply
)

// message is a load. Fields that a later version adds are passed over; a field is never put to another use.
type message struct {
	Kind     kind   `cbor:"1,keyasint"`
	Version  int64  `cbor:"2,keyasint"`
	Digest   uint64 `cbor:"3,keyasint"`
	Want     []int  `cbor:"4,keyasint,omitempty"`
	Pages    int    `cbor:"5,keyasint,omitempty"`
	Page     int    `cbor:"6,keyasint,omitempty"` // -1: the head alone
	Lines    []Line `cbor:"7,keyasint,omitempty"`
	Age      int64  `cbor:"8,keyasint,omitempty"`
	First    bool   `cbor:"9,keyasint,omitempty"` // the sender's own watch stands
	Recalled bool   `cbor:"10,keyasint,omitempty"`
	Asked    int64  `cbor:"11,keyasint"` // when the question went out, by the asker's clock
}

// stood is when the list was known to stand, by the clock of who asked; 0: not known.
func (m *message) stood() int64 {
	if m.Age >= m.Asked {
		return 0
	}
	return m.Asked - m.Age
}

func (m *message) sound() bool {
	if m.Version < 0 || m.Age < 0 || m.Asked < 0 || len(m.Want) > pagesAtOnce || m.Kind != question && m.Kind != reply {
		return false
	}
	for _, p := range m.Want {
		if p < 0 || p >= mostPages {
			return false
		}
	}
	for i := range m.Lines {
		if !m.Lines[i].sound() {
			return false
		}
	}
	return m.Kind == question || m.Pages >= 1 && m.Pages <= mostPages && m.Page >= -1 && m.Page < m.Pages
}

var (
	reading = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	writing = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options
	}
	return v
}

func encode(of any) []byte {
	text, err := writing.Marshal(of)
	if err != nil {
		panic(err) // plain numbers and names
	}
	return text
}
