package distribution

// Each guard alone, by frames that relays send seldom or never: what the random networks of model_test.go hardly reach.

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// frameSender hands numbered frames to a taker.
type frameSender struct {
	t        *testing.T
	receiver frameReceiver
	number   uint64
	session  uint64
}

func newFrameSender(t *testing.T, to frameReceiver) *frameSender {
	to.newHello(0)
	s := &frameSender{t: t, receiver: to}
	switch to := to.(type) {
	case *testSubscriber:
		s.session = to.replica.session
	case testRelay:
		s.session = to.replica.session
	}
	return s
}

func (s *frameSender) send(now int64, f frame) {
	s.t.Helper()
	s.number++
	f.Session, f.Number = s.session, s.number
	if err := s.receiver.receiveFrame(now, encode(f)); err != nil {
		s.t.Fatal(err)
	}
}

func newRecord(key string, flags uint8, version uint64) record {
	return record{Key: key, Flags: flags, Version: version, Body: fmt.Append(nil, version)}
}

func groupOf(scope string, records ...record) []recordGroup {
	return []recordGroup{{Scope: scope, Records: records}}
}

var firstSelector = []uint32{0}

func TestRepeatedFrameIsIgnored(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	e := newFrameSender(t, s)
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5))})
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", flagDeleted, 6))})
	e.number = 0
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 9))})
	expectEqual(t, "records", listRecords(s.Subscriber), "")
	expectEqual(t, "old frames", s.Stats().StaleFrames, int64(1))
}

func TestLowerEpochIsIgnored(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	e := newFrameSender(t, s)
	e.send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 5))})
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("l", 1, 9))})
	e = newFrameSender(t, s)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("l", 1, 9)), End: firstSelector, Through: 9, All: true})
	expectEqual(t, "records", listRecords(s.Subscriber), "s k=5\n")
	expectEqual(t, "complete", s.Complete(), false)
}

func TestOlderRecordsStayDeleted(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	e := newFrameSender(t, s)
	// Before the scope is complete a tombstone keeps the older state out, and is dropped once the position has passed
	// it.
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("k", flagDeleted, 9), newRecord("l", 1, 8))})
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5), newRecord("l", 1, 7))})
	expectEqual(t, "records", listRecords(s.Subscriber), "s l=8\n")
	expectEqual(t, "tombstones", s.Stats().Tombstones, 1)
	e.send(0, frame{Epoch: 1, End: firstSelector, Through: 10})
	expectEqual(t, "tombstones", s.Stats().Tombstones, 0)
	// Once it is complete, what is not held and not newer is deleted by the position alone.
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5), newRecord("m", 1, 10))})
	expectEqual(t, "records", listRecords(s.Subscriber), "s l=8\n")
	expectEqual(t, "stale", s.Stats().Stale, int64(4))
	// Deleted, back and deleted within one frame leaves one tombstone to drop.
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("n", flagDeleted, 11), newRecord("n", 1, 12), newRecord("n", flagDeleted, 13))})
	e.send(0, frame{Epoch: 1, Through: 13, All: true})
	expectEqual(t, "records", listRecords(s.Subscriber), "s l=8\n")
	expectEqual(t, "held", s.replica.items.Len(), 1)
}

func TestSnapshotKeepsNewerRecords(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	e := newFrameSender(t, s)
	e.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 20), newRecord("l", 1, 9))})
	e.send(0, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 10})
	expectEqual(t, "records", listRecords(s.Subscriber), "s k=20\n")
}

func TestHelloDiscardsUnfinishedSnapshots(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	e := newFrameSender(t, s)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("k", 1, 5))})
	s.Hello()
	if _, err := s.Receive(0, encode(frame{
		Session: s.replica.session, Number: 1, Epoch: 1, End: firstSelector,
		Through: 10,
	})); !errors.Is(err, ErrBadFrame) {
		t.Fatal(err)
	}
	expectEqual(t, "records", listRecords(s.Subscriber), "s k=5\n")
}

