package distribution

// These tests check the validation of frames one rule at a time. They use frames that relays send rarely or never,
// which the random networks of model_test.go hardly reach.

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// frameSender passes frames to a receiver, numbered in one session.
type frameSender struct {
	t        *testing.T
	receiver frameReceiver
	number   uint64
	session  uint64
}

func newFrameSender(t *testing.T, receiver frameReceiver) *frameSender {
	receiver.newHello(0)
	sender := &frameSender{t: t, receiver: receiver}
	switch receiver := receiver.(type) {
	case *testSubscriber:
		sender.session = receiver.replica.session
	case testRelay:
		sender.session = receiver.replica.session
	}
	return sender
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
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	sender := newFrameSender(t, subscriber)
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5))})
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", flagDeleted, 6))})
	sender.number = 0
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 9))})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "")
	expectEqual(t, "old frames", subscriber.Stats().StaleFrames, int64(1))
}

func TestLowerEpochIsIgnored(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	sender := newFrameSender(t, subscriber)
	sender.send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 5))})
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("l", 1, 9))})
	sender = newFrameSender(t, subscriber)
	sender.send(0, frame{
		Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("l", 1, 9)),
		End: firstSelector, Through: 9, All: true,
	})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s k=5\n")
	expectEqual(t, "complete", subscriber.Complete(), false)
}

func TestOlderRecordsStayDeleted(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	sender := newFrameSender(t, subscriber)
	// Before the scope is complete, a tombstone prevents the older state from being applied. It is dropped once the
	// position has passed it.
	sender.send(0, frame{
		Epoch: 1, Begin: firstSelector,
		Groups: groupOf("s", newRecord("k", flagDeleted, 9), newRecord("l", 1, 8)),
	})
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5), newRecord("l", 1, 7))})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s l=8\n")
	expectEqual(t, "tombstones", subscriber.Stats().Tombstones, 1)
	sender.send(0, frame{Epoch: 1, End: firstSelector, Through: 10})
	expectEqual(t, "tombstones", subscriber.Stats().Tombstones, 0)
	// Once the scope is complete, a record that is not held and not newer than the position counts as deleted.
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 5), newRecord("m", 1, 10))})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s l=8\n")
	expectEqual(t, "stale", subscriber.Stats().Stale, int64(4))
	// A record that is deleted, added and deleted again within one frame leaves one tombstone to drop.
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("n", flagDeleted, 11), newRecord("n", 1, 12),
		newRecord("n", flagDeleted, 13))})
	sender.send(0, frame{Epoch: 1, Through: 13, All: true})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s l=8\n")
	expectEqual(t, "held", subscriber.replica.items.Len(), 1)
}

func TestSnapshotKeepsNewerRecords(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	sender := newFrameSender(t, subscriber)
	sender.send(0, frame{Epoch: 1, Groups: groupOf("s", newRecord("k", 1, 20), newRecord("l", 1, 9))})
	sender.send(0, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 10})
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s k=20\n")
}

func TestHelloDiscardsUnfinishedSnapshots(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	sender := newFrameSender(t, subscriber)
	sender.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("k", 1, 5))})
	subscriber.Hello()
	if _, err := subscriber.Receive(0, encode(frame{
		Session: subscriber.replica.session, Number: 1, Epoch: 1, End: firstSelector,
		Through: 10,
	})); !errors.Is(err, ErrBadFrame) {
		t.Fatal(err)
	}
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s k=5\n")
}

func TestPositionsNeverDecrease(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"}, Selector{Scope: "u"})
	expectPositions := func(description string, want ...uint64) {
		t.Helper()
		for i, scope := range []string{"s", "t", "u"} {
			if p := subscriber.Position(scope); p.Epoch*1000+p.Through != want[i] {
				t.Fatalf("%s: scope %s: got position %v, want %d (epoch*1000 + version)", description, scope, p,
					want[i])
			}
		}
	}
	sender := newFrameSender(t, subscriber)
	sender.send(0, frame{Epoch: 1, Through: 20, All: true})
	expectPositions("position before any snapshot", 0, 0, 0)
	expectEqual(t, "complete", subscriber.Stats().Complete, false)
	sender.send(0, frame{Epoch: 1, Begin: []uint32{0, 1}, End: []uint32{0, 1}, Through: 30})
	expectPositions("ends", 1030, 1030, 0)
	sender.send(0, frame{Epoch: 1, Through: 25, All: true})
	expectPositions("position below the end of a snapshot", 1030, 1030, 0)
	sender.send(0, frame{Epoch: 1, Through: 40, All: true, Except: []uint32{1}})
	expectPositions("position with one selector excepted", 1040, 1030, 0)
	sender.send(0, frame{Epoch: 1, Through: 41, All: true})
	expectPositions("progress", 1041, 1041, 0)
	sender.send(0, frame{Epoch: 1, Through: 35, All: true})
	expectPositions("position lower than before", 1041, 1041, 0)
	sender.send(0, frame{Epoch: 1, Begin: firstSelector, Through: 50, All: true})
	expectPositions("position during a snapshot", 1041, 1050, 0)
	sender.send(0, frame{Epoch: 1, End: firstSelector, Through: 33})
	expectPositions("end of a snapshot at a lower position", 1041, 1050, 0)
	sender.send(0, frame{Epoch: 1, Through: 60, All: true})
	expectPositions("progress", 1060, 1060, 0)
	sender.send(0, frame{Epoch: 2, Through: 5, All: true})
	expectPositions("position of a new epoch before any snapshot", 1060, 1060, 0)
	sender.send(0, frame{
		Epoch: 2, Begin: []uint32{0, 1, 2}, End: []uint32{0, 2}, Through: 6, All: true,
		Except: []uint32{1},
	})
	expectPositions("ends of snapshots of a new epoch", 2006, 1060, 2006)
	expectEqual(t, "complete", subscriber.Complete(), true)
}

