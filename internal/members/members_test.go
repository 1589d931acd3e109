package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// nowhere is a transport that records what is sent.
type recordingTransport struct{ sent [][]byte }

func (n *recordingTransport) Send(_ int, datagram []byte) { n.sent = append(n.sent, datagram) }

func nodeNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("n%d", i)
	}
	return out
}

const testStartNs = int64(1_700_000_000e9)

func newTestMembers(t testing.TB, name string, of int, transport Transport) *Members {
	t.Helper()
	m, err := New(Config{Name: name, Nodes: nodeNames(of), ProtocolPeriodNs: 1e9, Seed: 1, RunID: 7}, transport, testStartNs)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// from is a message as another node would send it.
func datagramFrom(m *Members, name string, msg message) []byte {
	other := newTestMembers(panickingTB{}, name, len(m.peers)+1, &recordingTransport{})
	msg.To = m.id
	if msg.Self == (update{}) {
		msg.Self = other.selfUpdate()
	}
	return encode(nil, &msg)
}

// panickingTB stands for a test where nothing can fail.
type panickingTB struct{ testing.TB }

func (panickingTB) Helper() {}

func TestInvalidDatagramsAreCountedAndIgnored(t *testing.T) {
	m := newTestMembers(t, "n0", 4, &recordingTransport{})
	good := datagramFrom(m, "n1", message{Kind: gossip, Updates: []update{{ID: 1, State: Alive, StartMs: 5, RunID: 1}}})
	spoilt := append([]byte(nil), good...)
	spoilt[10] ^= 1
	later := append([]byte(nil), good...)
	later[0] = 9
	stranger := newTestMembers(t, "n3", 4, &recordingTransport{}).selfUpdate()
	stranger.ID = 99
	for _, c := range []struct {
		what     string
		datagram []byte
		count    func(Counters) int64
	}{
		{"nothing", nil, func(c Counters) int64 { return c.Invalid }},
		{"spoilt", spoilt, func(c Counters) int64 { return c.Invalid }},
		{"too long", make([]byte, MaxDatagramBytes), func(c Counters) int64 { return c.Invalid }},
		{"a later version", later, func(c Counters) int64 { return c.UnknownVersions }},
		{"authenticated with another key", encode([]byte("k"), &message{To: m.id, Self: m.updateOf(0)}), func(c Counters) int64 { return c.Invalid }},
		{"for another", datagramFrom(newTestMembers(t, "n2", 4, nil), "n1", message{Kind: ping}), func(c Counters) int64 { return c.Misdirected }},
		{"an unknown sender", datagramFrom(m, "n1", message{Kind: ping, Self: stranger}), func(c Counters) int64 { return c.UnknownNodes }},
		{"an incarnation beyond all", datagramFrom(m, "n1", message{Kind: ping, Self: update{ID: m.peers[0].id, State: Alive, StartMs: maxIncarnation}}), func(c Counters) int64 { return c.Invalid }},
		{"an update about an unknown node", good, func(c Counters) int64 { return c.UnknownNodes - 1 }},
	} {
		before := c.count(m.counters)
		m.Receive(testStartNs, c.datagram)
		if c.count(m.counters) == before {
			t.Errorf("%s: not counted: %+v", c.what, m.counters)
		}
	}
	if f := m.Summary(testStartNs); f.Alive != 2 || f.Unknown != 2 || f.Reliable {
		t.Errorf("one good message, and a few bad: %+v", f)
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	m := newTestMembers(t, "n0", 3, &recordingTransport{})
	body, _ := cbor.Marshal(message{Kind: gossip, To: m.id, Self: newTestMembers(t, "n1", 3, nil).selfUpdate()})
	var fields map[int]any
	if err := cbor.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	fields[77] = map[string]any{"new": []int{1, 2}}
	body, _ = cbor.Marshal(fields)
	body = append([]byte{version}, body...)
	m.Receive(testStartNs, append(body, authTag(nil, body)...))
	if m.Summary(testStartNs).Alive != 2 {
		t.Errorf("a message with a field more was not taken: %+v", m.counters)
	}
}

// TestDatagramsAreBoundedInNumberAndLength has a node with thousands of updates to gossip, that is pinged without end.
func TestDatagramsAreBoundedInNumberAndLength(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 2000, transport)
	draw := rand.New(rand.NewPCG(1, 1))
	for i := range m.peers {
		m.applyUpdate(testStartNs, update{ID: m.peers[i].id, State: Suspect, StartMs: draw.Uint64N(maxIncarnation), IncarnationOffset: draw.Uint64N(maxIncarnation), RunID: draw.Uint32(), SuspectedBy: draw.Uint64()}, false)
	}
	now, asked := testStartNs, [][]byte(nil)
	for k := range 50 {
		asked = append(asked, datagramFrom(m, fmt.Sprintf("n%d", 1+k), message{Kind: ping, Sequence: uint64(k), Buckets: m.buckets(), Bucket: k % m.buckets(), Digest: 1}))
	}
	for round := range 20 {
		transport.sent = transport.sent[:0]
		for range TicksPerPeriod {
			now += 1e8
			m.Tick(now)
			for _, datagram := range asked {
				m.Receive(now, datagram)
			}
		}
		if len(transport.sent) > 26+TicksPerPeriod*maxResponsesPerTick {
			t.Fatalf("round %d: %d datagrams", round, len(transport.sent))
		}
		for _, d := range transport.sent {
			if len(d) >= MaxDatagramBytes {
				t.Fatalf("a datagram of %d bytes", len(d))
			}
		}
	}
	if m.counters.RateLimited == 0 {
		t.Error("no answer was held back")
	}
}

// TestPayloadDeliveryAndReachableNodes sends the longest payload from a node with many updates, to one that takes payloads, one that does not,
// and an unknown one.
func TestPayloadDeliveryAndReachableNodes(t *testing.T) {
	out := &recordingTransport{}
	a := newTestMembers(t, "n0", 300, out)
	markAllAlive(a)
	a.SendPayload(1, make([]byte, MaxPayloadBytes))
	a.SendPayload(1, make([]byte, MaxPayloadBytes+1))
	a.SendPayload(4000, nil)
	if len(out.sent) != 1 || len(out.sent[0]) >= MaxDatagramBytes {
		t.Fatalf("%d datagrams", len(out.sent))
	}
	took := -1
	b := newTestMembers(t, "n1", 300, &recordingTransport{})
	b.Receive(testStartNs, out.sent[0])
	b.config.ReceivePayload = func(from int, load []byte) { took = from*10000 + len(load) }
	b.Receive(testStartNs, out.sent[0])
	if c := b.Counters(); took != MaxPayloadBytes || c.Invalid > 0 {
		t.Errorf("took %d, %+v", took, c)
	}
	if got := len(b.Reachable()); got != 299 {
		t.Errorf("%d are reachable", got)
	}
	b.peers[3].state, b.peers[4].state, b.peers[5].state = Dead, Left, Suspect
	if got := len(b.Reachable()); got != 297 {
		t.Errorf("%d are reachable", got)
	}
}

func TestMemoryOf4096NodesIsUnderOneMegabyte(t *testing.T) {
	all := nodeNames(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, err := New(Config{Name: "n0", Nodes: all, ProtocolPeriodNs: 1e9, RunID: 1}, &recordingTransport{}, testStartNs)
	if err != nil {
		t.Fatal(err)
	}
	for i := range m.peers {
		m.applyUpdate(testStartNs, update{ID: m.peers[i].id, State: Alive, StartMs: 5, RunID: 1}, false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 1<<20 {
		t.Errorf("%d bytes", used)
	}
	runtime.KeepAlive(m)
}

// TestIncarnationExceedsEarlierRun restarts a node with a clock a minute behind: an update of its earlier run
// raises its incarnation.
func TestIncarnationExceedsEarlierRun(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 3, transport)
	m.applyUpdate(testStartNs, update{ID: m.id, State: Dead, StartMs: m.startMs + 60_000, RunID: 3}, false)
	if m.incarnation <= m.startMs+60_000 {
		t.Errorf("incarnation %d is below that of the earlier run, %d", m.incarnation, m.startMs+60_000)
	}
}

// TestNameConflictSilencesOneProcess has two processes outbid each other, and one report the conflict.
func TestNameConflictSilencesOneProcess(t *testing.T) {
	a, b := newTestMembers(t, "n0", 3, &recordingTransport{}), newTestMembers(t, "n0", 3, &recordingTransport{})
	b.config.RunID = 9
	for range 6 {
		a.Receive(testStartNs, encode(nil, &message{Kind: ping, To: a.id, Self: b.selfUpdate()}))
		b.Receive(testStartNs, encode(nil, &message{Kind: ping, To: b.id, Self: a.selfUpdate()}))
	}
	if !a.NameConflict() || a.quietUntil == 0 || b.quietUntil != 0 {
		t.Errorf("a is quiet until tick %d, b until %d", a.quietUntil, b.quietUntil)
	}
	if a.Summary(testStartNs).Reliable {
		t.Error("the summary of one of two processes is known")
	}
}

// TestSuspicionByOthersDoesNotDeclareDead has a node suspected by others that answers this one: it stays suspect,
// however long.
func TestSuspicionByOthersDoesNotDeclareDead(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 6, transport)
	for i := range m.peers {
		m.applyUpdate(testStartNs, update{ID: m.peers[i].id, State: Alive, StartMs: 5, RunID: 1}, true)
	}
	victim := m.find(newTestMembers(t, "n1", 6, nil).id)
	m.applyUpdate(testStartNs, update{ID: m.peers[victim].id, State: Suspect, StartMs: 5, RunID: 1, SuspectedBy: m.peers[(victim+1)%5].id}, false)
	now := testStartNs
	for tick := range 600 {
		transport.sent = transport.sent[:0]
		now += 1e8
		m.Tick(now)
		for _, d := range transport.sent {
			msg, err := decode(nil, d)
			if err != nil {
				t.Fatal(err)
			}
			if msg.Kind == ping {
				self := update{ID: msg.To, State: Alive, StartMs: 5, RunID: 1}
				m.Receive(now, encode(nil, &message{Kind: ack, To: m.id, Self: self, Sequence: msg.Sequence}))
			}
		}
		if s := m.peers[victim].state; s != Suspect {
			t.Fatalf("tick %d: %v", tick, s)
		}
	}
}

func TestNewRejectsInvalidConfigs(t *testing.T) {
	for _, s := range []Config{
		{Name: "", Nodes: nodeNames(2), ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: nodeNames(2)},
		{Name: "x", Nodes: nodeNames(2), ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: []string{"n0", "n1", "n1"}, ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: nodeNames(maxNodes + 1), ProtocolPeriodNs: 1},
	} {
		if _, err := New(s, &recordingTransport{}, testStartNs); err == nil {
			t.Errorf("%q of %d taken", s.Name, len(s.Nodes))
		}
	}
}

func FuzzReceive(f *testing.F) {
	m := newTestMembers(f, "n0", 30, &recordingTransport{})
	f.Add(datagramFrom(m, "n1", message{Kind: ping, Sequence: 1, Buckets: 2, Digest: 7}))
	f.Add(datagramFrom(m, "n2", message{Kind: pingReq, Sequence: 1, Target: m.peers[3].id}))
	f.Add(binary.BigEndian.AppendUint64([]byte{version}, 1))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newTestMembers(t, "n0", 30, &recordingTransport{})
		m.Receive(testStartNs, data)
		if len(data) > 0 { // also past the authentication
			body := append([]byte{version}, data...)
			m.Receive(testStartNs, append(body, authTag(nil, body)...))
		}
		m.Tick(testStartNs)
	})
}

