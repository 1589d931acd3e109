package distribution

// Helpers of the tests, and the cases that the package comment describes, one by one.

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

const second = int64(1e9)

// link is one session: a subscriber, or a relay as one, at a relay.
type testConnection struct {
	relay     *Relay
	sessionID int
}

type frameReceiver interface {
	receiveFrame(now int64, frame []byte) error
	newHello(now int64) []byte
}

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

type testRelay struct{ *Relay }

func (r testRelay) receiveFrame(now int64, frame []byte) error { return r.Receive(now, frame) }
func (r testRelay) newHello(now int64) []byte                  { return r.UpstreamHello(now) }

func connect(t testing.TB, now int64, from *Relay, to frameReceiver, pace int) testConnection {
	t.Helper()
	id, err := from.Attach(now, to.newHello(now), pace)
	if err != nil {
		t.Fatal(err)
	}
	return testConnection{from, id}
}

// drain delivers all frames that are due now.
func (l testConnection) deliver(t testing.TB, now int64, to frameReceiver) (frames [][]byte) {
	t.Helper()
	for range 100000 {
		f, _ := l.relay.Next(now, l.sessionID)
		if f == nil {
			return frames
		}
		if len(f) > MaxFrameBytes {
			t.Fatalf("a frame of %d bytes", len(f))
		}
		frames = append(frames, f)
		if err := to.receiveFrame(now, f); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("frames without an end")
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

func put(t testing.TB, o *Origin, scope, key string, class Class, body string) uint64 {
	t.Helper()
	v, err := o.Put(0, scope, key, class, []byte(body))
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

func expectEqual(t testing.TB, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got\n%v\nwant\n%v", what, got, want)
	}
}

func TestChangesReachSubscriberThroughTwoRelays(t *testing.T) {
	o := NewOrigin(1, Limits{})
	top := newTestRelay(t, Limits{}, Selector{Prefix: true})
	low := newTestRelay(t, Limits{}, Selector{Scope: "eu1/", Prefix: true})
	s := newTestSubscriber(t, Selector{Scope: "eu1/cart"}, Selector{Scope: "eu1/none"})
	put(t, o, "eu1/cart", "endpoint/a", ClassEndpoint, "A")
	put(t, o, "eu1/cart", "endpoint/b", ClassEndpoint, "B")
	put(t, o, "us1/cart", "endpoint/c", ClassEndpoint, "C")
	a, b, c := connect(t, 0, o.Relay(), top, 0), connect(t, 0, top.Relay, low, 0), connect(t, 0, low.Relay, s, 0)
	step := func(now int64) { a.deliver(t, now, top); b.deliver(t, now, low); c.deliver(t, now, s) }
	c.deliver(t, 0, s)
	expectEqual(t, "complete before its relay is", s.Complete(), false)
	step(0)
	expectEqual(t, "records", listRecords(s.Subscriber), "eu1/cart endpoint/a=A\neu1/cart endpoint/b=B\n")
	expectEqual(t, "complete", s.Complete(), true)
	expectEqual(t, "records at a relay", low.Stats().Records, 2)
	expectEqual(t, "foreign records sent to a relay", low.Stats().ForeignRecords, int64(0))
	v, _ := o.Remove(0, "eu1/cart", "endpoint/a")
	put(t, o, "eu1/none", "endpoint/d", ClassEndpoint, "D")
	step(second / 10)
	expectEqual(t, "records", listRecords(s.Subscriber), "eu1/cart endpoint/b=B\neu1/none endpoint/d=D\n")
	if age, known := s.Age(second/10, "eu1/cart"); !known || age != 0 {
		t.Fatal("age", age, known)
	}
	if p := s.Position("eu1/cart"); p.Through < v {
		t.Fatal("position", p)
	}
	if age, _ := s.Age(3*second, "eu1/cart"); age != 3*second-second/10 {
		t.Fatal("age", age)
	}
	step(4 * second)
	if age, _ := s.Age(4*second, "eu1/cart"); age != 0 {
		t.Fatal("age after a heartbeat", age)
	}
	// Cut off from the origin, the lowest relay goes on with heartbeats, and the age of what it holds grows.
	for now := 5 * second; now <= 9*second; now += second {
		b.deliver(t, now, low)
		c.deliver(t, now, s)
	}
	if age, _ := s.Age(9*second, "eu1/cart"); age != 5*second {
		t.Fatal("age through a relay that is cut off", age)
	}
}

func TestWithdrawalsAreSentFirst(t *testing.T) {
	o := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "eu1/cart"}, Selector{Scope: "eu1/", Prefix: true})
	for _, slow := range []bool{false, true} {
		l := connect(t, 0, o.Relay(), s, 0)
		l.deliver(t, 0, s)
		s.changes = nil
		put(t, o, "eu1/cart", "route/1", ClassConfiguration, fmt.Sprint("R", slow))
		put(t, o, "eu1/cart", "endpoint/a", ClassEndpoint, fmt.Sprint("A", slow))
		put(t, o, "eu1/new", "endpoint/b", ClassEndpoint, fmt.Sprint("B", slow))
		put(t, o, "eu1/cart", "endpoint/c", ClassWithdrawal, fmt.Sprint("C", slow))
		put(t, o, "eu1/new", "endpoint/d", ClassEndpoint, fmt.Sprint("D", slow))
		o.Remove(0, "eu1/new", "endpoint/d")
		if slow { // the same where frames have room for little
			l.relay.sessions[l.sessionID].bytesPerSecond = 1
			l.relay.sessions[l.sessionID].pacedUntilNs = -100000 * second
		}
		for range 20 {
			l.deliver(t, 0, s)
		}
		last := ClassWithdrawal
		for _, c := range s.changes {
			if c.Class < last {
				t.Fatalf("a change of class %d after one of %d: %+v", c.Class, last, s.changes)
			}
			last = c.Class
		}
		expectEqual(t, "changes", len(s.changes), 4)
		l.relay.Detach(l.sessionID)
	}
}

