package members

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

type nowhere struct{ sent [][]byte }

func (n *nowhere) Send(_ int, datagram []byte) { n.sent = append(n.sent, datagram) }

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("n%d", i)
	}
	return out
}

const begin = int64(1_700_000_000e9)

func one(t testing.TB, name string, of int, way Way) *Members {
	t.Helper()
	m, err := New(Settings{Name: name, Peers: names(of), Round: 1e9, Seed: 1, Run: 7}, way, begin)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// from is a message as another node would seal it.
func from(m *Members, name string, msg message) []byte {
	other := one(nil2{}, name, len(m.peers)+1, &nowhere{})
	msg.To = m.id
	if msg.Self == (rumour{}) {
		msg.Self = other.own()
	}
	return encode(nil, &msg)
}

// nil2 stands for a test where none can fail.
type nil2 struct{ testing.TB }

func (nil2) Helper() {}

func TestNothingIsKeptOfWhatCannotBeTrusted(t *testing.T) {
	m := one(t, "n0", 4, &nowhere{})
	good := from(m, "n1", message{Kind: tell, Told: []rumour{{ID: 1, State: Up, Start: 5, Run: 1}}})
	spoilt := append([]byte(nil), good...)
	spoilt[10] ^= 1
	later := append([]byte(nil), good...)
	later[0] = 9
	stranger := one(t, "n3", 4, &nowhere{}).own()
	stranger.ID = 99
	for _, c := range []struct {
		what     string
		datagram []byte
		count    func(Counts) int64
	}{
		{"nothing", nil, func(c Counts) int64 { return c.Bad }},
		{"spoilt", spoilt, func(c Counts) int64 { return c.Bad }},
		{"too long", make([]byte, Most), func(c Counts) int64 { return c.Bad }},
		{"a later version", later, func(c Counts) int64 { return c.Versions }},
		{"sealed with another key", encode([]byte("k"), &message{To: m.id, Self: m.rumourOf(0)}), func(c Counts) int64 { return c.Bad }},
		{"for another", from(one(t, "n2", 4, nil), "n1", message{Kind: ping}), func(c Counts) int64 { return c.Misled }},
		{"a stranger", from(m, "n1", message{Kind: ping, Self: stranger}), func(c Counts) int64 { return c.Strangers }},
		{"an incarnation beyond all", from(m, "n1", message{Kind: ping, Self: rumour{ID: m.peers[0].id, State: Up, Start: mostNumber}}), func(c Counts) int64 { return c.Bad }},
		{"a rumour of a stranger", good, func(c Counts) int64 { return c.Strangers - 1 }},
	} {
		before := c.count(m.counts)
		m.Heard(begin, c.datagram)
		if c.count(m.counts) == before {
			t.Errorf("%s: not counted: %+v", c.what, m.counts)
		}
	}
	if f := m.Figure(begin); f.Up != 2 || f.Never != 2 || f.Known {
		t.Errorf("one good message, and a few bad: %+v", f)
	}
}

func TestFieldsOfALaterVersionArePassedOver(t *testing.T) {
	m := one(t, "n0", 3, &nowhere{})
	body, _ := cbor.Marshal(message{Kind: tell, To: m.id, Self: one(t, "n1", 3, nil).own()})
	var fields map[int]any
	if err := cbor.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	fields[77] = map[string]any{"new": []int{1, 2}}
	body, _ = cbor.Marshal(fields)
	body = append([]byte{version}, body...)
	m.Heard(begin, append(body, seal(nil, body)...))
	if m.Figure(begin).Up != 2 {
		t.Errorf("a message with a field more was not taken: %+v", m.counts)
	}
}

// TestMessagesAreBoundedAndShort has a node with thousands of changes to tell, that is asked without end.
func TestMessagesAreBoundedAndShort(t *testing.T) {
	way := &nowhere{}
	m := one(t, "n0", 2000, way)
	draw := rand.New(rand.NewPCG(1, 1))
	for i := range m.peers {
		m.told(begin, rumour{ID: m.peers[i].id, State: Doubted, Start: draw.Uint64N(mostNumber), Over: draw.Uint64N(mostNumber), Run: draw.Uint32(), By: draw.Uint64()}, false)
	}
	now, asked := begin, [][]byte(nil)
	for k := range 50 {
		asked = append(asked, from(m, fmt.Sprintf("n%d", 1+k), message{Kind: ping, Sequence: uint64(k), Parts: m.parts(), Part: k % m.parts(), Digest: 1}))
	}
	for round := range 20 {
		way.sent = way.sent[:0]
		for range beatsARound {
			now += 1e8
			m.Beat(now)
			for _, datagram := range asked {
				m.Heard(now, datagram)
			}
		}
		if len(way.sent) > 26+beatsARound*answersABeat {
			t.Fatalf("round %d: %d datagrams", round, len(way.sent))
		}
		for _, d := range way.sent {
			if len(d) >= Most {
				t.Fatalf("a datagram of %d bytes", len(d))
			}
		}
	}
	if m.counts.Held == 0 {
		t.Error("no answer was held back")
	}
}

// TestLoads carries the longest load from a node that has much to tell, to one that wants it, one that does not, and a stranger.
func TestLoads(t *testing.T) {
	out := &nowhere{}
	a := one(t, "n0", 300, out)
	allUp(a)
	a.Carry(1, make([]byte, MostLoad))
	a.Carry(1, make([]byte, MostLoad+1))
	a.Carry(4000, nil)
	if len(out.sent) != 1 || len(out.sent[0]) >= Most {
		t.Fatalf("%d datagrams", len(out.sent))
	}
	took := -1
	b := one(t, "n1", 300, &nowhere{})
	b.Heard(begin, out.sent[0])
	b.set.Take = func(from int, load []byte) { took = from*10000 + len(load) }
	b.Heard(begin, out.sent[0])
	if c := b.Counts(); took != MostLoad || c.Bad > 0 {
		t.Errorf("took %d, %+v", took, c)
	}
	if got := len(b.Others()); got != 299 {
		t.Errorf("%d may hear", got)
	}
	b.peers[3].state, b.peers[4].state, b.peers[5].state = Silent, Left, Doubted
	if got := len(b.Others()); got != 297 {
		t.Errorf("%d may hear", got)
	}
}

func TestAViewOf4096NodesIsUnderAMegabyte(t *testing.T) {
	all := names(4096)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, err := New(Settings{Name: "n0", Peers: all, Round: 1e9, Run: 1}, &nowhere{}, begin)
	if err != nil {
		t.Fatal(err)
	}
	for i := range m.peers {
		m.told(begin, rumour{ID: m.peers[i].id, State: Up, Start: 5, Run: 1}, false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 1<<20 {
		t.Errorf("%d bytes", used)
	}
	runtime.KeepAlive(m)
}

// TestAClockThatWentBack starts a node anew with a clock a minute behind: the gossip of its life before brings it beyond.
func TestAClockThatWentBack(t *testing.T) {
	way := &nowhere{}
	m := one(t, "n0", 3, way)
	m.told(begin, rumour{ID: m.id, State: Silent, Start: m.start + 60_000, Run: 3}, false)
	if m.number <= m.start+60_000 {
		t.Errorf("incarnation %d stays under that of the life before, %d", m.number, m.start+60_000)
	}
}

// TestTwoProcessesOfOneName bid against each other; one of them goes quiet, and says so.
func TestTwoProcessesOfOneName(t *testing.T) {
	a, b := one(t, "n0", 3, &nowhere{}), one(t, "n0", 3, &nowhere{})
	b.set.Run = 9
	for range 6 {
		a.Heard(begin, encode(nil, &message{Kind: ping, To: a.id, Self: b.own()}))
		b.Heard(begin, encode(nil, &message{Kind: ping, To: b.id, Self: a.own()}))
	}
	if !a.Twice() || a.yields == 0 || b.yields != 0 {
		t.Errorf("a yields until beat %d, b until %d", a.yields, b.yields)
	}
	if a.Figure(begin).Known {
		t.Error("one of two goes by its view")
	}
}

// TestHearsayAloneSilencesNobody has one doubted by others who answers this node: it stays, however long the word of others stands.
func TestHearsayAloneSilencesNobody(t *testing.T) {
	way := &nowhere{}
	m := one(t, "n0", 6, way)
	for i := range m.peers {
		m.told(begin, rumour{ID: m.peers[i].id, State: Up, Start: 5, Run: 1}, true)
	}
	victim := m.find(one(t, "n1", 6, nil).id)
	m.told(begin, rumour{ID: m.peers[victim].id, State: Doubted, Start: 5, Run: 1, By: m.peers[(victim+1)%5].id}, false)
	now := begin
	for beat := range 600 {
		way.sent = way.sent[:0]
		now += 1e8
		m.Beat(now)
		for _, d := range way.sent {
			msg, err := decode(nil, d)
			if err != nil {
				t.Fatal(err)
			}
			if msg.Kind == ping {
				self := rumour{ID: msg.To, State: Up, Start: 5, Run: 1}
				m.Heard(now, encode(nil, &message{Kind: ack, To: m.id, Self: self, Sequence: msg.Sequence}))
			}
		}
		if s := m.peers[victim].state; s != Doubted {
			t.Fatalf("beat %d: %v", beat, s)
		}
	}
}

func TestWrongSettings(t *testing.T) {
	for _, s := range []Settings{
		{Name: "", Peers: names(2), Round: 1},
		{Name: "n0", Peers: names(2)},
		{Name: "x", Peers: names(2), Round: 1},
		{Name: "n0", Peers: []string{"n0", "n1", "n1"}, Round: 1},
		{Name: "n0", Peers: names(mostPeers + 1), Round: 1},
	} {
		if _, err := New(s, &nowhere{}, begin); err == nil {
			t.Errorf("%q of %d taken", s.Name, len(s.Peers))
		}
	}
}

func FuzzHeard(f *testing.F) {
	m := one(f, "n0", 30, &nowhere{})
	f.Add(from(m, "n1", message{Kind: ping, Sequence: 1, Parts: 2, Digest: 7}))
	f.Add(from(m, "n2", message{Kind: please, Sequence: 1, About: m.peers[3].id}))
	f.Add(binary.BigEndian.AppendUint64([]byte{version}, 1))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := one(t, "n0", 30, &nowhere{})
		m.Heard(begin, data)
		if len(data) > 0 { // also past the seal
			body := append([]byte{version}, data...)
			m.Heard(begin, append(body, seal(nil, body)...))
		}
		m.Beat(begin)
	})
}

// upTo lets a view take beats, as if all went well with its clock.
func upTo(m *Members, now int64, beats int) int64 {
	for range beats {
		now += m.beatNs()
		m.Beat(now)
	}
	return now
}

func allUp(m *Members) {
	for i := range m.peers {
		m.told(begin, rumour{ID: m.peers[i].id, State: Up, Start: 5, Run: 1}, true)
	}
}

// TestAStandstillCastsNoDoubt has a node stand still while it probes: whatever is not answered then and in the first probe after, is
// its own doing first.
func TestAStandstillCastsNoDoubt(t *testing.T) {
	for phase := range beatsARound {
		m := one(t, "n0", 6, &nowhere{})
		allUp(m)
		now := upTo(m, begin, beatsARound+phase)
		if now = upTo(m, now+3e9, 3*beatsARound-1); m.counts.Doubts != 0 || m.counts.Standstills != 1 {
			t.Errorf("phase %d: %d doubts, %d standstills", phase, m.counts.Doubts, m.counts.Standstills)
		}
		if upTo(m, now, 4*beatsARound); m.counts.Doubts == 0 {
			t.Error("it never doubts again")
		}
	}
}

// TestWhatWasMissedIsFoundByDigests has a node that is told nothing any more know what another does, after one ping and its answer in
// each part.
func TestWhatWasMissedIsFoundByDigests(t *testing.T) {
	wayA, wayB := &nowhere{}, &nowhere{}
	a, b := one(t, "n0", 50, wayA), one(t, "n1", 50, wayB)
	allUp(a)
	a.fresh = nil
	for i := range a.peers {
		a.peers[i].left, a.peers[i].queued = 0, false
	}
	b.told(begin, a.own(), true)
	a.told(begin, b.own(), true)
	for range 2 * b.parts() {
		wayA.sent, wayB.sent = nil, nil
		a.answers, b.answers = 0, 0
		b.send(b.find(a.id), b.withDigest(&message{Kind: ping, Sequence: 1}))
		a.fresh = nil
		a.Heard(begin, wayB.sent[0])
		for _, d := range wayA.sent {
			b.Heard(begin, d)
		}
	}
	if f := b.Figure(begin); f.Up != 50 {
		t.Errorf("%+v", f)
	}
}

// TestALifeBeforeIsNotAnswered has a message of an earlier life of a node come: it is told what it is taken for, and nothing else.
func TestALifeBeforeIsNotAnswered(t *testing.T) {
	way := &nowhere{}
	m := one(t, "n0", 4, way)
	old := one(t, "n1", 4, &nowhere{}).own()
	next := old
	next.Start, next.Run = old.Start+1000, 8
	m.Heard(begin, from(m, "n1", message{Kind: tell, Self: next}))
	way.sent = nil
	m.Heard(begin+1e9, from(m, "n1", message{Kind: ping, Sequence: 4, Self: old}))
	if len(way.sent) != 1 || m.peers[m.find(old.ID)].heard != begin || m.counts.Old != 1 {
		t.Fatalf("%d sent, %+v", len(way.sent), m.counts)
	}
	if msg, err := decode(nil, way.sent[0]); err != nil || msg.Kind != tell || len(msg.Told) == 0 || msg.Told[0].Start != next.Start {
		t.Errorf("%+v, %v", msg, err)
	}
	if m.told(begin, old, false); m.peers[m.find(old.ID)].start != next.Start {
		t.Error("an old word is taken")
	}
}
