// Package netfault schedules faults on the links between the nodes, endpoints, discovery and clients of a run: which
// message is lost, delayed, duplicated, reordered or corrupted, and when. It reads no clock and no socket, and serves
// emulated and simulated runs alike: the fate of a message depends only on the time, the fault's seed, the link and the
// message's number on that link.
package netfault

import (
	"slices"
	"strconv"
)

// EndKind is the kind of participant at one end of a link.
type EndKind uint8

// The kinds of link ends.
const (
	Node EndKind = iota
	Endpoint
	Discovery
	Client
)

// End is one end of a link. All clients of a zone share one end, whose index is the zone's.
type End struct {
	Kind  EndKind
	Index int
}

func (e End) String() string {
	return [...]string{"n", "s", "discovery ", "clients "}[e.Kind] + strconv.Itoa(e.Index)
}

// Kind is a kind of fault, by its name in scenario files.
type Kind string

// The kinds of faults.
const (
	Cut       Kind = "link-cut"     // all messages are lost
	Drop      Kind = "link-drop"    // a fraction of messages is lost
	Delay     Kind = "link-delay"   // all messages arrive later
	Duplicate Kind = "link-twice"   // a fraction arrives a second time, after Wait
	Reorder   Kind = "link-reorder" // a fraction is delayed by Wait, so that later messages overtake it
	Corrupt   Kind = "link-spoil"   // one byte of a fraction of messages is changed
	Throttle  Kind = "link-narrow"  // bandwidth is limited to Rate
)

// Variants lists the variants of kinds that have any; the first is the default.
var Variants = map[Kind][]string{Cut: {"silent", "refused"}, Delay: {"fixed", "drawn", "growing"}}

// Fault is a fault that affects some links for a time. Times are nanoseconds.
type Fault struct {
	Kind     Kind
	Variant  string
	From, To []End
	OneWay   bool // affects only messages from From to To
	Begin    int64
	End      int64
	Share    float64 // fraction of messages affected; 0: all
	Burst    int     // number of consecutive messages that share one draw
	Wait     int64
	Rate     float64 // bytes per second, of Throttle
	Seed     uint64

	from, to map[End]bool
}

// appliesTo reports whether the fault affects the link from one end to another, at any time.
func (f *Fault) appliesTo(from, to End) bool {
	return f.from[from] && f.to[to] || !f.OneWay && f.from[to] && f.to[from]
}

func (f *Fault) active(now int64) bool { return f.Begin <= now && now < f.End }

// affectsKinds reports whether the fault affects any link between two kinds of ends, in either direction.
func (f *Fault) affectsKinds(a, b EndKind) bool {
	has := func(ends []End, k EndKind) bool {
		return slices.ContainsFunc(ends, func(e End) bool { return e.Kind == k })
	}
	return has(f.From, a) && has(f.To, b) || has(f.From, b) && has(f.To, a)
}

// CanLink reports whether links exist between two kinds of ends, and whether they carry single messages rather than
// streams.
func CanLink(a, b EndKind) (linked, messages bool) {
	return min(a, b) == Node, a == Node && b == Node
}

// AppliesToStreams reports whether a kind of fault can affect a stream. A stream is read completely, in order and once,
// so loss appears as delay.
func AppliesToStreams(k Kind) bool { return k != Duplicate && k != Reorder && k != Corrupt }

// Conflict reports whether two faults of the same kind overlap in time on a link.
func Conflict(a, b *Fault) bool {
	if a.Kind != b.Kind || a.End <= b.Begin || b.End <= a.Begin {
		return false
	}
	links := a.links()
	for link := range b.links() {
		if links[link] {
			return true
		}
	}
	return false
}

type link struct{ from, to End }

// links returns the directed links that the fault affects.
func (f *Fault) links() map[link]bool {
	all := map[link]bool{}
	for _, a := range f.From {
		for _, b := range f.To {
			all[link{a, b}] = true
			if !f.OneWay {
				all[link{b, a}] = true
			}
		}
	}
	return all
}