func TestPositionsNeverDecrease(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"}, Selector{Scope: "u"})
	at := func(what string, want ...uint64) {
		t.Helper()
		for i, scope := range []string{"s", "t", "u"} {
			if p := s.Position(scope); p.Epoch*1000+p.Through != want[i] {
				t.Fatalf("%s: %s is at %v, want %d", what, scope, p, want[i])
			}
		}
	}
	e := newFrameSender(t, s)
	e.send(0, frame{Epoch: 1, Through: 20, All: true})
	at("progress before anything was complete", 0, 0, 0)
	expectEqual(t, "complete", s.Stats().Complete, false)
	e.send(0, frame{Epoch: 1, Begin: []uint32{0, 1}, End: []uint32{0, 1}, Through: 30})
	at("ends", 1030, 1030, 0)
	e.send(0, frame{Epoch: 1, Through: 25, All: true})
	at("progress below an end", 1030, 1030, 0)
	e.send(0, frame{Epoch: 1, Through: 40, All: true, Except: []uint32{1}})
	at("progress but for one", 1040, 1030, 0)
	e.send(0, frame{Epoch: 1, Through: 41, All: true})
	at("progress", 1041, 1041, 0)
	e.send(0, frame{Epoch: 1, Through: 35, All: true})
	at("progress that falls back", 1041, 1041, 0)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Through: 50, All: true})
	at("progress during a snapshot", 1041, 1050, 0)
	e.send(0, frame{Epoch: 1, End: firstSelector, Through: 33})
	at("an end that falls back", 1041, 1050, 0)
	e.send(0, frame{Epoch: 1, Through: 60, All: true})
	at("progress", 1060, 1060, 0)
	e.send(0, frame{Epoch: 2, Through: 5, All: true})
	at("progress of a new epoch alone", 1060, 1060, 0)
	e.send(0, frame{
		Epoch: 2, Begin: []uint32{0, 1, 2}, End: []uint32{0, 2}, Through: 6, All: true,
		Except: []uint32{1},
	})
	at("ends of a new epoch", 2006, 1060, 2006)
	expectEqual(t, "complete", s.Complete(), true)
}

func TestAgeIsLowestReported(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	age := func(now, want int64) {
		t.Helper()
		if got, _ := s.Age(now, "s"); got != want {
			t.Fatalf("age %d, want %d", got, want)
		}
	}
	if _, known := s.Age(0, "s"); known {
		t.Fatal("an age of nothing")
	}
	e := newFrameSender(t, s)
	e.send(10*second, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 5, Age: 2 * second})
	age(10*second, 2*second)
	e.send(11*second, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 5, Age: 9 * second})
	age(11*second, 3*second)
	e.send(11*second, frame{Epoch: 1, Through: 5, All: true})
	age(11*second, 0)
	e.send(12*second, frame{Epoch: 1, Through: 5, All: true, Age: 9 * second})
	age(12*second, second)
}

func TestRecordsWithInvalidFieldsAreSkipped(t *testing.T) {
	s := newTestSubscriber(t, Selector{Prefix: true})
	long := strings.Repeat("n", MaxNameBytes+1)
	e := newFrameSender(t, s)
	for i, g := range [][]recordGroup{
		groupOf("s", newRecord("k", 0x41, 1)),
		groupOf("s", newRecord("k", 0x03, 1)),
		groupOf("s", newRecord("k", 1, 0)),
		groupOf("s", newRecord("", 1, 1)),
		groupOf("s", newRecord(long, 1, 1)),
		groupOf("", newRecord("k", 1, 1)),
		groupOf(long, newRecord("k", 1, 1)),
		groupOf("s", record{Key: "k", Flags: 1, Version: 1, Body: make([]byte, MaxBodyBytes+1)}),
	} {
		e.send(0, frame{Epoch: 1, Groups: g})
		expectEqual(t, fmt.Sprint("invalid ", i), s.Stats().InvalidRecords, int64(i+1))
		expectEqual(t, fmt.Sprint("records ", i), s.replica.items.Len(), 0)
	}
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	s := newTestSubscriber(t, Selector{Scope: "s"})
	s.Hello()
	f := frame{Session: 1, Number: 1, Epoch: 1, Groups: groupOf("s")}
	for i := range 5 {
		f.Groups[0].Records = append(f.Groups[0].Records,
			record{Key: fmt.Sprint(i), Flags: 1, Version: 1, Body: make([]byte, MaxBodyBytes)})
	}
	if _, err := s.Receive(0, encode(f)); !errors.Is(err, ErrBadFrame) || s.replica.items.Len() > 0 {
		t.Fatal(err)
	}
	h := hello{Protocol: protocolVersion}
	for len(h.Selectors) < 1100 {
		h.Selectors = append(h.Selectors, helloSelector{Scope: strings.Repeat("n", MaxNameBytes)})
	}
	if _, err := NewOrigin(1, Limits{}).Relay().Attach(0, encode(h), 0); !errors.Is(err, ErrBadHello) {
		t.Fatal(err)
	}
}