func TestClassChangesAreCoalesced(t *testing.T) {
	o := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "s"})
	l := connect(t, 0, o.Relay(), s, 0)
	l.deliver(t, 0, s)
	put(t, o, "s", "endpoint/a", ClassEndpoint, "up")
	put(t, o, "s", "endpoint/a", ClassWithdrawal, "up")
	l.deliver(t, 0, s)
	expectEqual(t, "changes for two changes unsent", len(s.changes), 1)
	put(t, o, "s", "endpoint/a", ClassEndpoint, "up")
	l.deliver(t, 0, s)
	expectEqual(t, "changes", len(s.changes), 2)
	expectEqual(t, "class", s.changes[1].Class, ClassEndpoint)
	expectEqual(t, "old", string(s.changes[1].OldBody), "up")
	expectEqual(t, "records at the relay", o.Relay().byClass.Len(), 1)
}

func TestUnchangedRecordIsNoChange(t *testing.T) {
	o := NewOrigin(1, Limits{})
	v := put(t, o, "s", "k", ClassEndpoint, "x")
	expectEqual(t, "version", put(t, o, "s", "k", ClassEndpoint, "x"), v)
	if n, err := o.Replace(0, "e", []Record{{
		Scope: "s", Key: "e/1", Class: ClassEndpoint,
		Body: []byte("1"),
	}}); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if n, err := o.Replace(0, "e", []Record{{
		Scope: "s", Key: "e/1", Class: ClassEndpoint,
		Body: []byte("1"),
	}}); n != 0 || err != nil {
		t.Fatal(n, err)
	}
	if n, err := o.Replace(0, "e", []Record{{Scope: "s", Key: "f/1"}, {Scope: "s", Key: "e/2", Class: 9}}); n != 1 ||
		err == nil {
		t.Fatal("one removed, two invalid", n, err)
	}
	expectEqual(t, "what is of another kind stays", o.Relay().Stats().Records, 1)
	// A new epoch with the same bodies is no change at a subscriber.
	s := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	s.changes = nil
	o = NewOrigin(2, Limits{})
	put(t, o, "s", "k", ClassEndpoint, "x")
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	expectEqual(t, "changes", len(s.changes), 0)
	expectEqual(t, "position", s.Position("s"), Position{2, 1})
}

