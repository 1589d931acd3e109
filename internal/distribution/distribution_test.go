package distribution

// This file has the test helpers, and a test for each case that the package comment describes.

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

const second = int64(1e9)

// testConnection is the session of a receiver with its upstream relay.
type testConnection struct {
	relay     *Relay
	sessionID int
}

// frameReceiver is the receiving end of a testConnection: a subscriber or a relay.
type frameReceiver interface {
	receiveFrame(now int64, frame []byte) error
	newHello(now int64) []byte
}

// testSubscriber is a Subscriber that records its changes.
type testSubscriber struct {
	*Subscriber
	changes []Change
}

func (l *testSubscriber) receiveFrame(now int64, frame []byte) error {
	c, err := l.Receive(now, frame)
	l.changes = append(l.changes, c...)
	return err
}
func (l *testSubscriber) newHello(int64) []byte { return l.Hello() }

// testRelay is a Relay as the receiver of frames from its upstream.
type testRelay struct{ *Relay }

func (r testRelay) receiveFrame(now int64, frame []byte) error { return r.Receive(now, frame) }
func (r testRelay) newHello(now int64) []byte                  { return r.UpstreamHello(now) }

func connect(t testing.TB, now int64, relay *Relay, receiver frameReceiver, bytesPerSecond int) testConnection {
	t.Helper()
	id, err := relay.Attach(now, receiver.newHello(now), bytesPerSecond)
	if err != nil {
		t.Fatal(err)
	}
	return testConnection{relay, id}
}

