// Package netfault holds the schedule of faults on the links between the parts of a run: which message is lost, delayed,
// duplicated, reordered or corrupted, and when. It is pure, the same for sockets and for virtual time: the fate of a
// message depends on the seed, the link and the message's number on it alone.
package netfault

import (
	"slices"
	"strconv"
)

// EndKind is a kind of part.
type EndKind uint8

// The parts that links lead between.
const (
	Node EndKind = iota
	Endpoint
	Discovery
	Client
)

// End is one end of a link. Clients are one end for each zone, by the zone's number.
type End struct {
	Kind  EndKind
	Index int
}

func (e End) String() string {
	return [...]string{"n", "s", "discovery ", "clients "}[e.Kind] + strconv.Itoa(e.Index)
}

// Kind of fault, by its name in scenario files.
type Kind string

// The kinds of faults.
const (
	Cut       Kind = "link-cut"     // nothing passes
	Drop      Kind = "link-drop"    // a share is lost
	Delay     Kind = "link-delay"   // everything arrives later
	Duplicate Kind = "link-twice"   // a share arrives a second time, after Wait
	Reorder   Kind = "link-reorder" // a share is held for Wait, so that others overtake it
	Corrupt   Kind = "link-spoil"   // a byte of a share is changed
	Throttle  Kind = "link-narrow"  // so many bytes a second
)

// Variants of some kinds; the first is the default.
var Variants = map[Kind][]string{Cut: {"silent", "refused"}, Delay: {"fixed", "drawn", "growing"}}

// Fault is a fault of some links for a time. Times are nanoseconds.
type Fault struct {
	Kind     Kind
	Variant  string
	From, To []End
	OneWay   bool // only from From to To
	Begin    int64
	End      int64
	Share    float64 // of the messages
	Burst    int     // so many in a row have the same fate
	Wait     int64
	Rate     float64 // bytes a second
	Seed     uint64

	from, to map[End]bool
}

// hits tells whether the fault is of the link from one end to another, at any time.
func (f *Fault) appliesTo(from, to End) bool {
	return f.from[from] && f.to[to] || !f.OneWay && f.from[to] && f.to[from]
}

func (f *Fault) active(now int64) bool { return f.Begin <= now && now < f.End }

// touches tells whether the fault is of any link between two kinds of ends, in either direction.
func (f *Fault) affectsKinds(a, b EndKind) bool {
	has := func(ends []End, k EndKind) bool {
		return slices.ContainsFunc(ends, func(e End) bool { return e.Kind == k })
	}
	return has(f.From, a) && has(f.To, b) || has(f.From, b) && has(f.To, a)
}

// CanLink tells whether there are links between two kinds of ends, and whether these carry single messages or streams.
func CanLink(a, b EndKind) (linked, messages bool) {
	return min(a, b) == Node, a == Node && b == Node
}

// AppliesToStreams tells whether a stream can show a fault of a kind: a stream is read completely, in order and once, and
// loss shows as delay.
func AppliesToStreams(k Kind) bool { return k != Duplicate && k != Reorder && k != Corrupt }

// Conflict tells whether two faults are of one kind on one link at one time.
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

// links returns the links that the fault names, in their directions.
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
