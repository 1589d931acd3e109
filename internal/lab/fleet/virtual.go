package fleet

// A fleet in virtual time: hundreds of instances of the membership protocol with simulated links. It reads no clock, so
// the same calls give the same views.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// maxCapturedNodes is the largest fleet for which one datagram of each link is kept: in larger ones these would take
// most of the memory.
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

// Virtual is a fleet in virtual time. It is not safe for concurrent use.
type Virtual struct {
	ProtocolPeriodNs int64
	LinkDelay        int64 // of a datagram, nanoseconds
	ClockOffsets     []int64
	Transform        func(to int, datagram []byte) []byte // changes datagrams, as another version might; nil: unchanged
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
	missedTick   bool     // a tick was due while the node was paused
	backlog      []func() // datagrams received while the node was paused
}

// NewVirtual returns a fleet without running nodes.
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

func (v *Virtual) schedule(when int64, action func()) {
	v.seq++
	heap.Push(&v.events, event{when, v.seq, action})
}

// Run advances virtual time by a duration in nanoseconds.
func (v *Virtual) Run(duration int64) {
	for end := v.now + duration; ; {
		if len(v.events) == 0 || v.events[0].at > end {
			v.now = end
			return
		}
		next := heap.Pop(&v.events).(event)
		v.now = next.at
		next.do()
	}
}

// Now returns the virtual time, nanoseconds.
func (v *Virtual) Now() int64 { return v.now }

// Members returns the membership of one node; nil if it does not run.
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
		return fmt.Errorf("n%d is running: a virtual fleet has one process per node", node)
	}
	s.incarnations++
	var err error
	s.membership, err = members.New(members.Config{Name: v.names[node], Nodes: v.names, ProtocolPeriodNs: v.ProtocolPeriodNs, Seed: v.random.Uint64(), RunID: uint32(v.random.Uint32())}, s, s.clock())
	if err != nil {
		return err
	}
	incarnation := s.incarnations
	var tick func()
	tick = func() {
		if s.incarnations != incarnation || s.membership == nil {
			return
		}
		if s.missedTick = s.paused; !s.paused {
			s.membership.Tick(s.clock())
		}
		v.schedule(v.now+v.ProtocolPeriodNs/10, tick)
	}
	v.schedule(v.now+int64(v.random.Uint64()%uint64(v.ProtocolPeriodNs/10)), tick)
	return nil
}

// run runs an action of a node, or queues it while the node is paused.
func (s *simulatedNode) run(action func()) {
	if s.paused {
		if len(s.backlog) < 256 {
			s.backlog = append(s.backlog, action)
		}
		return
	}
	action()
}

// Send sends a datagram with the current faults of the link.
func (s *simulatedNode) Send(to int, datagram []byte) {
	v := s.fleet
	link := [2]int{s.index, to}
	v.messageCounts[link]++
	if v.Transform != nil {
		datagram = v.Transform(to, datagram)
	}
	if len(v.nodes) <= maxCapturedNodes && v.captured[link] == nil {
		v.captured[link] = datagram
	}
	fate := v.faults.FateOf(v.now, netfault.End{Index: s.index}, netfault.End{Index: to}, v.messageCounts[link], len(datagram))
	if fate.Lost {
		return
	}
	if fate.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[fate.CorruptByte] ^= 0x55
	}
	delay := v.LinkDelay + int64(v.random.Uint64()%uint64(v.LinkDelay/4+1)) + fate.Delay
	v.schedule(v.now+delay, func() { v.Inject(to, datagram) })
	if fate.DuplicateAfter > 0 {
		v.schedule(v.now+delay+fate.DuplicateAfter, func() { v.Inject(to, datagram) })
	}
}

// Inject implements Fleet.
func (v *Virtual) Inject(to int, datagram []byte) {
	if s := v.nodes[to]; s.membership != nil {
		membership := s.membership
		s.run(func() {
			if s.membership == membership {
				s.membership.Receive(s.clock(), datagram)
			}
		})
	}
}

// CapturedDatagram implements Fleet.
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

// Pause implements Fleet.
func (v *Virtual) Pause(node int) { v.nodes[node].paused = true }

// Resume implements Fleet.
func (v *Virtual) Resume(node int) {
	s := v.nodes[node]
	backlog, missed := s.backlog, s.missedTick
	s.paused, s.missedTick, s.backlog = false, false, nil
	if missed && s.membership != nil { // like a time.Ticker, which delivers one of the missed ticks
		s.membership.Tick(s.clock())
	}
	for _, action := range backlog {
		if s.membership != nil {
			action()
		}
	}
}

// AddFaults implements Fleet.
func (v *Virtual) AddFaults(faults ...netfault.Fault) {
	v.faults = netfault.New(shiftFaults(v.now, faults))
}

// shiftFaults returns faults with their times shifted by now; without an end they last forever.
func shiftFaults(now int64, faults []netfault.Fault) []netfault.Fault {
	shifted := append([]netfault.Fault(nil), faults...)
	for i := range shifted {
		if shifted[i].Begin += now; shifted[i].End == 0 {
			shifted[i].End = 1 << 62
		} else {
			shifted[i].End += now
		}
	}
	return shifted
}

// ClearFaults implements Fleet.
func (v *Virtual) ClearFaults() { v.faults = netfault.New(nil) }

// Views implements Fleet.
func (v *Virtual) Views() []*members.View {
	views := make([]*members.View, len(v.nodes))
	for i, s := range v.nodes {
		if s.membership != nil && !s.paused {
			view := s.membership.View(s.clock())
			views[i] = &view
		}
	}
	return views
}

var _ Fleet = (*Virtual)(nil)