// deliver passes all frames that are due now to the receiver.
func (c testConnection) deliver(t testing.TB, now int64, receiver frameReceiver) (frames [][]byte) {
	t.Helper()
	for range 100000 {
		frame, _ := c.relay.Next(now, c.sessionID)
		if frame == nil {
			return frames
		}
		if len(frame) > MaxFrameBytes {
			t.Fatalf("got a frame of %d bytes, want at most MaxFrameBytes", len(frame))
		}
		frames = append(frames, frame)
		if err := receiver.receiveFrame(now, frame); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("the relay still has frames due after 100,000 of them")
	return nil
}

func newTestSubscriber(t testing.TB, selectors ...Selector) *testSubscriber {
	t.Helper()
	s, err := NewSubscriber(selectors, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return &testSubscriber{Subscriber: s}
}

func newTestRelay(t testing.TB, l Limits, selectors ...Selector) testRelay {
	t.Helper()
	r := NewRelay(l)
	if err := r.Follow(selectors); err != nil {
		t.Fatal(err)
	}
	return testRelay{r}
}

func put(t testing.TB, origin *Origin, scope, key string, class Class, body string) uint64 {
	t.Helper()
	v, err := origin.Put(0, scope, key, class, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func listRecords(s *Subscriber) string {
	var b bytes.Buffer
	s.Each(func(r Record) { fmt.Fprintf(&b, "%s %s=%s\n", r.Scope, r.Key, r.Body) })
	return b.String()
}

func expectEqual(t testing.TB, description string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got\n%v\nwant\n%v", description, got, want)
	}
}

func TestChangesReachSubscriberThroughTwoRelays(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	top := newTestRelay(t, Limits{}, Selector{Prefix: true})
	bottom := newTestRelay(t, Limits{}, Selector{Scope: "eu1/", Prefix: true})
	subscriber := newTestSubscriber(t, Selector{Scope: "eu1/cart"}, Selector{Scope: "eu1/none"})
	put(t, origin, "eu1/cart", "endpoint/a", ClassEndpoint, "A")
	put(t, origin, "eu1/cart", "endpoint/b", ClassEndpoint, "B")
	put(t, origin, "us1/cart", "endpoint/c", ClassEndpoint, "C")
	fromOrigin, fromTop, fromBottom := connect(t, 0, origin.Relay(), top, 0), connect(t, 0, top.Relay, bottom, 0),
		connect(t, 0, bottom.Relay, subscriber, 0)
	deliverAll := func(now int64) {
		fromOrigin.deliver(t, now, top)
		fromTop.deliver(t, now, bottom)
		fromBottom.deliver(t, now, subscriber)
	}
	fromBottom.deliver(t, 0, subscriber)
	expectEqual(t, "subscriber complete before its relay is", subscriber.Complete(), false)
	deliverAll(0)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "eu1/cart endpoint/a=A\neu1/cart endpoint/b=B\n")
	expectEqual(t, "complete", subscriber.Complete(), true)
	expectEqual(t, "records at a relay", bottom.Stats().Records, 2)
	expectEqual(t, "foreign records received by the lower relay", bottom.Stats().ForeignRecords, int64(0))
	removedVersion, _ := origin.Remove(0, "eu1/cart", "endpoint/a")
	put(t, origin, "eu1/none", "endpoint/d", ClassEndpoint, "D")
	deliverAll(second / 10)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "eu1/cart endpoint/b=B\neu1/none endpoint/d=D\n")
	if age, known := subscriber.Age(second/10, "eu1/cart"); !known || age != 0 {
		t.Fatal("age", age, known)
	}
	if position := subscriber.Position("eu1/cart"); position.Through < removedVersion {
		t.Fatal("position", position)
	}
	if age, _ := subscriber.Age(3*second, "eu1/cart"); age != 3*second-second/10 {
		t.Fatal("age", age)
	}
	deliverAll(4 * second)
	if age, _ := subscriber.Age(4*second, "eu1/cart"); age != 0 {
		t.Fatal("want age 0 after a heartbeat, got", age)
	}
	// The upper relay is cut off from the origin. Heartbeats continue below it, and the age of the records grows.
	for now := 5 * second; now <= 9*second; now += second {
		fromTop.deliver(t, now, bottom)
		fromBottom.deliver(t, now, subscriber)
	}
	if age, _ := subscriber.Age(9*second, "eu1/cart"); age != 5*second {
		t.Fatal("want an age of 5 s below a relay that is cut off from the origin, got", age)
	}
}

func TestWithdrawalsAreSentFirst(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "eu1/cart"}, Selector{Scope: "eu1/", Prefix: true})
	for _, slow := range []bool{false, true} {
		connection := connect(t, 0, origin.Relay(), subscriber, 0)
		connection.deliver(t, 0, subscriber)
		subscriber.changes = nil
		put(t, origin, "eu1/cart", "route/1", ClassConfiguration, fmt.Sprint("R", slow))
		put(t, origin, "eu1/cart", "endpoint/a", ClassEndpoint, fmt.Sprint("A", slow))
		put(t, origin, "eu1/new", "endpoint/b", ClassEndpoint, fmt.Sprint("B", slow))
		put(t, origin, "eu1/cart", "endpoint/c", ClassWithdrawal, fmt.Sprint("C", slow))
		put(t, origin, "eu1/new", "endpoint/d", ClassEndpoint, fmt.Sprint("D", slow))
		origin.Remove(0, "eu1/new", "endpoint/d")
		if slow { // at the lowest pace, frames have room for few records
			connection.relay.sessions[connection.sessionID].bytesPerSecond = 1
			connection.relay.sessions[connection.sessionID].pacedUntilNs = -100000 * second
		}
		for range 20 {
			connection.deliver(t, 0, subscriber)
		}
		last := ClassWithdrawal
		for _, c := range subscriber.changes {
			if c.Class < last {
				t.Fatalf("got a change of class %d after one of class %d, want ascending classes: %+v", c.Class, last,
					subscriber.changes)
			}
			last = c.Class
		}
		expectEqual(t, "changes", len(subscriber.changes), 4)
		connection.relay.Detach(connection.sessionID)
	}
}

func TestClassChangesAreCoalesced(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	connection := connect(t, 0, origin.Relay(), subscriber, 0)
	connection.deliver(t, 0, subscriber)
	put(t, origin, "s", "endpoint/a", ClassEndpoint, "up")
	put(t, origin, "s", "endpoint/a", ClassWithdrawal, "up")
	connection.deliver(t, 0, subscriber)
	expectEqual(t, "changes received for two changes that were unsent", len(subscriber.changes), 1)
	put(t, origin, "s", "endpoint/a", ClassEndpoint, "up")
	connection.deliver(t, 0, subscriber)
	expectEqual(t, "changes", len(subscriber.changes), 2)
	expectEqual(t, "class", subscriber.changes[1].Class, ClassEndpoint)
	expectEqual(t, "old", string(subscriber.changes[1].OldBody), "up")
	expectEqual(t, "records at the relay", origin.Relay().byClass.Len(), 1)
}