// A relay claims a position once it is complete.
func TestOnlyCompleteRelayAdvertisesPosition(t *testing.T) {
	r := newTestRelay(t, Limits{}, Selector{Scope: "s"}, Selector{Scope: "t"})
	down := newTestSubscriber(t, Selector{Scope: "s"})
	l := connect(t, 0, r.Relay, down, 0)
	now := int64(0)
	expectComplete := func(what string, want bool) {
		t.Helper()
		expectEqual(t, what, r.Complete(), want)
		now += second
		f, _ := r.Next(now, l.sessionID)
		h, err := decodeFrame(f, func(string) {})
		if err != nil || !want && (h.All || h.End != nil) {
			t.Fatalf("%s: %+v, %v", what, h, err)
		}
		if err := down.receiveFrame(now, f); err != nil {
			t.Fatal(err)
		}
	}
	e := newFrameSender(t, r)
	expectComplete("nothing received", false)
	e.send(0, frame{Epoch: 1, Begin: []uint32{0, 1}, Groups: groupOf("s", newRecord("k", 1, 5))})
	expectComplete("begun", false)
	e.send(0, frame{Epoch: 1, End: []uint32{0}, Through: 100})
	expectComplete("one of two has ended", false)
	e.send(0, frame{Epoch: 1, End: []uint32{1}, Through: 150})
	expectComplete("the first is known up to less than the second", false)
	e.send(0, frame{Epoch: 1, Through: 150, All: true})
	expectComplete("all is known", true)
	expectEqual(t, "through", r.Stats().Through, uint64(150))
	e.send(0, frame{Epoch: 1, Begin: []uint32{0}})
	expectComplete("a snapshot has begun", false)
	e.send(0, frame{Epoch: 1, End: []uint32{0}, Groups: groupOf("s", newRecord("k", 1|flagKeyOnly, 5)), Through: 150})
	expectComplete("the snapshot has ended", true)
	e.send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 1))})
	expectComplete("a new epoch", false)
	e.send(0, frame{Epoch: 2, Through: 200, All: true})
	expectComplete("progress of a new epoch alone", false)
	expectEqual(t, "epoch of what is served", down.Position("s").Epoch, uint64(1))

	// To a subscriber that has seen a higher epoch it claims nothing, complete as it is.
	old := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "s"})
	newFrameSender(t, s).send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 5))})
	id, err := old.Relay().Attach(0, s.Hello(), 0)
	if err != nil {
		t.Fatal(err)
	}
	put(t, old, "s", "k", ClassEndpoint, "x")
	f, _ := old.Relay().Next(0, id)
	if h, err := decodeFrame(f, func(string) {}); err != nil || h.All || h.Groups != nil || h.Begin != nil {
		t.Fatal(h, err)
	}
}

// Tombstones that are newer than the claim stay beyond the limit: the older state may still come.
func TestTombstonesAfterAdvertisedPositionAreKept(t *testing.T) {
	r := newTestRelay(t, Limits{Tombstones: 1}, Selector{Scope: "s"})
	e := newFrameSender(t, r)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("a", flagDeleted, 9), newRecord("b", flagDeleted, 10),
		newRecord("c", flagDeleted, 11))})
	expectEqual(t, "tombstones", r.Stats().Tombstones, 3)
	e = newFrameSender(t, r)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("a", 1, 4))})
	expectEqual(t, "records", r.Stats().Records, 0)
	e.send(0, frame{Epoch: 1, End: firstSelector, Through: 20})
	expectEqual(t, "tombstones once it is complete", r.Stats().Tombstones, 1)
	expectEqual(t, "floor", r.Stats().Floor, uint64(20))
	o := NewOrigin(1, Limits{})
	for i := range 5000 {
		put(t, o, "s", "k", ClassEndpoint, fmt.Sprint(i))
		o.Remove(0, "s", "k")
	}
	if n := len(o.relay.tombstones); n > 70 {
		t.Fatalf("%d places of one tombstone", n)
	}
}

// Records that reached a relay out of the order of versions are sent at a resumption, and those held are not.
func TestResumeAtRelayWithRecordsOutOfOrder(t *testing.T) {
	r := newTestRelay(t, Limits{}, Selector{Scope: "s"})
	e := newFrameSender(t, r)
	e.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("k", 1, 9), newRecord("l", 1, 5))})
	s := newTestSubscriber(t, Selector{Scope: "s"})
	newFrameSender(t, s).send(0, frame{
		Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("l", 1, 5)), End: firstSelector, Through: 7,
		All: true,
	})
	connect(t, 0, r.Relay, s, 0).deliver(t, 0, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "s k=9\ns l=5\n")
	expectEqual(t, "sent", r.Stats().SentRecords, int64(1))
}

// A subscriber resumes at a relay that is behind it. Then the relay gets a snapshot, begin and end in one frame: what
// came and went in between it has never known.
func TestSnapshotOfRelayReachesItsSubscribers(t *testing.T) {
	o := NewOrigin(1, Limits{Tombstones: 1})
	behind := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, o.Relay(), behind, 0).deliver(t, 0, behind)
	put(t, o, "s", "k", ClassEndpoint, "x")
	put(t, o, "s", "stays", ClassEndpoint, "x")
	s := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	l := connect(t, 0, behind.Relay, s, 0)
	l.deliver(t, 0, s)
	o.Remove(0, "s", "k")
	for i := range 3 {
		put(t, o, "s", fmt.Sprint(i), ClassEndpoint, "x")
		o.Remove(0, "s", fmt.Sprint(i))
	}
	expectEqual(t, "frames", len(connect(t, 0, o.Relay(), behind, 0).deliver(t, 0, behind)), 1)
	l.deliver(t, 0, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "s stays=x\n")
}
