package fleet

// A fleet in virtual time: hundreds of instances of the membership core with the links between them. No clock is read:
// the same calls give the same views.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// maxCapturedNodes nodes at most have a message of each way kept: in a large fleet these would be most of the memory.
const maxCapturedNodes = 64

type event struct {
	at  int64
	seq uint64
	do  func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Virtual is a fleet in virtual time.
type Virtual struct {
	ProtocolPeriodNs int64
	LinkDelay        int64 // of a datagram, nanoseconds
	ClockOffsets     []int64
	Transform        func(to int, datagram []byte) []byte // what a later or earlier version would make of a datagram; nil: nothing
	now              int64
	seq              uint64
	events           eventQueue
	nodes            []*simulatedNode
	names            []string
	faults           *netfault.Schedule
	messageCounts    map[[2]int]uint64
	captured         map[[2]int][]byte
	random           *rand.Rand
}

type simulatedNode struct {
	fleet        *Virtual
	index        int
	incarnations int
	membership   *members.Members
	paused       bool
	missedTick   bool     // a beat while it was frozen
	backlog      []func() // what came then
}

// NewVirtual makes a fleet of which nobody runs yet.
func NewVirtual(nodes int, seed uint64) *Virtual {
	v := &Virtual{
		ProtocolPeriodNs: 500e6, LinkDelay: 500e3, ClockOffsets: make([]int64, nodes), now: 1_700_000_000e9, messageCounts: map[[2]int]uint64{}, captured: map[[2]int][]byte{},
		faults: netfault.New(nil), random: rand.New(rand.NewPCG(seed, 5)),
	}
	for i := range nodes {
		v.names = append(v.names, fmt.Sprintf("n%d", i))
		v.nodes = append(v.nodes, &simulatedNode{fleet: v, index: i})
	}
	return v
}

func (v *Virtual) schedule(when int64, do func()) {
	v.seq++
	heap.Push(&v.events, event{when, v.seq, do})
}

// Run lets time pass.
func (v *Virtual) Run(long int64) {
	for end := v.now + long; ; {
		if len(v.events) == 0 || v.events[0].at > end {
			v.now = end
			return
		}
		next := heap.Pop(&v.events).(event)
		v.now = next.at
		next.do()
	}
}

// Now is the virtual time, nanoseconds.
func (v *Virtual) Now() int64 { return v.now }

// Members of one node; nil if it does not run.
func (v *Virtual) Members(node int) *members.Members { return v.nodes[node].membership }

// Len implements Fleet.
func (v *Virtual) Len() int { return len(v.nodes) }

// Step implements Fleet.
func (v *Virtual) Step() { v.Run(v.ProtocolPeriodNs / 5) }

func (s *simulatedNode) clock() int64 { return s.fleet.now + s.fleet.ClockOffsets[s.index] }

// Start implements Fleet.
func (v *Virtual) Start(node int) error {
	s := v.nodes[node]
	if s.membership != nil {
		return fmt.Errorf("n%d: two processes of a name are for sockets", node)
	}
	s.incarnations++
	var err error
	s.membership, err = members.New(members.Config{Name: v.names[node], Nodes: v.names, ProtocolPeriodNs: v.ProtocolPeriodNs, Seed: v.random.Uint64(), RunID: uint32(v.random.Uint32())}, s, s.clock())
	if err != nil {
		return err
	}
	life := s.incarnations
	var beat func()
	beat = func() {
		if s.incarnations != life || s.membership == nil {
			return
		}
		if s.missedTick = s.paused; !s.paused {
			s.membership.Tick(s.clock())
		}
		v.schedule(v.now+v.ProtocolPeriodNs/10, beat)
	}
	v.schedule(v.now+int64(v.random.Uint64()%uint64(v.ProtocolPeriodNs/10)), beat)
	return nil
}

// enter has a node do something, once it is not held any more.
func (s *simulatedNode) run(do func()) {
	if s.paused {
		if len(s.backlog) < 256 {
			s.backlog = append(s.backlog, do)
		}
		return
	}
	do()
}

// Send carries a datagram over the links as they are.
func (s *simulatedNode) Send(to int, datagram []byte) {
	v := s.fleet
	way := [2]int{s.index, to}
	v.messageCounts[way]++
	if v.Transform != nil {
		datagram = v.Transform(to, datagram)
	}
	if len(v.nodes) <= maxCapturedNodes && v.captured[way] == nil {
		v.captured[way] = datagram
	}
	p := v.faults.FateOf(v.now, netfault.End{Index: s.index}, netfault.End{Index: to}, v.messageCounts[way], len(datagram))
	if p.Lost {
		return
	}
	if p.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[p.CorruptByte] ^= 0x55
	}
	after := v.LinkDelay + int64(v.random.Uint64()%uint64(v.LinkDelay/4+1)) + p.Delay
	v.schedule(v.now+after, func() { v.Inject(to, datagram) })
	if p.DuplicateAfter > 0 {
		v.schedule(v.now+after+p.DuplicateAfter, func() { v.Inject(to, datagram) })
	}
}

// Inject implements Fleet.
func (v *Virtual) Inject(to int, datagram []byte) {
	if s := v.nodes[to]; s.membership != nil {
		view := s.membership
		s.run(func() {
			if s.membership == view {
				s.membership.Receive(s.clock(), datagram)
			}
		})
	}
}

// Copied implements Fleet.
func (v *Virtual) CapturedDatagram(from, to int) []byte { return v.captured[[2]int{from, to}] }

// Kill implements Fleet.
func (v *Virtual) Kill(node int) {
	s := v.nodes[node]
	s.membership, s.backlog, s.paused, s.missedTick = nil, nil, false, false
}

// Stop implements Fleet.
func (v *Virtual) Stop(node int) {
	if s := v.nodes[node]; s.membership != nil {
		s.membership.Leave()
	}
	v.Kill(node)
}

// Freeze implements Fleet.
func (v *Virtual) Pause(node int) { v.nodes[node].paused = true }

// Thaw implements Fleet.
func (v *Virtual) Resume(node int) {
	s := v.nodes[node]
	waits, missed := s.backlog, s.missedTick
	s.paused, s.missedTick, s.backlog = false, false, nil
	if missed && s.membership != nil { // of the ticks that a ticker missed it makes up for one
		s.membership.Tick(s.clock())
	}
	for _, do := range waits {
		if s.membership != nil {
			do()
		}
	}
}

// AddFaults implements Fleet.
func (v *Virtual) AddFaults(faults ...netfault.Fault) {
	v.faults = netfault.New(shiftFaults(v.now, faults))
}

// from counts faults' times from a moment.
func shiftFaults(now int64, faults []netfault.Fault) []netfault.Fault {
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

// ClearFaults implements Fleet.
func (v *Virtual) ClearFaults() { v.faults = netfault.New(nil) }

// Views implements Fleet.
func (v *Virtual) Views() []*members.View {
	out := make([]*members.View, len(v.nodes))
	for i, s := range v.nodes {
		if s.membership != nil && !s.paused {
			view := s.membership.View(s.clock())
			out[i] = &view
		}
	}
	return out
}

var _ Fleet = (*Virtual)(nil)
