package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// recordingTransport records the datagrams that are sent and delivers none.
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

// datagramFrom returns a message to m, encoded as the named node would send it.
func datagramFrom(m *Members, name string, msg message) []byte {
	other := newTestMembers(panickingTB{}, name, len(m.peers)+1, &recordingTransport{})
	msg.To = m.id
	if msg.Self == (update{}) {
		msg.Self = other.selfUpdate()
	}
	return encode(nil, &msg)
}

// panickingTB is a testing.TB for calls that can't fail: a report of a failure would panic.
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
		{"above the maximum length", make([]byte, MaxDatagramBytes), func(c Counters) int64 { return c.Invalid }},
		{"of a later version", laterVersion, func(c Counters) int64 { return c.UnknownVersions }},
		{"authenticated with another key", encode([]byte("k"), &message{To: m.id, Self: m.updateOf(0)}), func(c Counters) int64 { return c.Invalid }},
		{"to another node", datagramFrom(newTestMembers(t, "n2", 4, nil), "n1", message{Kind: ping}), func(c Counters) int64 { return c.Misdirected }},
		{"from an unknown sender", datagramFrom(m, "n1", message{Kind: ping, Self: unknownSender}), func(c Counters) int64 { return c.UnknownNodes }},
		{"with an incarnation at the limit", datagramFrom(m, "n1", message{Kind: ping, Self: update{ID: m.peers[0].id, State: Alive, StartMs: maxIncarnation}}), func(c Counters) int64 { return c.Invalid }},
		{"with an update about an unknown node", valid, func(c Counters) int64 { return c.UnknownNodes - 1 }},
	} {
		before := c.count(m.counters)
		m.Receive(testStartNs, c.datagram)
		if c.count(m.counters) == before {
			t.Errorf("datagram %s: the expected counter was not increased: %+v", c.name, m.counters)
		}
	}
	if summary := m.Summary(testStartNs); summary.Alive != 2 || summary.Unknown != 2 || summary.Reliable {
		t.Errorf("after one valid message from n1 and several invalid ones: got summary %+v, want 2 alive, 2 unknown, not reliable", summary)
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
		t.Errorf("a message with an additional field was not accepted: %+v", m.counters)
	}
}

// TestDatagramsAreBoundedInNumberAndLength checks the limits at a node that has thousands of updates to gossip and is
// pinged by fifty nodes in every tick.
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
	for period := range 20 {
		transport.sent = transport.sent[:0]
		for range TicksPerPeriod {
			now += 1e8
			m.Tick(now)
			for _, datagram := range pings {
				m.Receive(now, datagram)
			}
		}
		if len(transport.sent) > 26+TicksPerPeriod*maxResponsesPerTick {
			t.Fatalf("period %d: got %d datagrams, more than the limit of 26 and maxResponsesPerTick per tick", period, len(transport.sent))
		}
		for _, sent := range transport.sent {
			if len(sent) >= MaxDatagramBytes {
				t.Fatalf("got a datagram of %d bytes, want less than MaxDatagramBytes", len(sent))
			}
		}
	}
	if m.counters.RateLimited == 0 {
		t.Error("no response was counted as rate limited")
	}
}

// TestPayloadDeliveryAndReachableNodes sends payloads from a node with many updates: one of the maximum length, one
// that is too long and one to an unknown node. The receiver gets the first, before and after its ReceivePayload
// is set.
func TestPayloadDeliveryAndReachableNodes(t *testing.T) {
	transport := &recordingTransport{}
	a := newTestMembers(t, "n0", 300, transport)
	markAllAlive(a)
	a.SendPayload(1, make([]byte, MaxPayloadBytes))
	a.SendPayload(1, make([]byte, MaxPayloadBytes+1))
	a.SendPayload(4000, nil)
	if len(transport.sent) != 1 || len(transport.sent[0]) >= MaxDatagramBytes {
		t.Fatalf("got %d datagrams, want 1 that is shorter than MaxDatagramBytes", len(transport.sent))
	}
	received := -1
	b := newTestMembers(t, "n1", 300, &recordingTransport{})
	b.Receive(testStartNs, transport.sent[0])
	b.config.ReceivePayload = func(from int, content []byte) { received = from*10000 + len(content) }
	b.Receive(testStartNs, transport.sent[0])
	if c := b.Counters(); received != MaxPayloadBytes || c.Invalid > 0 {
		t.Errorf("got %d (sender index times 10000 plus payload length), counters %+v, want MaxPayloadBytes from n0 and no invalid datagram", received, c)
	}
	if got := len(b.Reachable()); got != 299 {
		t.Errorf("got %d reachable nodes, want 299", got)
	}
	b.peers[3].state, b.peers[4].state, b.peers[5].state = Dead, Left, Suspect
	if got := len(b.Reachable()); got != 297 {
		t.Errorf("got %d reachable nodes, want 297 without a dead and a left one", got)
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
		t.Errorf("got %d bytes for 4096 nodes, want 1 MiB at most", used)
	}
	runtime.KeepAlive(m)
}

