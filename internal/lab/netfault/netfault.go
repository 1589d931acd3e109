// Package netfault owns the ways between the parts of a day, and what is wrong with them when: which message is lost, late, doubled
// or spoilt. The schedule is pure, the same for sockets and for virtual time: what befalls a message hangs on the seed, the way and
// the message's number on it alone. It must never look at a clock or keep count of what passed.
package netfault

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Kind of a part of the day.
type EndKind uint8

// The parts that ways lead between.
const (
	Node EndKind = iota
	Endpoint
	Discovery
	Client
)

// End is one end of a way. Clients are one end for each zone, by the zone's number.
type End struct {
	Kind  EndKind
	Index int
}

func (e End) String() string {
	return [...]string{"n", "s", "discovery ", "clients "}[e.Kind] + strconv.Itoa(e.Index)
}

// Trouble is what is wrong with a way.
type Kind string

// The troubles of ways.
const (
	Cut       Kind = "link-cut"     // nothing passes
	Drop      Kind = "link-drop"    // a share is lost
	Delay     Kind = "link-delay"   // all comes later
	Duplicate Kind = "link-twice"   // a share comes a second time, after Wait
	Reorder   Kind = "link-reorder" // a share is held for Wait, so that others overtake it
	Corrupt   Kind = "link-spoil"   // a byte of a share is changed
	Narrow    Kind = "link-narrow"  // so many bytes a second
)

// Hows are the ways in which a trouble can be had; the first is the usual one.
var Variants = map[Kind][]string{Cut: {"silent", "refused"}, Delay: {"fixed", "drawn", "growing"}}

// Fault is a trouble of some ways for a time. Times are nanoseconds of the day.
type Fault struct {
	Kind     Kind
	From, To []End
	OneWay   bool // only what goes from From to To
	Begin    int64
	End      int64
	Variant  string
	Share    float64 // of the messages
	Burst    int     // so many in a row meet the same fate
	Wait     int64   // nanoseconds
	Rate     float64 // bytes a second
	Seed     uint64

	from, to map[End]bool
}

// Verdict is what befalls one message.
type Fate struct {
	Lost           bool
	Refused        bool // the sender is told, where the way has a means to
	Delay          int64
	DuplicateAfter int64 // after that long a second copy comes; 0: none
	CorruptByte    int   // place of the changed byte; -1: none
	Rate           float64
}

// Schedule is all that is wrong with the ways of a day.
type Schedule struct {
	faults  []Fault
	changes []int64
}

// New makes a schedule.
func New(faults []Fault) *Schedule {
	s := &Schedule{faults: slices.Clone(faults)}
	for i := range s.faults {
		f := &s.faults[i]
		f.from, f.to = setOf(f.From), setOf(f.To)
	}
	slices.SortStableFunc(s.faults, func(a, b Fault) int { return cmp.Compare(a.Begin, b.Begin) })
	for i := range s.faults {
		s.changes = append(s.changes, s.faults[i].Begin, s.faults[i].End)
	}
	slices.Sort(s.changes)
	s.changes = slices.Compact(s.changes)
	return s
}

func setOf(list []End) map[End]bool {
	set := make(map[End]bool, len(list))
	for _, e := range list {
		set[e] = true
	}
	return set
}

// hits tells whether a fault strikes a way at any time.
func (f *Fault) hits(from, to End) bool {
	return f.from[from] && f.to[to] || !f.OneWay && f.from[to] && f.to[from]
}