func TestUnchangedRecordIsNoChange(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	v := put(t, origin, "s", "k", ClassEndpoint, "x")
	expectEqual(t, "version", put(t, origin, "s", "k", ClassEndpoint, "x"), v)
	if n, err := origin.Replace(0, "e", []Record{{
		Scope: "s", Key: "e/1", Class: ClassEndpoint,
		Body: []byte("1"),
	}}); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if n, err := origin.Replace(0, "e", []Record{{
		Scope: "s", Key: "e/1", Class: ClassEndpoint,
		Body: []byte("1"),
	}}); n != 0 || err != nil {
		t.Fatal(n, err)
	}
	if n, err := origin.Replace(0, "e", []Record{
		{Scope: "s", Key: "f/1"},
		{Scope: "s", Key: "e/2", Class: 9},
	}); n != 1 || err == nil {
		t.Fatal("want one change and an error for a list that removes one record and has two invalid ones, got", n, err)
	}
	expectEqual(t, "records left, of another kind than the list", origin.Relay().Stats().Records, 1)
	// A new epoch with the same bodies causes no changes at a subscriber.
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	subscriber.changes = nil
	origin = NewOrigin(2, Limits{})
	put(t, origin, "s", "k", ClassEndpoint, "x")
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	expectEqual(t, "changes", len(subscriber.changes), 0)
	expectEqual(t, "position", subscriber.Position("s"), Position{2, 1})
}

func TestResumeSendsOnlyChanges(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "empty"})
	for i := range 100 {
		put(t, origin, "s", fmt.Sprint("k", i), ClassEndpoint, "x")
	}
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	sent := origin.Relay().Stats().SentRecords
	connection := connect(t, 0, origin.Relay(), subscriber, 0)
	expectEqual(t, "frames of a resumption", len(connection.deliver(t, 0, subscriber)), 1)
	expectEqual(t, "records of a resumption", origin.Relay().Stats().SentRecords-sent, int64(0))
	expectEqual(t, "resumed", origin.Relay().Stats().Resumed, int64(2))
	put(t, origin, "s", "k7", ClassEndpoint, "y")
	connection = connect(t, 0, origin.Relay(), subscriber, 0)
	connection.deliver(t, 0, subscriber)
	expectEqual(t, "records of a resumption after one change", origin.Relay().Stats().SentRecords-sent, int64(1))
}

// A relay that started empty sends a snapshot to a subscriber of the same epoch. Records that the subscriber holds are
// sent without their bodies.
func TestSnapshotOmitsBodiesOfHeldRecords(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	for i := range 100 {
		put(t, origin, "s", fmt.Sprint("k", i), ClassEndpoint, fmt.Sprintf("%0200d", i))
	}
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	origin.Remove(0, "s", "k7")
	put(t, origin, "s", "k8", ClassEndpoint, "new")
	relay := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, origin.Relay(), relay, 0).deliver(t, 0, relay)
	subscriber.changes = nil
	bytes := 0
	for _, f := range connect(t, 0, relay.Relay, subscriber, 0).deliver(t, 0, subscriber) {
		bytes += len(f)
	}
	expectEqual(t, "changes", len(subscriber.changes), 2)
	expectEqual(t, "names", relay.Stats().SentKeysOnly, int64(98))
	if bytes > 98*12+300 {
		t.Fatalf("got %d bytes for 98 records without bodies and two changes, want at most 12 bytes a record and 300",
			bytes)
	}
}

