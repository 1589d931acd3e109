package netfault

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Fate is what happens to one message.
type Fate struct {
	Lost           bool
	Refused        bool // the sender is notified, where the link has a means to
	Delay          int64
	DuplicateAfter int64   // a second copy comes so long after; 0: none
	CorruptByte    int     // place of the changed byte; noByte: none
	Rate           float64 // bytes a second; 0: not bounded
}

// noByte as the corrupt byte of a Fate stands for none.
const noByte = -1

// Schedule is all faults on the links of a run. It is not changed once made.
type Schedule struct {
	faults  []Fault // by their beginnings
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

func setOf(ends []End) map[End]bool {
	set := make(map[End]bool, len(ends))
	for _, e := range ends {
		set[e] = true
	}
	return set
}

// Changes returns the times at which any fault begins or ends, in order.
func (s *Schedule) Changes() []int64 { return s.changes }

// message is one message on a link, with its size in bytes.
type message struct {
	from, to End
	number   uint64
	size     int
}

// random returns a number from 0 to 1 for a message, evenly spread and the same each time.
func (f *Fault) random(m *message, purpose uint64) float64 {
	return fraction(mix(f.Seed, m.from, m.to, m.number, purpose))
}

// The purposes of random numbers.
const (
	purposeShare = 1 + iota
	purposeDelay
	purposeByte
)

// mix is a number from a fault's seed, a link and a message's number, evenly spread.
func mix(seed uint64, from, to End, n uint64, purpose uint64) uint64 {
	x := seed ^ purpose*0x9e3779b97f4a7c15
	ends := [...]uint64{
		uint64(from.Kind)<<32 | uint64(uint32(from.Index)), uint64(to.Kind)<<32 | uint64(uint32(to.Index)), n,
	}
	for _, v := range ends {
		x += v + 0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return x
}

func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// FateOf returns the fate of message n on the link from one end to another.
func (s *Schedule) FateOf(now int64, from, to End, n uint64, size int) Fate {
	fate := Fate{CorruptByte: noByte}
	m := &message{from, to, n, size}
	for i := range s.faults {
		f := &s.faults[i]
		if f.Begin > now {
			break
		}
		if now < f.End && f.appliesTo(from, to) {
			f.apply(now, m, &fate)
		}
	}
	return fate
}

// strikes tells whether the message is of the fault's share.
func (f *Fault) selects(m *message) bool {
	burst := m.number / uint64(max(f.Burst, 1))
	return f.Share == 0 || fraction(mix(f.Seed, m.from, m.to, burst, purposeShare)) < f.Share
}

// apply adds what an active fault does to a message.
func (f *Fault) apply(now int64, m *message, fate *Fate) {
	switch f.Kind {
	case Cut:
		fate.Lost = true
		fate.Refused = fate.Refused || f.Variant == "refused"
		return
	case Delay:
		fate.Delay += f.delay(now, m)
		return
	case Throttle:
		fate.Rate = f.Rate
		return
	}
	if !f.selects(m) {
		return
	}
	switch f.Kind {
	case Drop:
		fate.Lost = true
	case Duplicate:
		fate.DuplicateAfter = max(f.Wait, 1)
	case Reorder:
		fate.Delay += f.Wait
	case Corrupt:
		if m.size > 0 {
			fate.CorruptByte = int(mix(f.Seed, m.from, m.to, m.number, purposeByte) % uint64(m.size))
		}
	}
}

func (f *Fault) delay(now int64, m *message) int64 {
	switch f.Variant {
	case "drawn":
		return int64(-math.Log(1-f.random(m, purposeDelay)) * float64(f.Wait))
	case "growing":
		return int64(float64(f.Wait) * float64(now-f.Begin) / float64(f.End-f.Begin))
	}
	return f.Wait
}

// Open tells whether anything passes from one end to another at a moment.
func (s *Schedule) Open(now int64, from, to End) bool {
	for i := range s.faults {
		if f := &s.faults[i]; f.Kind == Cut && f.active(now) && f.appliesTo(from, to) {
			return false
		}
	}
	return true
}

// Touches tells whether any fault is of a link between two kinds of ends, in either direction.
func (s *Schedule) Affects(a, b EndKind) bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.affectsKinds(a, b) })
}

const (
	retransmitTimeout    = int64(200 * time.Millisecond) // of a lost piece of a stream
	maxConsecutiveLosses = 5                             // in a row
	maxThrottleDelay     = int64(time.Second)
	maxDrawnDelayFactor  = 10 // times its mean that a drawn delay may be
)

// Allowance is by how much messages between two kinds of ends may be late at a moment: what a time limit is longer by
// that is checked at the far end. Nothing of a node's own doing is in it.
func (s *Schedule) MaxDelay(at int64, a, b EndKind) int64 {
	sum := int64(0)
	for i := range s.faults {
		f := &s.faults[i]
		if !f.affectsKinds(a, b) {
			continue
		}
		if late := f.maxDelay(); f.Begin <= at && at < f.End+late {
			sum += late
		}
	}
	return sum
}

// maxDelay is by how much a message may be late by the fault.
func (f *Fault) maxDelay() int64 {
	switch {
	case f.Kind == Cut: // what was held up arrives when the link is mended
		return f.End - f.Begin
	case f.Kind == Drop:
		return maxConsecutiveLosses * retransmitTimeout
	case f.Kind == Throttle:
		return maxThrottleDelay
	case f.Kind == Delay && f.Variant == "drawn":
		return maxDrawnDelayFactor * f.Wait
	}
	return f.Wait
}