// mix is a number from a fault's seed, a way and a message's number, evenly spread.
func mix(seed uint64, from, to End, n uint64, salt uint64) uint64 {
	x := seed ^ salt*0x9e3779b97f4a7c15
	for _, v := range [...]uint64{uint64(from.Kind)<<32 | uint64(uint32(from.Index)), uint64(to.Kind)<<32 | uint64(uint32(to.Index)), n} {
		x += v + 0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return x
}

func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// Pass tells what befalls message n of the way from one end to another.
func (s *Schedule) FateOf(now int64, from, to End, n uint64, size int) Fate {
	v := Fate{CorruptByte: -1}
	for i := range s.faults {
		f := &s.faults[i]
		if f.Begin > now {
			break
		}
		if now >= f.End || !f.hits(from, to) {
			continue
		}
		struck := f.Share == 0 || fraction(mix(f.Seed, from, to, n/uint64(max(f.Burst, 1)), 1)) < f.Share
		switch f.Kind {
		case Cut:
			v.Lost = true
			v.Refused = v.Refused || f.Variant == "refused"
		case Drop:
			v.Lost = v.Lost || struck
		case Delay:
			switch draw := fraction(mix(f.Seed, from, to, n, 2)); f.Variant {
			case "drawn":
				v.Delay += int64(-math.Log(1-draw) * float64(f.Wait))
			case "growing":
				v.Delay += int64(float64(f.Wait) * float64(now-f.Begin) / float64(f.End-f.Begin))
			default:
				v.Delay += f.Wait
			}
		case Duplicate:
			if struck {
				v.DuplicateAfter = max(f.Wait, 1)
			}
		case Reorder:
			if struck {
				v.Delay += f.Wait
			}
		case Corrupt:
			if struck && size > 0 {
				v.CorruptByte = int(mix(f.Seed, from, to, n, 3) % uint64(size))
			}
		case Narrow:
			v.Rate = f.Rate
		}
	}
	return v
}

// Open tells whether anything passes from one end to another; Troubled whether all that passes does so unharmed.
func (s *Schedule) Open(now int64, from, to End) bool {
	for i := range s.faults {
		f := &s.faults[i]
		if f.Kind == Cut && f.Begin <= now && now < f.End && f.hits(from, to) {
			return false
		}
	}
	return true
}

// Touches tells whether any fault strikes a way of these kinds of ends, in either direction.
func (s *Schedule) Touches(a, b EndKind) bool {
	has := func(list []End, k EndKind) bool {
		return slices.ContainsFunc(list, func(e End) bool { return e.Kind == k })
	}
	for i := range s.faults {
		f := &s.faults[i]
		if has(f.From, a) && has(f.To, b) || has(f.From, b) && has(f.To, a) {
			return true
		}
	}
	return false
}

// Turns are the moments at which anything begins or ends, in order.
func (s *Schedule) Changes() []int64 { return s.changes }

// Site is what names of ends are resolved against.
type Site struct {
	Zones         []string
	NodeZones     []string // by node
	EndpointNames []string
	EndpointZones []string
}

// Ends resolves the names of a file: n3, n0..n5, nodes, nodes:ZONE, a server's name, servers, servers:ZONE, discovery, clients,
// clients:ZONE.
func (s *Site) Ends(names []string) ([]End, error) {
	var out []End
	for _, name := range names {
		list, err := s.ends(name)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b End) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Index, b.Index)) })
	return slices.Compact(out), nil
}

func (s *Site) ends(name string) ([]End, error) {
	group, zone, zoned := strings.Cut(name, ":")
	if zoned && !slices.Contains(s.Zones, zone) {
		return nil, fmt.Errorf("a zone of network.zones after the colon, got %q", name)
	}
	pick := func(k EndKind, zones []string) (out []End, err error) {
		for i, z := range zones {
			if !zoned || z == zone {
				out = append(out, End{k, i})
			}
		}
		if len(out) == 0 {
			err = fmt.Errorf("a name that somebody has, got %q", name)
		}
		return out, err
	}
	switch group {
	case "nodes":
		return pick(Node, s.NodeZones)
	case "servers":
		return pick(Endpoint, s.EndpointZones)
	case "clients":
		return pick(Client, s.Zones)
	case "discovery":
		return []End{{Discovery, 0}}, nil
	}
	if i := slices.Index(s.EndpointNames, name); i >= 0 {
		return []End{{Endpoint, i}}, nil
	}
	first, last, ranged := strings.Cut(name, "..")
	if !ranged {
		last = first
	}
	a, errA := nodeNumber(first)
	b, errB := nodeNumber(last)
	if errA != nil || errB != nil || a < 0 || a > b || b >= len(s.NodeZones) {
		return nil, fmt.Errorf("n0 to n%d, a range as n0..n%d, nodes, servers, clients (each with :ZONE), a server's name or discovery, got %q",
			len(s.NodeZones)-1, len(s.NodeZones)-1, name)
	}
	var out []End
	for i := a; i <= b; i++ {
		out = append(out, End{Node, i})
	}
	return out, nil
}

func nodeNumber(name string) (int, error) {
	digits, found := strings.CutPrefix(name, "n")
	if !found {
		return 0, strconv.ErrSyntax
	}
	return strconv.Atoi(digits)
}

// CanJoin tells whether there are ways between two kinds of ends, and whether these carry single messages (true) or streams.
func CanLink(a, b EndKind) (ways, messages bool) {
	if a > b {
		a, b = b, a
	}
	return a == Node, a == Node && b == Node
}

// OnStreams are the troubles that a stream can show: it is read whole, in order and once, and loss is lateness there.
func AppliesToStreams(t Kind) bool { return t != Duplicate && t != Reorder && t != Corrupt }

// Contradict tells whether two faults say different things of one way at one time.
func Conflict(a, b *Fault) bool {
	if a.Kind != b.Kind || a.End <= b.Begin || b.End <= a.Begin {
		return false
	}
	type way struct{ from, to End }
	ways := map[way]bool{}
	each := func(f *Fault, do func(way)) {
		for _, x := range f.From {
			for _, y := range f.To {
				do(way{x, y})
				if !f.OneWay {
					do(way{y, x})
				}
			}
		}
	}
	each(a, func(w way) { ways[w] = true })
	found := false
	each(b, func(w way) { found = found || ways[w] })
	return found
}