func TestKeyOnlyRecordNotHeldIsRejected(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	put(t, origin, "s", "k", ClassEndpoint, "x")
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	subscriber.replica.remove(subscriber.replica.find("s", "k")) // simulates a lost record
	relay := newTestRelay(t, Limits{}, Selector{Prefix: true})
	put(t, origin, "s", "l", ClassEndpoint, "x")
	connect(t, 0, origin.Relay(), relay, 0).deliver(t, 0, relay)
	connection := connect(t, 0, relay.Relay, subscriber, 0)
	frame, _ := relay.Next(0, connection.sessionID)
	if _, err := subscriber.Receive(0, frame); !errors.Is(err, ErrMissingRecord) {
		t.Fatal(err)
	}
	if changes, err := subscriber.Receive(0, frame); changes != nil || err != nil {
		t.Fatal("want frames of a session ignored after its error, got", changes, err)
	}
	connect(t, 0, relay.Relay, subscriber, 0).deliver(t, 0, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s k=x\ns l=x\n")
}

// An origin that has not received its list yet advertises no position, so that subscribers delete nothing.
func TestOriginWithoutListDeletesNothing(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	put(t, origin, "s", "endpoint/a", ClassEndpoint, "A")
	put(t, origin, "s", "endpoint/b", ClassEndpoint, "B")
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "empty"})
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	origin = NewOrigin(2, Limits{})
	origin.Await("endpoint", "route")
	connection := connect(t, 0, origin.Relay(), subscriber, 0)
	put(t, origin, "s", "endpoint/b", ClassEndpoint, "B2")
	for now := range int64(5) {
		connection.deliver(t, now*second, subscriber)
	}
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s endpoint/a=A\ns endpoint/b=B2\n")
	expectEqual(t, "position", subscriber.Position("s").Epoch, uint64(1))
	if age, _ := subscriber.Age(4*second, "s"); age != 4*second {
		t.Fatal("age", age)
	}
	if _, err := origin.Replace(0, "route", nil); err != nil {
		t.Fatal(err)
	}
	connection.deliver(t, 5*second, subscriber)
	expectEqual(t, "epoch of the position after one list of two", subscriber.Position("s").Epoch, uint64(1))
	if _, err := origin.Replace(0, "endpoint", []Record{{
		Scope: "s", Key: "endpoint/b", Class: ClassEndpoint,
		Body: []byte("B2"),
	}}); err != nil {
		t.Fatal(err)
	}
	connection.deliver(t, 5*second, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s endpoint/b=B2\n")
	expectEqual(t, "position", subscriber.Position("empty").Epoch, uint64(2))
	expectEqual(t, "records sent by the restarted origin", origin.Relay().Stats().SentRecords, int64(1))
}

// A relay sends no records to a subscriber that has seen a newer epoch than the relay, until the relay reaches that
// epoch.
func TestRelayOfOlderEpochSendsNothing(t *testing.T) {
	oldOrigin := NewOrigin(1, Limits{})
	put(t, oldOrigin, "s", "endpoint/a", ClassEndpoint, "A")
	laggingRelay := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, oldOrigin.Relay(), laggingRelay, 0).deliver(t, 0, laggingRelay)
	origin := NewOrigin(2, Limits{})
	put(t, origin, "s", "endpoint/b", ClassEndpoint, "B")
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"})
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	connection := connect(t, 0, laggingRelay.Relay, subscriber, 0)
	if f := connection.deliver(t, 0, subscriber); len(f) != 1 {
		t.Fatal("frames", len(f))
	}
	expectEqual(t, "records sent by a relay of an older epoch", laggingRelay.Stats().SentRecords, int64(0))
	connection.deliver(t, second, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s endpoint/b=B\n")
	if age, _ := subscriber.Age(second, "s"); age != second {
		t.Fatal("age", age)
	}
	connect(t, second, origin.Relay(), laggingRelay, 0).deliver(t, second, laggingRelay)
	connection.deliver(t, second, subscriber)
	if age, _ := subscriber.Age(second, "s"); age != 0 {
		t.Fatal("age", age)
	}
}

// A slow subscriber costs a relay only its cursors: unsent changes of a record are coalesced into one, and tombstones
// are pruned.
func TestSlowSubscriberMemoryIsBounded(t *testing.T) {
	origin := NewOrigin(1, Limits{Tombstones: 10})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "quiet"})
	put(t, origin, "quiet", "k", ClassEndpoint, "x")
	put(t, origin, "s", "stays", ClassEndpoint, "x")
	connection := connect(t, 0, origin.Relay(), subscriber, 0)
	connection.deliver(t, 0, subscriber)
	for i := range 5000 {
		put(t, origin, "s", fmt.Sprint("k", i), ClassEndpoint, "x")
		connection.deliver(t, 0, subscriber)
		if i < 4000 {
			origin.Remove(0, "s", fmt.Sprint("k", i))
		}
		if i == 10 {
			break
		}
	}
	for i := range 5000 { // from here on the subscriber receives nothing
		origin.Remove(0, "s", fmt.Sprint("k", i))
		put(t, origin, "s", fmt.Sprint("l", i), ClassEndpoint, "x")
		origin.Remove(0, "s", fmt.Sprint("l", i))
		put(t, origin, "s", "stays", ClassEndpoint, fmt.Sprint(i))
	}
	stats := origin.Relay().Stats()
	expectEqual(t, "tombstones", stats.Tombstones, 10)
	if n := len(origin.relay.tombstones); n > 2*10+65 {
		t.Fatal("want at most 85 tombstone references for a limit of 10 tombstones, got", n)
	}
	for q := range queueCount {
		if n := len(origin.relay.sessions[connection.sessionID].queues[q].list); n > 40 {
			t.Fatal("want at most 40 entries in a queue for two selectors, got", n)
		}
	}
	subscriber.changes = nil
	connection.deliver(t, second, subscriber)
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "quiet k=x\ns stays=4999\n")
	expectEqual(t, "records sent after the changes", origin.Relay().Stats().SentRecords-stats.SentRecords, int64(1))
}