// TestIncarnationExceedsEarlierRun covers a node that restarts with its clock a minute behind: an update about its
// earlier run must raise its incarnation above that run's.
func TestIncarnationExceedsEarlierRun(t *testing.T) {
	transport := &recordingTransport{}
	m := newTestMembers(t, "n0", 3, transport)
	m.applyUpdate(testStartNs, update{ID: m.id, State: Dead, StartMs: m.startMs + 60_000, RunID: 3}, false)
	if m.incarnation <= m.startMs+60_000 {
		t.Errorf("got incarnation %d, want it above that of the earlier run, %d", m.incarnation, m.startMs+60_000)
	}
}

// TestNameConflictSilencesOneProcess has two processes of one name raise their incarnations above each other's: the one
// with the lower run ID reports the conflict and stops sending.
func TestNameConflictSilencesOneProcess(t *testing.T) {
	a, b := newTestMembers(t, "n0", 3, &recordingTransport{}), newTestMembers(t, "n0", 3, &recordingTransport{})
	b.config.RunID = 9
	for range 6 {
		a.Receive(testStartNs, encode(nil, &message{Kind: ping, To: a.id, Self: b.selfUpdate()}))
		b.Receive(testStartNs, encode(nil, &message{Kind: ping, To: b.id, Self: a.selfUpdate()}))
	}
	if !a.NameConflict() || a.quietUntil == 0 || b.quietUntil != 0 {
		t.Errorf("a sends nothing until tick %d, b until tick %d; want a to report the conflict and stop sending, and b to go on", a.quietUntil, b.quietUntil)
	}
	if a.Summary(testStartNs).Reliable {
		t.Error("got a reliable summary from a process in a name conflict, want an unreliable one")
	}
}

// TestSuspicionByOthersDoesNotDeclareDead covers a node that others suspect but that answers this node's probes: it
// stays suspect after its timeout and is never declared dead here.
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
			t.Fatalf("tick %d: got state %v, want suspect", tick, state)
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
			t.Errorf("New accepted an invalid configuration with the name %q and %d nodes", config.Name, len(config.Nodes))
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
		if len(data) > 0 { // the same data with a valid authentication tag, so that it is decoded
			body := append([]byte{version}, data...)
			m.Receive(testStartNs, append(body, authTag(nil, body)...))
		}
		m.Tick(testStartNs)
	})
}

// runTicks calls Tick at regular intervals, without a stall, and returns the time of the last call.
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

// TestStallRaisesNoSuspicion stalls a node during a probe, at each phase of the protocol period: neither that probe nor
// the first one after the stall may raise a suspicion. Later probes do.
func TestStallRaisesNoSuspicion(t *testing.T) {
	for phase := range TicksPerPeriod {
		m := newTestMembers(t, "n0", 6, &recordingTransport{})
		markAllAlive(m)
		now := runTicks(m, testStartNs, TicksPerPeriod+phase)
		if now = runTicks(m, now+3e9, 3*TicksPerPeriod-1); m.counters.Suspicions != 0 || m.counters.Stalls != 1 {
			t.Errorf("phase %d: got %d suspicions and %d stalls, want 0 and 1", phase, m.counters.Suspicions, m.counters.Stalls)
		}
		if runTicks(m, now, 4*TicksPerPeriod); m.counters.Suspicions == 0 {
			t.Error("got no suspicion long after the stall, want at least one")
		}
	}
}

// TestPushPullRepairsMissedUpdates checks that a node that has missed all updates gets the states of all nodes from
// another by anti-entropy alone, with two pings per bucket.
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
		t.Errorf("got summary %+v, want 50 alive nodes", summary)
	}
}

// TestMessageOfEarlierRunIsNotAnswered checks that a ping of an earlier run of a node gets no ack: the only response is
// the state of the node's later run.
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
		t.Fatalf("got %d messages sent and counters %+v, want 1 message and 1 stale incarnation, and the time of the last datagram unchanged", len(transport.sent), m.counters)
	}
	if msg, err := decode(nil, transport.sent[0]); err != nil || msg.Kind != gossip || len(msg.Updates) == 0 || msg.Updates[0].StartMs != restarted.StartMs {
		t.Errorf("got message %+v, error %v, want gossip with the start of the later run", msg, err)
	}
	if m.applyUpdate(testStartNs, earlier, false); m.peers[m.find(earlier.ID)].startMs != restarted.StartMs {
		t.Error("an update of the earlier run was applied")
	}
}