// runTicks runs a view for some ticks without a stall.
func runTicks(m *Members, now int64, ticks int) int64 {
	for range ticks {
		now += m.config.ProtocolPeriodNs / TicksPerPeriod
		m.Tick(now)
	}
	return now
}

func markAllAlive(m *Members) {
	for i := range m.peers {
		m.applyUpdate(testStartNs, update{ID: m.peers[i].id, State: Alive, StartMs: 5, RunID: 1}, true)
	}
}

// TestStallRaisesNoSuspicion stalls a node while it probes: neither that probe nor the first one after raises a
// suspicion.
func TestStallRaisesNoSuspicion(t *testing.T) {
	for phase := range TicksPerPeriod {
		m := newTestMembers(t, "n0", 6, &recordingTransport{})
		markAllAlive(m)
		now := runTicks(m, testStartNs, TicksPerPeriod+phase)
		if now = runTicks(m, now+3e9, 3*TicksPerPeriod-1); m.counters.Suspicions != 0 || m.counters.Stalls != 1 {
			t.Errorf("phase %d: %d suspicions, %d stalls", phase, m.counters.Suspicions, m.counters.Stalls)
		}
		if runTicks(m, now, 4*TicksPerPeriod); m.counters.Suspicions == 0 {
			t.Error("it never suspects again")
		}
	}
}