func TestPaceAndHeartbeats(t *testing.T) {
	const pace = 20000
	origin := NewOrigin(1, Limits{})
	for i := range 2000 {
		put(t, origin, "s", fmt.Sprint("k", i), ClassEndpoint, fmt.Sprintf("%0200d", i))
	}
	subscriber := newTestSubscriber(t, Selector{Scope: "s"})
	connection := connect(t, 0, origin.Relay(), subscriber, pace)
	sentBytes, lastFrameNs, longestGapNs := 0, int64(0), int64(0)
	var now int64
	for now = 0; now < 60*second && !subscriber.Complete(); {
		f, at := origin.Relay().Next(now, connection.sessionID)
		if f == nil {
			if at <= now {
				t.Fatal("Next returned no frame and a time that is not in the future:", at, "at", now)
			}
			now = at
			continue
		}
		sentBytes += len(f)
		longestGapNs = max(longestGapNs, now-lastFrameNs)
		lastFrameNs = now
		if len(f) > pace/4 {
			t.Fatalf("got a frame of %d bytes at a pace of %d bytes a second, want at most a quarter of the pace",
				len(f), pace)
		}
		if mostBytes := pace*(now+BurstNs)/second + pace/4; int64(sentBytes) > mostBytes {
			t.Fatalf("got %d bytes after %d ns, want at most %d", sentBytes, now, mostBytes)
		}
		if _, err := subscriber.Receive(now, f); err != nil {
			t.Fatal(err)
		}
	}
	if leastNs := int64(sentBytes-pace/2) * second / pace; !subscriber.Complete() || now < leastNs ||
		now > leastNs+3*second/2 {
		t.Fatalf("got complete %v after %d ns and %d bytes, want true within 1.5 s of the time at the pace",
			subscriber.Complete(), now, sentBytes)
	}
	if longestGapNs > second {
		t.Fatal("silence", longestGapNs)
	}
	// After one large body the session is ahead of its pace. Until the pace allows records again, it only sends small
	// heartbeats.
	put(t, origin, "s", "great", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	connection.relay.sessions[connection.sessionID].bytesPerSecond,
		connection.relay.sessions[connection.sessionID].pacedUntilNs = 1000, now
	expectEqual(t, "frames for a large body", len(connection.deliver(t, now, subscriber)), 1)
	put(t, origin, "s", "k1", ClassEndpoint, "later")
	for i := int64(1); i <= 5; i++ {
		f := connection.deliver(t, now+i*second, subscriber)
		if len(f) != 1 || len(f[0]) > 64 {
			t.Fatalf("got %d frames in second %d after the large body, want one heartbeat of at most 64 bytes",
				len(f), i)
		}
	}
	connection.deliver(t, now+30*second, subscriber)
	expectEqual(t, "records", subscriber.Stats().Records, 2001)
}

// While the backlog of one scope is sent, heartbeats keep the ages of the other scopes low.
func TestAgesOfOtherScopesDuringBacklog(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	put(t, origin, "quiet", "k", ClassEndpoint, "x")
	subscriber := newTestSubscriber(t, Selector{Scope: "busy"}, Selector{Scope: "quiet"})
	connection := connect(t, 0, origin.Relay(), subscriber, 4000)
	connection.deliver(t, 0, subscriber)
	for i := range 500 {
		put(t, origin, "busy", fmt.Sprint("k", i), ClassConfiguration, fmt.Sprintf("%0200d", i))
	}
	var now int64
	for range 10 {
		now += second + 1
		connection.deliver(t, now, subscriber)
	}
	if age, _ := subscriber.Age(now, "quiet"); age > 2*second {
		t.Fatal("want an age of at most 2 s for the quiet scope, got", age)
	}
	if age, _ := subscriber.Age(now, "busy"); age < 8*second {
		t.Fatal("want an age of at least 8 s for the busy scope, got", age)
	}
	at := subscriber.Position("quiet")
	if busy := subscriber.Position("busy"); busy.compare(at) >= 0 {
		t.Fatal("positions", busy, at)
	}
	connection = connect(t, now, origin.Relay(), subscriber, 0)
	connection.deliver(t, now, subscriber)
	expectEqual(t, "records", subscriber.Stats().Records, 501)
	if age, _ := subscriber.Age(now, "busy"); age != 0 {
		t.Fatal("want age 0 for the busy scope after its backlog, got", age)
	}
}

func TestInvalidRecordsDeleteNothing(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"})
	for _, k := range []string{"a", "b", "c"} {
		put(t, origin, "s", k, ClassEndpoint, "x")
	}
	put(t, origin, "t", "a", ClassEndpoint, "x")
	connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber)
	subscriber.Hello()
	raw := func(v any) cbor.RawMessage { return encode(v) }
	// A snapshot with a record of an unknown class, an item that is no record, and a valid record.
	f := encode(map[int]any{1: subscriber.replica.session, 2: 1, 3: 2, 4: []int{0, 1}, 5: []any{
		[]any{"s", []any{[]any{"a", 3, 7, []byte("x")}, "nonsense", raw([]any{"d", 1, 8, []byte("y")})}},
		[]any{"foreign", []any{[]any{"a", 1, 9, []byte("x")}}},
	}, 6: []int{0, 1}, 7: 9})
	if _, err := subscriber.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	// The invalid records may have been any records of their scope, so these are kept. The other scope becomes empty.
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s a=x\ns b=x\ns c=x\ns d=y\n")
	stats := subscriber.Stats()
	expectEqual(t, "invalid", stats.InvalidRecords, int64(2))
	expectEqual(t, "foreign", stats.ForeignRecords, int64(1))
	if !strings.Contains(stats.LastInvalid, `"s"`) {
		t.Fatal("named:", stats.LastInvalid)
	}
	// A group that can't be decoded may have contained any record, so all are kept.
	subscriber.Hello()
	f = encode(map[int]any{
		1: subscriber.replica.session, 2: 1, 3: 2, 4: []int{0, 1}, 5: []any{"nonsense"}, 6: []int{0, 1},
		7: 10,
	})
	if _, err := subscriber.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "records", subscriber.Stats().Records, 4)
	// A later snapshot without invalid records deletes what it does not contain.
	subscriber.Hello()
	f = encode(map[int]any{
		1: subscriber.replica.session, 2: 1, 3: 2, 4: []int{0, 1},
		5: []any{[]any{"s", []any{[]any{"d", 0x21, 8, nil}}}}, 6: []int{0, 1}, 7: 10,
	})
	if _, err := subscriber.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "records", listRecords(subscriber.Subscriber), "s d=y\n")
}