func TestAgeIsLowestReported(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	expectAge := func(now, want int64) {
		t.Helper()
		if got, _ := subscriber.Age(now, "s"); got != want {
			t.Fatalf("got age %d, want %d", got, want)
		}
	}
	if _, known := subscriber.Age(0, "s"); known {
		t.Fatal("age is known before any snapshot")
	}
	sender := newFrameSender(t, subscriber)
	sender.send(10*second, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 5, Age: 2 * second})
	expectAge(10*second, 2*second)
	sender.send(11*second, frame{Epoch: 1, Begin: firstSelector, End: firstSelector, Through: 5, Age: 9 * second})
	expectAge(11*second, 3*second)
	sender.send(11*second, frame{Epoch: 1, Through: 5, All: true})
	expectAge(11*second, 0)
	sender.send(12*second, frame{Epoch: 1, Through: 5, All: true, Age: 9 * second})
	expectAge(12*second, second)
}

func TestRecordsWithInvalidFieldsAreSkipped(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Prefix: true})
	long := strings.Repeat("n", MaxNameBytes+1)
	sender := newFrameSender(t, subscriber)
	for i, groups := range [][]recordGroup{
		groupOf("s", newRecord("k", 0x41, 1)),
		groupOf("s", newRecord("k", 0x03, 1)),
		groupOf("s", newRecord("k", 1, 0)),
		groupOf("s", newRecord("", 1, 1)),
		groupOf("s", newRecord(long, 1, 1)),
		groupOf("", newRecord("k", 1, 1)),
		groupOf(long, newRecord("k", 1, 1)),
		groupOf("s", record{Key: "k", Flags: 1, Version: 1, Body: make([]byte, MaxBodyBytes+1)}),
	} {
		sender.send(0, frame{Epoch: 1, Groups: groups})
		expectEqual(t, fmt.Sprint("invalid ", i), subscriber.Stats().InvalidRecords, int64(i+1))
		expectEqual(t, fmt.Sprint("records ", i), subscriber.replica.items.Len(), 0)
	}
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	subscriber.Hello()
	f := frame{Session: 1, Number: 1, Epoch: 1, Groups: groupOf("s")}
	for i := range 5 {
		f.Groups[0].Records = append(f.Groups[0].Records,
			record{Key: fmt.Sprint(i), Flags: 1, Version: 1, Body: make([]byte, MaxBodyBytes)})
	}
	if _, err := subscriber.Receive(0, encode(f)); !errors.Is(err, ErrBadFrame) || subscriber.replica.items.Len() > 0 {
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

// A relay advertises a position only while it is complete.
func TestOnlyCompleteRelayAdvertisesPosition(t *testing.T) {
	relay := newTestRelay(t, Limits{}, Selector{Scope: "s"}, Selector{Scope: "t"})
	downstream := newTestSubscriber(t, Selector{Scope: "s"})
	connection := connect(t, 0, relay.Relay, downstream, 0)
	now := int64(0)
	expectComplete := func(description string, want bool) {
		t.Helper()
		expectEqual(t, description, relay.Complete(), want)
		now += second
		f, _ := relay.Next(now, connection.sessionID)
		h, err := decodeFrame(f, func(string) {})
		if err != nil || !want && (h.All || h.End != nil) {
			t.Fatalf("%s: got frame %+v, error %v, want a position only if the relay is complete", description, h, err)
		}
		if err := downstream.receiveFrame(now, f); err != nil {
			t.Fatal(err)
		}
	}
	sender := newFrameSender(t, relay)
	expectComplete("nothing received", false)
	sender.send(0, frame{Epoch: 1, Begin: []uint32{0, 1}, Groups: groupOf("s", newRecord("k", 1, 5))})
	expectComplete("begun", false)
	sender.send(0, frame{Epoch: 1, End: []uint32{0}, Through: 100})
	expectComplete("one snapshot of two has ended", false)
	sender.send(0, frame{Epoch: 1, End: []uint32{1}, Through: 150})
	expectComplete("the position of the first scope is below the end of the second snapshot", false)
	sender.send(0, frame{Epoch: 1, Through: 150, All: true})
	expectComplete("all scopes have reached the position", true)
	expectEqual(t, "through", relay.Stats().Through, uint64(150))
	sender.send(0, frame{Epoch: 1, Begin: []uint32{0}})
	expectComplete("a snapshot has begun", false)
	sender.send(0, frame{
		Epoch: 1, End: []uint32{0}, Groups: groupOf("s", newRecord("k", 1|flagKeyOnly, 5)),
		Through: 150,
	})
	expectComplete("the snapshot has ended", true)
	sender.send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 1))})
	expectComplete("a new epoch", false)
	sender.send(0, frame{Epoch: 2, Through: 200, All: true})
	expectComplete("position of a new epoch before its snapshots", false)
	expectEqual(t, "epoch of the subscriber's position", downstream.Position("s").Epoch, uint64(1))

	// A complete relay advertises nothing to a subscriber that has seen a higher epoch.
	oldOrigin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	newFrameSender(t, subscriber).send(0, frame{Epoch: 2, Groups: groupOf("s", newRecord("k", 1, 5))})
	id, err := oldOrigin.Relay().Attach(0, subscriber.Hello(), 0)
	if err != nil {
		t.Fatal(err)
	}
	put(t, oldOrigin, "s", "k", ClassEndpoint, "x")
	f, _ := oldOrigin.Relay().Next(0, id)
	if h, err := decodeFrame(f, func(string) {}); err != nil || h.All || h.Groups != nil || h.Begin != nil {
		t.Fatal(h, err)
	}
}

