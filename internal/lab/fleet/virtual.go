package fleet

// This file owns a fleet in virtual time: the members' core alone, hundreds of times, and the ways between. It must never read a
// clock: the same calls give the same views.

import (
	"container/heap"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
	"fmt"
	"math/rand/v2"
)

// mostCopied nodes at most have a message of each way kept: in a large fleet these would be most of the memory.
const mostCopied = 64

type happening struct {
	at  int64
	seq uint64
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Virtual is a fleet in virtual time.
type Virtual struct {
	Round   int64
	Way     int64 // of a datagram, nanoseconds
	Skew    []int64
	Skip    func(to int, datagram []byte) []byte // what a later or earlier version would make of a datagram; nil: nothing
	now     int64
	seq     uint64
	due     happenings
	nodes   []*simulated
	names   []string
	faults  *netfault.Schedule
	numbers map[[2]int]uint64
	copied  map[[2]int][]byte
	draw    *rand.Rand
}

type simulated struct {
	fleet  *Virtual
	index  int
	lives  int
	view   *members.Members
	frozen bool
	missed bool     // a beat while it was frozen
	waits  []func() // what came then
}

// NewVirtual makes a fleet of which nobody runs yet.
func NewVirtual(nodes int, seed uint64) *Virtual {
	v := &Virtual{
		Round: 500e6, Way: 500e3, Skew: make([]int64, nodes), now: 1_700_000_000e9, numbers: map[[2]int]uint64{}, copied: map[[2]int][]byte{},
		faults: netfault.New(nil), draw: rand.New(rand.NewPCG(seed, 5)),
	}
	for i := range nodes {
		v.names = append(v.names, fmt.Sprintf("n%d", i))
		v.nodes = append(v.nodes, &simulated{fleet: v, index: i})
	}
	return v
}

func (v *Virtual) at(when int64, do func()) {
	v.seq++
	heap.Push(&v.due, happening{when, v.seq, do})
}

// Run lets time pass.
func (v *Virtual) Run(long int64) {
	for end := v.now + long; ; {
		if len(v.due) == 0 || v.due[0].at > end {
			v.now = end
			return
		}
		next := heap.Pop(&v.due).(happening)
		v.now = next.at
		next.do()
	}
}

// Now is the virtual time, nanoseconds.
func (v *Virtual) Now() int64 { return v.now }

// Members of one node; nil if it does not run.
func (v *Virtual) Members(node int) *members.Members { return v.nodes[node].view }

func (v *Virtual) Len() int { return len(v.nodes) }
func (v *Virtual) Step()    { v.Run(v.Round / 5) }

func (s *simulated) clock() int64 { return s.fleet.now + s.fleet.Skew[s.index] }

func (v *Virtual) Start(node int) error {
	s := v.nodes[node]
	if s.view != nil {
		return fmt.Errorf("n%d: two processes of a name are for sockets", node)
	}
	s.lives++
	var err error
	s.view, err = members.New(members.Config{Name: v.names[node], Nodes: v.names, RoundNs: v.Round, Seed: v.draw.Uint64(), RunID: uint32(v.draw.Uint32())}, s, s.clock())
	if err != nil {
		return err
	}
	life := s.lives
	var beat func()
	beat = func() {
		if s.lives != life || s.view == nil {
			return
		}
		if s.missed = s.frozen; !s.frozen {
			s.view.Tick(s.clock())
		}
		v.at(v.now+v.Round/10, beat)
	}
	v.at(v.now+int64(v.draw.Uint64()%uint64(v.Round/10)), beat)
	return nil
}

// enter has a node do something, once it is not held any more.
func (s *simulated) enter(do func()) {
	if s.frozen {
		if len(s.waits) < 256 {
			s.waits = append(s.waits, do)
		}
		return
	}
	do()
}

// Send carries a datagram over the ways as they are.
func (s *simulated) Send(to int, datagram []byte) {
	v := s.fleet
	way := [2]int{s.index, to}
	v.numbers[way]++
	if v.Skip != nil {
		datagram = v.Skip(to, datagram)
	}
	if len(v.nodes) <= mostCopied && v.copied[way] == nil {
		v.copied[way] = datagram
	}
	p := v.faults.FateOf(v.now, netfault.End{Index: s.index}, netfault.End{Index: to}, v.numbers[way], len(datagram))
	if p.Lost {
		return
	}
	if p.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[p.CorruptByte] ^= 0x55
	}
	after := v.Way + int64(v.draw.Uint64()%uint64(v.Way/4+1)) + p.Delay
	v.at(v.now+after, func() { v.Throw(to, datagram) })
	if p.DuplicateAfter > 0 {
		v.at(v.now+after+p.DuplicateAfter, func() { v.Throw(to, datagram) })
	}
}

func (v *Virtual) Throw(to int, datagram []byte) {
	if s := v.nodes[to]; s.view != nil {
		view := s.view
		s.enter(func() {
			if s.view == view {
				s.view.Receive(s.clock(), datagram)
			}
		})
	}
}

func (v *Virtual) Copied(from, to int) []byte { return v.copied[[2]int{from, to}] }

func (v *Virtual) Kill(node int) {
	s := v.nodes[node]
	s.view, s.waits, s.frozen, s.missed = nil, nil, false, false
}

func (v *Virtual) Stop(node int) {
	if s := v.nodes[node]; s.view != nil {
		s.view.Leave()
	}
	v.Kill(node)
}

func (v *Virtual) Freeze(node int) { v.nodes[node].frozen = true }

func (v *Virtual) Thaw(node int) {
	s := v.nodes[node]
	waits, missed := s.waits, s.missed
	s.frozen, s.missed, s.waits = false, false, nil
	if missed && s.view != nil { // of the beats that a ticker missed it makes up for one
		s.view.Tick(s.clock())
	}
	for _, do := range waits {
		if s.view != nil {
			do()
		}
	}
}

func (v *Virtual) Break(faults ...netfault.Fault) {
	v.faults = netfault.New(from(v.now, faults))
}

// from counts faults' times from a moment.
func from(now int64, faults []netfault.Fault) []netfault.Fault {
	out := append([]netfault.Fault(nil), faults...)
	for i := range out {
		if out[i].Begin += now; out[i].End == 0 {
			out[i].End = 1 << 62
		} else {
			out[i].End += now
		}
	}
	return out
}

func (v *Virtual) Mend() { v.faults = netfault.New(nil) }

func (v *Virtual) Views() []*members.View {
	out := make([]*members.View, len(v.nodes))
	for i, s := range v.nodes {
		if s.view != nil && !s.frozen {
			view := s.view.View(s.clock())
			out[i] = &view
		}
	}
	return out
}

var _ Fleet = (*Virtual)(nil)