func TestLimitErrorsNameTheLimit(t *testing.T) {
	refused := func(text string, err error, target error) {
		t.Helper()
		if !errors.Is(err, target) || !strings.Contains(err.Error(), text) {
			t.Errorf("got error %[2]v, want one that wraps the expected error and contains %[1]q", text, err)
		}
	}
	long := strings.Repeat("n", MaxNameBytes+1)
	origin := NewOrigin(1, Limits{Records: 8, Bytes: 40000, Subscribers: 1, Selectors: 3})
	_, err := origin.Put(0, "s", "k", ClassEndpoint, make([]byte, MaxBodyBytes+1))
	refused("bytes of a body", err, ErrLimit)
	for _, n := range [][2]string{{"", "k"}, {long, "k"}, {"s", ""}, {"s", long}} {
		if _, err := origin.Put(0, n[0], n[1], ClassEndpoint, nil); err == nil {
			t.Error("no error for", n)
		}
	}
	if _, err := origin.Put(0, "s", "k", classCount, nil); err == nil {
		t.Error("Put with a class out of range: got no error")
	}
	put(t, origin, "s", "k1", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	put(t, origin, "s", "k2", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	version := origin.version
	_, err = origin.Put(0, "s", "k3", ClassEndpoint, make([]byte, MaxBodyBytes))
	refused("bytes of records", err, ErrLimit)
	expectEqual(t, "version after a refusal", origin.version, version)
	for i := range 6 {
		put(t, origin, "s", fmt.Sprint("small", i), ClassEndpoint, "x")
	}
	_, err = origin.Put(0, "s", "k3", ClassEndpoint, nil)
	refused("records", err, ErrLimit)
	for i := range 3 {
		origin.Remove(0, "s", fmt.Sprint("small", 3+i))
	}
	for i := range 50 { // tombstones never crowd out live records
		put(t, origin, "s", fmt.Sprint("fresh", i), ClassEndpoint, "x")
		origin.Remove(0, "s", fmt.Sprint("fresh", i))
	}
	_, err = NewSubscriber(make([]Selector, 4), Limits{Selectors: 3})
	refused("selectors", err, ErrLimit)
	if _, err = NewSubscriber([]Selector{{Scope: ""}}, Limits{}); err == nil {
		t.Error("NewSubscriber with an empty scope: got no error")
	}
	if _, err = NewSubscriber([]Selector{{Scope: long}}, Limits{}); err == nil {
		t.Error("NewSubscriber with a scope name over the limit: got no error")
	}
	var many []Selector
	for i := range MaxPrefixes + 1 {
		many = append(many, Selector{Scope: fmt.Sprint(i), Prefix: true})
	}
	_, err = NewSubscriber(many, Limits{})
	refused("prefixes", err, ErrLimit)

	wide, _ := NewSubscriber([]Selector{{Scope: "a"}, {Scope: "b"}, {Scope: "c"}, {Scope: "d"}}, Limits{})
	_, err = origin.Relay().Attach(0, wide.Hello(), 0)
	refused("selectors", err, ErrLimit)
	withPrefixes := hello{Protocol: protocolVersion}
	for _, s := range many {
		withPrefixes.Selectors = append(withPrefixes.Selectors, helloSelector{Scope: s.Scope, Flags: flagPrefix})
	}
	_, err = NewOrigin(1, Limits{}).Relay().Attach(0, encode(withPrefixes), 0)
	refused("prefixes", err, ErrLimit)
	_, err = origin.Relay().Attach(0, make([]byte, MaxHelloBytes+1), 0)
	refused("bytes", err, ErrBadHello)
	_, err = origin.Relay().Attach(0, encode(hello{Protocol: 7}), 0)
	refused("protocol", err, ErrBadHello)
	_, err = origin.Relay().Attach(0, encode(hello{Protocol: protocolVersion, Selectors: []helloSelector{{}}}), 0)
	refused("selector 0", err, ErrBadHello)
	_, err = origin.Relay().Attach(0, []byte("nonsense"), 0)
	refused("hello", err, ErrBadHello)
	expectEqual(t, "refused", origin.Relay().Stats().RefusedHellos, int64(5))
	s := newTestSubscriber(t, Selector{Scope: "s"})
	connection := connect(t, 0, origin.Relay(), s, 0)
	_, err = origin.Relay().Attach(0, s.Hello(), 0)
	refused("subscribers", err, ErrLimit)
	origin.Relay().Detach(connection.sessionID)
	connect(t, 0, origin.Relay(), s, 0)

	narrow := newTestRelay(t, Limits{}, Selector{Scope: "eu1/", Prefix: true}, Selector{Scope: "x"})
	for _, sel := range []Selector{
		{Scope: "us1/cart"},
		{Scope: "", Prefix: true},
		{Scope: "eu", Prefix: true},
		{Scope: "x", Prefix: true},
	} {
		_, err = narrow.Attach(0, newTestSubscriber(t, sel).Hello(), 0)
		refused(sel.Scope, err, ErrNotFollowed)
	}
	for _, sel := range []Selector{{Scope: "eu1/cart"}, {Scope: "x"}, {Scope: "eu1/c", Prefix: true}} {
		if _, err = narrow.Attach(0, newTestSubscriber(t, sel).Hello(), 0); err != nil {
			t.Error(sel, err)
		}
	}

	few, _ := NewSubscriber([]Selector{{Scope: "s"}}, Limits{Records: 3})
	few.Hello()
	_, err = few.Receive(0, make([]byte, MaxFrameBytes+1))
	refused("bytes", err, ErrBadFrame)
	_, err = few.Receive(0, encode(frame{Session: 1, Number: 1}))
	if err != nil || few.Stats().StaleFrames != 1 {
		t.Error("want frames of a session ignored after its error, got", err)
	}
	big := NewOrigin(1, Limits{})
	for i := range 10 {
		put(t, big, "s", fmt.Sprint("k", i), ClassEndpoint, "x")
	}
	h := few.Hello()
	id, _ := big.Relay().Attach(0, h, 0)
	f, _ := big.Relay().Next(0, id)
	changes, err := few.Receive(0, f)
	refused("records", err, ErrLimit)
	if len(changes) != 3 || few.Complete() {
		t.Error("want three changes before the limit and an incomplete subscriber, got", len(changes), few.Complete())
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	for description, f := range map[string]frame{
		"gap in frame numbers":       {Number: 2, Epoch: 1},
		"begin of unknown selector":  {Number: 1, Epoch: 1, Begin: []uint32{9}},
		"end without a begin":        {Number: 1, Epoch: 1, End: []uint32{0}, Through: 5},
		"end of unknown selector":    {Number: 1, Epoch: 1, End: []uint32{9}},
		"except of unknown selector": {Number: 1, Epoch: 1, All: true, Except: []uint32{9}},
	} {
		s := newTestSubscriber(t, Selector{Scope: "s"})
		s.Hello()
		f.Session = 1
		if _, err := s.Receive(0, encode(f)); err == nil {
			t.Error("no error for", description)
		}
		expectEqual(t, description+": complete", s.Complete(), false)
		s.Hello()
		f.Session, f.Number, f.Begin, f.End, f.Except = 1, 1, []uint32{0}, []uint32{0}, nil
		if _, err := s.Receive(0, encode(f)); err != nil || s.Complete() {
			t.Error("want a frame of an earlier session ignored, got an error or a complete subscriber:", err)
		}
	}
	s := newTestSubscriber(t, Selector{Scope: "s"})
	s.Hello()
	if _, err := s.Receive(100, encode(frame{
		Session: 1, Number: 1, Epoch: 1, Begin: []uint32{0}, End: []uint32{0},
		Age: -50,
	})); err != nil {
		t.Fatal(err)
	}
	if age, known := s.Age(100, "s"); age != 0 || !known {
		t.Fatal("want a negative age in a frame counted as 0, got", age, known)
	}
}

func TestReadyReturnsSubscribersWithDueFrames(t *testing.T) {
	origin := NewOrigin(1, Limits{})
	a, b := newTestSubscriber(t, Selector{Scope: "a"}), newTestSubscriber(t, Selector{Scope: "b"})
	connectionA, connectionB := connect(t, 0, origin.Relay(), a, 0), connect(t, 0, origin.Relay(), b, 0)
	connectionA.deliver(t, 0, a)
	connectionB.deliver(t, 0, b)
	origin.Relay().Ready()
	put(t, origin, "a", "k", ClassEndpoint, "x")
	put(t, origin, "a", "l", ClassEndpoint, "x")
	expectEqual(t, "ready", fmt.Sprint(origin.Relay().Ready()), fmt.Sprint([]int{connectionA.sessionID}))
	expectEqual(t, "ready again", len(origin.Relay().Ready()), 0)
	connectionA.deliver(t, 0, a)
	put(t, origin, "b", "k", ClassEndpoint, "x")
	origin.Relay().Detach(connectionB.sessionID)
	expectEqual(t, "ready subscribers after the only one detached", len(origin.Relay().Ready()), 0)
	f, at := origin.Relay().Next(0, connectionB.sessionID)
	if f != nil || at <= 0 {
		t.Fatal("Next of a detached subscriber: want no frame and a time in the future, got", f, at)
	}
	expectEqual(t, "scopes with records or subscribers", origin.Relay().Stats().Scopes, 2)
	origin.Relay().Detach(connectionA.sessionID)
	origin.Remove(0, "a", "k")
	expectEqual(t, "scopes", origin.Relay().Stats().Scopes, 2)
}