// Tombstones that are newer than the advertised position are kept beyond the limit: the older state of their records
// may still arrive.
func TestTombstonesAfterAdvertisedPositionAreKept(t *testing.T) {
	relay := newTestRelay(t, Limits{Tombstones: 1}, Selector{Scope: "s"})
	sender := newFrameSender(t, relay)
	sender.send(0, frame{
		Epoch: 1, Begin: firstSelector,
		Groups: groupOf("s", newRecord("a", flagDeleted, 9), newRecord("b", flagDeleted, 10),
			newRecord("c", flagDeleted, 11)),
	})
	expectEqual(t, "tombstones", relay.Stats().Tombstones, 3)
	sender = newFrameSender(t, relay)
	sender.send(0, frame{Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("a", 1, 4))})
	expectEqual(t, "records", relay.Stats().Records, 0)
	sender.send(0, frame{Epoch: 1, End: firstSelector, Through: 20})
	expectEqual(t, "tombstones once it is complete", relay.Stats().Tombstones, 1)
	expectEqual(t, "floor", relay.Stats().Floor, uint64(20))
	origin := NewOrigin(1, Limits{})
	for i := range 5000 {
		put(t, origin, "s", "k", ClassEndpoint, fmt.Sprint(i))
		origin.Remove(0, "s", "k")
	}
	if n := len(origin.relay.tombstones); n > 70 {
		t.Fatalf("got %d tombstone references for one tombstone, want at most 70", n)
	}
}

// A subscriber resumes at a relay that received its records out of the order of versions. The relay sends the records
// that are newer than the subscriber's position, and no others.
func TestResumeAtRelayWithRecordsOutOfOrder(t *testing.T) {
	relay := newTestRelay(t, Limits{}, Selector{Scope: "s"})
	sender := newFrameSender(t, relay)
	sender.send(0, frame{
		Epoch: 1, Begin: firstSelector,
		Groups: groupOf("s", newRecord("k", 1, 9), newRecord("l", 1, 5)),
	})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	newFrameSender(t, subscriber).send(0, frame{
		Epoch: 1, Begin: firstSelector, Groups: groupOf("s", newRecord("l", 1, 5)), End: firstSelector, Through: 7,
		All: true,
	})
	connect(t, 0, relay.Relay, subscriber, 0).deliver(t, 0, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s k=9\ns l=5\n")
	expectEqual(t, "sent", relay.Stats().SentRecords, int64(1))
}

// A subscriber resumes at a relay whose position is lower than its own. Then the relay receives a snapshot, with begin
// and end in one frame. The relay never saw the records that were removed in between, so the subscriber needs a
// snapshot as well to delete them.
func TestSnapshotOfRelayReachesItsSubscribers(t *testing.T) {
	origin := NewOrigin(1, Limits{Tombstones: 1})
	laggingRelay := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, origin.Relay(), laggingRelay, 0).deliver(t, 0, laggingRelay)
	put(t, origin, "s", "k", ClassEndpoint, "x")
	put(t, origin, "s", "stays", ClassEndpoint, "x")
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	connection := connect(t, 0, laggingRelay.Relay, subscriber, 0)
	connection.deliver(t, 0, subscriber)
	origin.Remove(0, "s", "k")
	for i := range 3 {
		put(t, origin, "s", fmt.Sprint(i), ClassEndpoint, "x")
		origin.Remove(0, "s", fmt.Sprint(i))
	}
	expectEqual(t, "frames", len(connect(t, 0, origin.Relay(), laggingRelay, 0).deliver(t, 0, laggingRelay)), 1)
	connection.deliver(t, 0, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s stays=x\n")
}