func TestResumeSendsOnlyChanges(t *testing.T) {
	o := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "empty"})
	for i := range 100 {
		put(t, o, "s", fmt.Sprint("k", i), ClassEndpoint, "x")
	}
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	sent := o.Relay().Stats().SentRecords
	l := connect(t, 0, o.Relay(), s, 0)
	expectEqual(t, "frames of a resumption", len(l.deliver(t, 0, s)), 1)
	expectEqual(t, "records of a resumption", o.Relay().Stats().SentRecords-sent, int64(0))
	expectEqual(t, "resumed", o.Relay().Stats().Resumed, int64(2))
	put(t, o, "s", "k7", ClassEndpoint, "y")
	l = connect(t, 0, o.Relay(), s, 0)
	l.deliver(t, 0, s)
	expectEqual(t, "records of a resumption after one change", o.Relay().Stats().SentRecords-sent, int64(1))
}

// A relay that started empty names the records that a subscriber of the same epoch holds, without their bodies.
func TestSnapshotOmitsBodiesOfHeldRecords(t *testing.T) {
	o := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "s"})
	for i := range 100 {
		put(t, o, "s", fmt.Sprint("k", i), ClassEndpoint, fmt.Sprintf("%0200d", i))
	}
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	o.Remove(0, "s", "k7")
	put(t, o, "s", "k8", ClassEndpoint, "new")
	r := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, o.Relay(), r, 0).deliver(t, 0, r)
	s.changes = nil
	bytes := 0
	for _, f := range connect(t, 0, r.Relay, s, 0).deliver(t, 0, s) {
		bytes += len(f)
	}
	expectEqual(t, "changes", len(s.changes), 2)
	expectEqual(t, "names", r.Stats().SentKeysOnly, int64(98))
	if bytes > 98*12+300 {
		t.Fatalf("%d bytes for 98 names and two changes", bytes)
	}
}

func TestKeyOnlyRecordNotHeldIsRejected(t *testing.T) {
	o := NewOrigin(1, Limits{})
	put(t, o, "s", "k", ClassEndpoint, "x")
	s := newTestSubscriber(t, Selector{Scope: "s"})
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	s.replica.remove(s.replica.find("s", "k")) // as if it had been lost
	r := newTestRelay(t, Limits{}, Selector{Prefix: true})
	put(t, o, "s", "l", ClassEndpoint, "x")
	connect(t, 0, o.Relay(), r, 0).deliver(t, 0, r)
	l := connect(t, 0, r.Relay, s, 0)
	f, _ := r.Next(0, l.sessionID)
	if _, err := s.Receive(0, f); !errors.Is(err, ErrMissingRecord) {
		t.Fatal(err)
	}
	if c, err := s.Receive(0, f); c != nil || err != nil {
		t.Fatal("a session after its error", c, err)
	}
	connect(t, 0, r.Relay, s, 0).deliver(t, 0, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "s k=x\ns l=x\n")
}

// An origin without its list claims nothing, and deletes nothing.
func TestOriginWithoutListDeletesNothing(t *testing.T) {
	o := NewOrigin(1, Limits{})
	put(t, o, "s", "endpoint/a", ClassEndpoint, "A")
	put(t, o, "s", "endpoint/b", ClassEndpoint, "B")
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "empty"})
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	o = NewOrigin(2, Limits{})
	o.Await("endpoint", "route")
	l := connect(t, 0, o.Relay(), s, 0)
	put(t, o, "s", "endpoint/b", ClassEndpoint, "B2")
	for now := range int64(5) {
		l.deliver(t, now*second, s)
	}
	expectEqual(t, "records", listRecords(s.Subscriber), "s endpoint/a=A\ns endpoint/b=B2\n")
	expectEqual(t, "position", s.Position("s").Epoch, uint64(1))
	if age, _ := s.Age(4*second, "s"); age != 4*second {
		t.Fatal("age", age)
	}
	if _, err := o.Replace(0, "route", nil); err != nil {
		t.Fatal(err)
	}
	l.deliver(t, 5*second, s)
	expectEqual(t, "position with one list of two", s.Position("s").Epoch, uint64(1))
	if _, err := o.Replace(0, "endpoint", []Record{{
		Scope: "s", Key: "endpoint/b", Class: ClassEndpoint,
		Body: []byte("B2"),
	}}); err != nil {
		t.Fatal(err)
	}
	l.deliver(t, 5*second, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "s endpoint/b=B2\n")
	expectEqual(t, "position", s.Position("empty").Epoch, uint64(2))
	expectEqual(t, "records sent, once each", o.Relay().Stats().SentRecords, int64(1))
}

