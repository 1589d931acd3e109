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
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	return names
}

const testStartNs = int64(1_700_000_000e9)

func newTestMembers(t testing.TB, name string, nodeCount int, transport Transport) *Members {
	t.Helper()
	m, err := New(Config{Name: name, Nodes: nodeNames(nodeCount), ProtocolPeriodNs: 1e9, Seed: 1, RunID: 7}, transport, testStartNs)
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
	valid := datagramFrom(m, "n1", message{Kind: gossip, Updates: []update{{ID: 1, State: Alive, StartMs: 5, RunID: 1}}})
	corrupted := append([]byte(nil), valid...)
	corrupted[10] ^= 1
	laterVersion := append([]byte(nil), valid...)
	laterVersion[0] = 9
	unknownSender := newTestMembers(t, "n3", 4, &recordingTransport{}).selfUpdate()
	unknownSender.ID = 99
	for _, c := range []struct {
		name     string
		datagram []byte
		count    func(Counters) int64
	}{
		{"nothing", nil, func(c Counters) int64 { return c.Invalid }},
		{"spoilt", corrupted, func(c Counters) int64 { return c.Invalid }},
		{"too long", make([]byte, MaxDatagramBytes), func(c Counters) int64 { return c.Invalid }},
		{"a later version", laterVersion, func(c Counters) int64 { return c.UnknownVersions }},
		{"authenticated with another key", encode([]byte("k"), &message{To: m.id, Self: m.updateOf(0)}), func(c Counters) int64 { return c.Invalid }},
		{"for another", datagramFrom(newTestMembers(t, "n2", 4, nil), "n1", message{Kind: ping}), func(c Counters) int64 { return c.Misdirected }},
		{"an unknown sender", datagramFrom(m, "n1", message{Kind: ping, Self: unknownSender}), func(c Counters) int64 { return c.UnknownNodes }},
		{"an incarnation beyond all", datagramFrom(m, "n1", message{Kind: ping, Self: update{ID: m.peers[0].id, State: Alive, StartMs: maxIncarnation}}), func(c Counters) int64 { return c.Invalid }},
		{"an update about an unknown node", valid, func(c Counters) int64 { return c.UnknownNodes - 1 }},
	} {
		before := c.count(m.counters)
		m.Receive(testStartNs, c.datagram)
		if c.count(m.counters) == before {
			t.Errorf("%s: not counted: %+v", c.name, m.counters)
		}
	}
	if summary := m.Summary(testStartNs); summary.Alive != 2 || summary.Unknown != 2 || summary.Reliable {
		t.Errorf("one good message, and a few bad: %+v", summary)
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
	random := rand.New(rand.NewPCG(1, 1))
	for i := range m.peers {
		m.applyUpdate(testStartNs, update{ID: m.peers[i].id, State: Suspect, StartMs: random.Uint64N(maxIncarnation), IncarnationOffset: random.Uint64N(maxIncarnation), RunID: random.Uint32(), SuspectedBy: random.Uint64()}, false)
	}
	now, pings := testStartNs, [][]byte(nil)
	for k := range 50 {
		pings = append(pings, datagramFrom(m, fmt.Sprintf("n%d", 1+k), message{Kind: ping, Sequence: uint64(k), Buckets: m.buckets(), Bucket: k % m.buckets(), Digest: 1}))
	}
	for round := range 20 {
		transport.sent = transport.sent[:0]
		for range TicksPerPeriod {
			now += 1e8
			m.Tick(now)
			for _, datagram := range pings {
				m.Receive(now, datagram)
			}
		}
		if len(transport.sent) > 26+TicksPerPeriod*maxResponsesPerTick {
			t.Fatalf("round %d: %d datagrams", round, len(transport.sent))
		}
		for _, sent := range transport.sent {
			if len(sent) >= MaxDatagramBytes {
				t.Fatalf("a datagram of %d bytes", len(sent))
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
	transport := &recordingTransport{}
	a := newTestMembers(t, "n0", 300, transport)
	markAllAlive(a)
	a.SendPayload(1, make([]byte, MaxPayloadBytes))
	a.SendPayload(1, make([]byte, MaxPayloadBytes+1))
	a.SendPayload(4000, nil)
	if len(transport.sent) != 1 || len(transport.sent[0]) >= MaxDatagramBytes {
		t.Fatalf("%d datagrams", len(transport.sent))
	}
	received := -1
	b := newTestMembers(t, "n1", 300, &recordingTransport{})
	b.Receive(testStartNs, transport.sent[0])
	b.config.ReceivePayload = func(from int, content []byte) { received = from*10000 + len(content) }
	b.Receive(testStartNs, transport.sent[0])
	if c := b.Counters(); received != MaxPayloadBytes || c.Invalid > 0 {
		t.Errorf("took %d, %+v", received, c)
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
	nodes := nodeNames(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, err := New(Config{Name: "n0", Nodes: nodes, ProtocolPeriodNs: 1e9, RunID: 1}, &recordingTransport{}, testStartNs)
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
	suspect := m.find(newTestMembers(t, "n1", 6, nil).id)
	m.applyUpdate(testStartNs, update{ID: m.peers[suspect].id, State: Suspect, StartMs: 5, RunID: 1, SuspectedBy: m.peers[(suspect+1)%5].id}, false)
	now := testStartNs
	for tick := range 600 {
		transport.sent = transport.sent[:0]
		now += 1e8
		m.Tick(now)
		for _, datagram := range transport.sent {
			msg, err := decode(nil, datagram)
			if err != nil {
				t.Fatal(err)
			}
			if msg.Kind == ping {
				self := update{ID: msg.To, State: Alive, StartMs: 5, RunID: 1}
				m.Receive(now, encode(nil, &message{Kind: ack, To: m.id, Self: self, Sequence: msg.Sequence}))
			}
		}
		if state := m.peers[suspect].state; state != Suspect {
			t.Fatalf("tick %d: %v", tick, state)
		}
	}
}

func TestNewRejectsInvalidConfigs(t *testing.T) {
	for _, config := range []Config{
		{Name: "", Nodes: nodeNames(2), ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: nodeNames(2)},
		{Name: "x", Nodes: nodeNames(2), ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: []string{"n0", "n1", "n1"}, ProtocolPeriodNs: 1},
		{Name: "n0", Nodes: nodeNames(maxNodes + 1), ProtocolPeriodNs: 1},
	} {
		if _, err := New(config, &recordingTransport{}, testStartNs); err == nil {
			t.Errorf("%q of %d taken", config.Name, len(config.Nodes))
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
	transportA, transportB := &recordingTransport{}, &recordingTransport{}
	a, b := newTestMembers(t, "n0", 50, transportA), newTestMembers(t, "n1", 50, transportB)
	markAllAlive(a)
	a.broadcasts = nil
	for i := range a.peers {
		a.peers[i].retransmitsRemaining, a.peers[i].queued = 0, false
	}
	b.applyUpdate(testStartNs, a.selfUpdate(), true)
	a.applyUpdate(testStartNs, b.selfUpdate(), true)
	for range 2 * b.buckets() {
		transportA.sent, transportB.sent = nil, nil
		a.responsesInTick, b.responsesInTick = 0, 0
		b.send(b.find(a.id), b.withNextDigest(&message{Kind: ping, Sequence: 1}))
		a.broadcasts = nil
		a.Receive(testStartNs, transportB.sent[0])
		for _, datagram := range transportA.sent {
			b.Receive(testStartNs, datagram)
		}
	}
	if summary := b.Summary(testStartNs); summary.Alive != 50 {
		t.Errorf("%+v", summary)
	}
}

// TestMessageOfEarlierRunIsNotAnswered has a message of an earlier run of a node come: it is sent its known state,
// and nothing else.
func TestMessageOfEarlierRunIsNotAnswered(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 4, transport)
	earlier := newTestMembers(t, "n1", 4, &recordingTransport{}).selfUpdate()
	restarted := earlier
	restarted.StartMs, restarted.RunID = earlier.StartMs+1000, 8
	m.Receive(testStartNs, datagramFrom(m, "n1", message{Kind: gossip, Self: restarted}))
	transport.sent = nil
	m.Receive(testStartNs+1e9, datagramFrom(m, "n1", message{Kind: ping, Sequence: 4, Self: earlier}))
	if len(transport.sent) != 1 || m.peers[m.find(earlier.ID)].lastReceivedAt != testStartNs || m.counters.StaleIncarnations != 1 {
		t.Fatalf("%d sent, %+v", len(transport.sent), m.counters)
	}
	if msg, err := decode(nil, transport.sent[0]); err != nil || msg.Kind != gossip || len(msg.Updates) == 0 || msg.Updates[0].StartMs != restarted.StartMs {
		t.Errorf("%+v, %v", msg, err)
	}
	if m.applyUpdate(testStartNs, earlier, false); m.peers[m.find(earlier.ID)].startMs != restarted.StartMs {
		t.Error("an old update is applied")
	}
}