// TestPushPullRepairsMissedUpdates has a node that got no update learn what another knows, by one ping and its ack for
// each part.
func TestPushPullRepairsMissedUpdates(t *testing.T) {
	wayA, wayB := &recordingTransport{}, &recordingTransport{}
	a, b := newTestMembers(t, "n0", 50, wayA), newTestMembers(t, "n1", 50, wayB)
	markAllAlive(a)
	a.broadcasts = nil
	for i := range a.peers {
		a.peers[i].retransmitsRemaining, a.peers[i].queued = 0, false
	}
	b.applyUpdate(testStartNs, a.selfUpdate(), true)
	a.applyUpdate(testStartNs, b.selfUpdate(), true)
	for range 2 * b.buckets() {
		wayA.sent, wayB.sent = nil, nil
		a.responsesInTick, b.responsesInTick = 0, 0
		b.send(b.find(a.id), b.withNextDigest(&message{Kind: ping, Sequence: 1}))
		a.broadcasts = nil
		a.Receive(testStartNs, wayB.sent[0])
		for _, d := range wayA.sent {
			b.Receive(testStartNs, d)
		}
	}
	if f := b.Summary(testStartNs); f.Alive != 50 {
		t.Errorf("%+v", f)
	}
}

// TestMessageOfEarlierRunIsNotAnswered has a message of an earlier run of a node come: it is sent its known state,
// and nothing else.
func TestMessageOfEarlierRunIsNotAnswered(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 4, transport)
	old := newTestMembers(t, "n1", 4, &recordingTransport{}).selfUpdate()
	next := old
	next.StartMs, next.RunID = old.StartMs+1000, 8
	m.Receive(testStartNs, datagramFrom(m, "n1", message{Kind: gossip, Self: next}))
	transport.sent = nil
	m.Receive(testStartNs+1e9, datagramFrom(m, "n1", message{Kind: ping, Sequence: 4, Self: old}))
	if len(transport.sent) != 1 || m.peers[m.find(old.ID)].lastReceivedAt != testStartNs || m.counters.StaleIncarnations != 1 {
		t.Fatalf("%d sent, %+v", len(transport.sent), m.counters)
	}
	if msg, err := decode(nil, transport.sent[0]); err != nil || msg.Kind != gossip || len(msg.Updates) == 0 || msg.Updates[0].StartMs != next.StartMs {
		t.Errorf("%+v, %v", msg, err)
	}
	if m.applyUpdate(testStartNs, old, false); m.peers[m.find(old.ID)].startMs != next.StartMs {
		t.Error("an old update is applied")
	}
}