// A subscriber gets nothing from a relay of an older epoch than it has seen, until the relay has reached that.
func TestRelayOfOlderEpochSendsNothing(t *testing.T) {
	old := NewOrigin(1, Limits{})
	put(t, old, "s", "endpoint/a", ClassEndpoint, "A")
	behind := newTestRelay(t, Limits{}, Selector{Prefix: true})
	connect(t, 0, old.Relay(), behind, 0).deliver(t, 0, behind)
	o := NewOrigin(2, Limits{})
	put(t, o, "s", "endpoint/b", ClassEndpoint, "B")
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"})
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	l := connect(t, 0, behind.Relay, s, 0)
	if f := l.deliver(t, 0, s); len(f) != 1 {
		t.Fatal("frames", len(f))
	}
	expectEqual(t, "records that a relay of an old epoch sent", behind.Stats().SentRecords, int64(0))
	l.deliver(t, second, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "s endpoint/b=B\n")
	if age, _ := s.Age(second, "s"); age != second {
		t.Fatal("age", age)
	}
	connect(t, second, o.Relay(), behind, 0).deliver(t, second, behind)
	l.deliver(t, second, s)
	if age, _ := s.Age(second, "s"); age != 0 {
		t.Fatal("age", age)
	}
}

// A slow subscriber costs a relay its cursors alone: changes of a record that are not sent yet are one.
func TestSlowSubscriberMemoryIsBounded(t *testing.T) {
	o := NewOrigin(1, Limits{Tombstones: 10})
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "quiet"})
	put(t, o, "quiet", "k", ClassEndpoint, "x")
	put(t, o, "s", "stays", ClassEndpoint, "x")
	l := connect(t, 0, o.Relay(), s, 0)
	l.deliver(t, 0, s)
	for i := range 5000 {
		put(t, o, "s", fmt.Sprint("k", i), ClassEndpoint, "x")
		l.deliver(t, 0, s)
		if i < 4000 {
			o.Remove(0, "s", fmt.Sprint("k", i))
		}
		if i == 10 {
			break
		}
	}
	for i := range 5000 { // from here on it takes nothing
		o.Remove(0, "s", fmt.Sprint("k", i))
		put(t, o, "s", fmt.Sprint("l", i), ClassEndpoint, "x")
		o.Remove(0, "s", fmt.Sprint("l", i))
		put(t, o, "s", "stays", ClassEndpoint, fmt.Sprint(i))
	}
	st := o.Relay().Stats()
	expectEqual(t, "tombstones", st.Tombstones, 10)
	if n := len(o.relay.tombstones); n > 2*10+65 {
		t.Fatal("places of tombstones kept:", n)
	}
	for q := range queueCount {
		if n := len(o.relay.sessions[l.sessionID].queues[q].list); n > 40 {
			t.Fatal("a queue for two selectors has", n)
		}
	}
	s.changes = nil
	l.deliver(t, second, s)
	expectEqual(t, "records", listRecords(s.Subscriber), "quiet k=x\ns stays=4999\n")
	expectEqual(t, "records sent in the end", o.Relay().Stats().SentRecords-st.SentRecords, int64(1))
}

func TestPaceAndHeartbeats(t *testing.T) {
	const pace = 20000
	o := NewOrigin(1, Limits{})
	for i := range 2000 {
		put(t, o, "s", fmt.Sprint("k", i), ClassEndpoint, fmt.Sprintf("%0200d", i))
	}
	s := newTestSubscriber(t, Selector{Scope: "s"})
	l := connect(t, 0, o.Relay(), s, pace)
	sum, last, longest := 0, int64(0), int64(0)
	var now int64
	for now = 0; now < 60*second && !s.Complete(); {
		f, at := o.Relay().Next(now, l.sessionID)
		if f == nil {
			if at <= now {
				t.Fatal("to be asked again at", at, "at", now)
			}
			now = at
			continue
		}
		sum += len(f)
		longest = max(longest, now-last)
		last = now
		if len(f) > pace/4 {
			t.Fatalf("a frame of %d bytes at %d a second", len(f), pace)
		}
		if most := pace*(now+BurstNs)/second + pace/4; int64(sum) > most {
			t.Fatalf("%d bytes after %d ns, at most %d", sum, now, most)
		}
		if _, err := s.Receive(now, f); err != nil {
			t.Fatal(err)
		}
	}
	if least := int64(sum-pace/2) * second / pace; !s.Complete() || now < least || now > least+3*second/2 {
		t.Fatalf("complete %v after %d ns with %d bytes", s.Complete(), now, sum)
	}
	if longest > second {
		t.Fatal("silence", longest)
	}
	// Behind its pace by one large body, a session goes on with small heartbeats.
	put(t, o, "s", "great", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	l.relay.sessions[l.sessionID].bytesPerSecond, l.relay.sessions[l.sessionID].pacedUntilNs = 1000, now
	expectEqual(t, "frames of a great body", len(l.deliver(t, now, s)), 1)
	put(t, o, "s", "k1", ClassEndpoint, "later")
	for i := int64(1); i <= 5; i++ {
		f := l.deliver(t, now+i*second, s)
		if len(f) != 1 || len(f[0]) > 64 {
			t.Fatalf("%d frames in the debt's second %d", len(f), i)
		}
	}
	l.deliver(t, now+30*second, s)
	expectEqual(t, "records", s.Stats().Records, 2001)
}

// While one scope's backlog is sent, the others' ages stay known.
func TestAgesOfOtherScopesDuringBacklog(t *testing.T) {
	o := NewOrigin(1, Limits{})
	put(t, o, "quiet", "k", ClassEndpoint, "x")
	s := newTestSubscriber(t, Selector{Scope: "busy"}, Selector{Scope: "quiet"})
	l := connect(t, 0, o.Relay(), s, 4000)
	l.deliver(t, 0, s)
	for i := range 500 {
		put(t, o, "busy", fmt.Sprint("k", i), ClassConfiguration, fmt.Sprintf("%0200d", i))
	}
	var now int64
	for range 10 {
		now += second + 1
		l.deliver(t, now, s)
	}
	if age, _ := s.Age(now, "quiet"); age > 2*second {
		t.Fatal("age of the quiet scope", age)
	}
	if age, _ := s.Age(now, "busy"); age < 8*second {
		t.Fatal("age of the busy scope", age)
	}
	at := s.Position("quiet")
	if busy := s.Position("busy"); busy.compare(at) >= 0 {
		t.Fatal("positions", busy, at)
	}
	l = connect(t, now, o.Relay(), s, 0)
	l.deliver(t, now, s)
	expectEqual(t, "records", s.Stats().Records, 501)
	if age, _ := s.Age(now, "busy"); age != 0 {
		t.Fatal("age of the busy scope", age)
	}
}

func TestInvalidRecordsDeleteNothing(t *testing.T) {
	o := NewOrigin(1, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "s"}, Selector{Scope: "t"})
	for _, k := range []string{"a", "b", "c"} {
		put(t, o, "s", k, ClassEndpoint, "x")
	}
	put(t, o, "t", "a", ClassEndpoint, "x")
	connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s)
	s.Hello()
	raw := func(v any) cbor.RawMessage { return encode(v) }
	// A snapshot with a record of an unknown class, one that is no record, and one more.
	f := encode(map[int]any{1: s.replica.session, 2: 1, 3: 2, 4: []int{0, 1}, 5: []any{
		[]any{"s", []any{[]any{"a", 3, 7, []byte("x")}, "nonsense", raw([]any{"d", 1, 8, []byte("y")})}},
		[]any{"foreign", []any{[]any{"a", 1, 9, []byte("x")}}},
	}, 6: []int{0, 1}, 7: 9})
	if _, err := s.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	// The invalid ones may have named any record of their scope: these stay. The other scope is empty.
	expectEqual(t, "records", listRecords(s.Subscriber), "s a=x\ns b=x\ns c=x\ns d=y\n")
	st := s.Stats()
	expectEqual(t, "invalid", st.InvalidRecords, int64(2))
	expectEqual(t, "foreign", st.ForeignRecords, int64(1))
	if !strings.Contains(st.LastInvalid, `"s"`) {
		t.Fatal("named:", st.LastInvalid)
	}
	// A group that can't be decoded may have named anything.
	s.Hello()
	f = encode(map[int]any{
		1: s.replica.session, 2: 1, 3: 2, 4: []int{0, 1}, 5: []any{"nonsense"}, 6: []int{0, 1},
		7: 10,
	})
	if _, err := s.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "records", s.Stats().Records, 4)
	// A later snapshot without invalid records counts in full.
	s.Hello()
	f = encode(map[int]any{
		1: s.replica.session, 2: 1, 3: 2, 4: []int{0, 1},
		5: []any{[]any{"s", []any{[]any{"d", 0x21, 8, nil}}}}, 6: []int{0, 1}, 7: 10,
	})
	if _, err := s.Receive(0, f); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "records", listRecords(s.Subscriber), "s d=y\n")
}

func TestLimitErrorsNameTheLimit(t *testing.T) {
	refused := func(what string, err error, is error) {
		t.Helper()
		if !errors.Is(err, is) || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
	long := strings.Repeat("n", MaxNameBytes+1)
	o := NewOrigin(1, Limits{Records: 8, Bytes: 40000, Subscribers: 1, Selectors: 3})
	_, err := o.Put(0, "s", "k", ClassEndpoint, make([]byte, MaxBodyBytes+1))
	refused("bytes of a body", err, ErrLimit)
	for _, n := range [][2]string{{"", "k"}, {long, "k"}, {"s", ""}, {"s", long}} {
		if _, err := o.Put(0, n[0], n[1], ClassEndpoint, nil); err == nil {
			t.Error("no error for", n)
		}
	}
	if _, err := o.Put(0, "s", "k", classCount, nil); err == nil {
		t.Error("no error for a class that there is not")
	}
	put(t, o, "s", "k1", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	put(t, o, "s", "k2", ClassEndpoint, string(make([]byte, MaxBodyBytes)))
	version := o.version
	_, err = o.Put(0, "s", "k3", ClassEndpoint, make([]byte, MaxBodyBytes))
	refused("bytes of records", err, ErrLimit)
	expectEqual(t, "version after a refusal", o.version, version)
	for i := range 6 {
		put(t, o, "s", fmt.Sprint("small", i), ClassEndpoint, "x")
	}
	_, err = o.Put(0, "s", "k3", ClassEndpoint, nil)
	refused("records", err, ErrLimit)
	for i := range 3 {
		o.Remove(0, "s", fmt.Sprint("small", 3+i))
	}
	for i := range 50 { // tombstones never take the room of what is there
		put(t, o, "s", fmt.Sprint("fresh", i), ClassEndpoint, "x")
		o.Remove(0, "s", fmt.Sprint("fresh", i))
	}
	_, err = NewSubscriber(make([]Selector, 4), Limits{Selectors: 3})
	refused("selectors", err, ErrLimit)
	if _, err = NewSubscriber([]Selector{{Scope: ""}}, Limits{}); err == nil {
		t.Error("no error for no name")
	}
	if _, err = NewSubscriber([]Selector{{Scope: long}}, Limits{}); err == nil {
		t.Error("no error for a long name")
	}
	var many []Selector
	for i := range MaxPrefixes + 1 {
		many = append(many, Selector{Scope: fmt.Sprint(i), Prefix: true})
	}
	_, err = NewSubscriber(many, Limits{})
	refused("prefixes", err, ErrLimit)

	wide, _ := NewSubscriber([]Selector{{Scope: "a"}, {Scope: "b"}, {Scope: "c"}, {Scope: "d"}}, Limits{})
	_, err = o.Relay().Attach(0, wide.Hello(), 0)
	refused("selectors", err, ErrLimit)
	pre := hello{Protocol: protocolVersion}
	for _, s := range many {
		pre.Selectors = append(pre.Selectors, helloSelector{Scope: s.Scope, Flags: flagPrefix})
	}
	_, err = NewOrigin(1, Limits{}).Relay().Attach(0, encode(pre), 0)
	refused("prefixes", err, ErrLimit)
	_, err = o.Relay().Attach(0, make([]byte, MaxHelloBytes+1), 0)
	refused("bytes", err, ErrBadHello)
	_, err = o.Relay().Attach(0, encode(hello{Protocol: 7}), 0)
	refused("protocol", err, ErrBadHello)
	_, err = o.Relay().Attach(0, encode(hello{Protocol: protocolVersion, Selectors: []helloSelector{{}}}), 0)
	refused("selector 0", err, ErrBadHello)
	_, err = o.Relay().Attach(0, []byte("nonsense"), 0)
	refused("hello", err, ErrBadHello)
	expectEqual(t, "refused", o.Relay().Stats().RefusedHellos, int64(5))
	s := newTestSubscriber(t, Selector{Scope: "s"})
	l := connect(t, 0, o.Relay(), s, 0)
	_, err = o.Relay().Attach(0, s.Hello(), 0)
	refused("subscribers", err, ErrLimit)
	o.Relay().Detach(l.sessionID)
	connect(t, 0, o.Relay(), s, 0)

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
		t.Error("a session after its error", err)
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
		t.Error("changes before the bound", len(changes), few.Complete())
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	for what, f := range map[string]frame{
		"a number missed":     {Number: 2, Epoch: 1},
		"begin of none":       {Number: 1, Epoch: 1, Begin: []uint32{9}},
		"end without a begin": {Number: 1, Epoch: 1, End: []uint32{0}, Through: 5},
		"end of none":         {Number: 1, Epoch: 1, End: []uint32{9}},
		"all but none":        {Number: 1, Epoch: 1, All: true, Except: []uint32{9}},
	} {
		s := newTestSubscriber(t, Selector{Scope: "s"})
		s.Hello()
		f.Session = 1
		if _, err := s.Receive(0, encode(f)); err == nil {
			t.Error("no error for", what)
		}
		expectEqual(t, what+": complete", s.Complete(), false)
		s.Hello()
		f.Session, f.Number, f.Begin, f.End, f.Except = 1, 1, []uint32{0}, []uint32{0}, nil
		if _, err := s.Receive(0, encode(f)); err != nil || s.Complete() {
			t.Error("a frame of a session that is over counts", err)
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
		t.Fatal("an age from the future", age, known)
	}
}

func TestReadyReturnsSubscribersWithDueFrames(t *testing.T) {
	o := NewOrigin(1, Limits{})
	a, b := newTestSubscriber(t, Selector{Scope: "a"}), newTestSubscriber(t, Selector{Scope: "b"})
	la, lb := connect(t, 0, o.Relay(), a, 0), connect(t, 0, o.Relay(), b, 0)
	la.deliver(t, 0, a)
	lb.deliver(t, 0, b)
	o.Relay().Ready()
	put(t, o, "a", "k", ClassEndpoint, "x")
	put(t, o, "a", "l", ClassEndpoint, "x")
	expectEqual(t, "ready", fmt.Sprint(o.Relay().Ready()), fmt.Sprint([]int{la.sessionID}))
	expectEqual(t, "ready again", len(o.Relay().Ready()), 0)
	la.deliver(t, 0, a)
	put(t, o, "b", "k", ClassEndpoint, "x")
	o.Relay().Detach(lb.sessionID)
	expectEqual(t, "ready without who has gone", len(o.Relay().Ready()), 0)
	f, at := o.Relay().Next(0, lb.sessionID)
	if f != nil || at <= 0 {
		t.Fatal("who has gone", f, at)
	}
	expectEqual(t, "scopes nobody holds or waits for", o.Relay().Stats().Scopes, 2)
	o.Relay().Detach(la.sessionID)
	o.Remove(0, "a", "k")
	expectEqual(t, "scopes", o.Relay().Stats().Scopes, 2)
}
