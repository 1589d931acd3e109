package distribution

// Helpers of the tests, and the plain cases: one by one, what a reader of the package's head expects.

import (
	"bytes"
	"fmt"
	"testing"
)

const second = int64(1e9)

// link is one session: a subscriber, or a relay as one, at a relay.
type link struct {
	from *Relay
	id   int
}

type taker interface {
	take(now int64, frame []byte) error
	hello(now int64) []byte
}

type leaf struct {
	*Subscriber
	changes []Change
}

func (l *leaf) take(now int64, frame []byte) error {
	c, err := l.Take(now, frame)
	l.changes = append(l.changes, c...)
	return err
}
func (l *leaf) hello(int64) []byte { return l.Hello() }

type inner struct{ *Relay }

func (r inner) take(now int64, frame []byte) error { return r.Take(now, frame) }
func (r inner) hello(now int64) []byte             { return r.Upstream(now) }

func attach(t testing.TB, now int64, from *Relay, to taker, pace int) link {
	t.Helper()
	id, err := from.Attach(now, to.hello(now), pace)
	if err != nil {
		t.Fatal(err)
	}
	return link{from, id}
}

// drain hands over all frames that may go out now.
func (l link) drain(t testing.TB, now int64, to taker) (frames [][]byte) {
	t.Helper()
	for range 100000 {
		f, _ := l.from.Next(now, l.id)
		if f == nil {
			return frames
		}
		if len(f) > MaxFrame {
			t.Fatalf("a frame of %d bytes", len(f))
		}
		frames = append(frames, f)
		if err := to.take(now, f); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("frames without an end")
	return nil
}

func newLeaf(t testing.TB, selectors ...Selector) *leaf {
	t.Helper()
	s, err := NewSubscriber(selectors, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return &leaf{Subscriber: s}
}

func newInner(t testing.TB, l Limits, selectors ...Selector) inner {
	t.Helper()
	r := NewRelay(l)
	if err := r.Follow(selectors); err != nil {
		t.Fatal(err)
	}
	return inner{r}
}

func put(t testing.TB, o *Origin, scope, key string, class Class, body string) uint64 {
	t.Helper()
	v, err := o.Put(0, scope, key, class, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func list(s *Subscriber) string {
	var b bytes.Buffer
	s.Each(func(r Record) { fmt.Fprintf(&b, "%s %s=%s\n", r.Scope, r.Key, r.Body) })
	return b.String()
}

func expect(t testing.TB, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got\n%v\nwant\n%v", what, got, want)
	}
}

func TestThroughTwoRelays(t *testing.T) {
	o := NewOrigin(1, Limits{})
	top := newInner(t, Limits{}, Selector{Prefix: true})
	low := newInner(t, Limits{}, Selector{Scope: "eu1/", Prefix: true})
	s := newLeaf(t, Selector{Scope: "eu1/cart"}, Selector{Scope: "eu1/none"})
	put(t, o, "eu1/cart", "endpoint/a", Endpoint, "A")
	put(t, o, "eu1/cart", "endpoint/b", Endpoint, "B")
	put(t, o, "us1/cart", "endpoint/c", Endpoint, "C")
	a, b, c := attach(t, 0, o.Relay(), top, 0), attach(t, 0, top.Relay, low, 0), attach(t, 0, low.Relay, s, 0)
	step := func(now int64) { a.drain(t, now, top); b.drain(t, now, low); c.drain(t, now, s) }
	c.drain(t, 0, s)
	expect(t, "complete before its relay is", s.Complete(), false)
	step(0)
	expect(t, "records", list(s.Subscriber), "eu1/cart endpoint/a=A\neu1/cart endpoint/b=B\n")
	expect(t, "complete", s.Complete(), true)
	expect(t, "foreign records at a relay", low.Stats().Records, 2)
	v, _ := o.Remove(0, "eu1/cart", "endpoint/a")
	put(t, o, "eu1/none", "endpoint/d", Endpoint, "D")
	step(second / 10)
	expect(t, "records", list(s.Subscriber), "eu1/cart endpoint/b=B\neu1/none endpoint/d=D\n")
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
	// Cut off from the origin the lowest relay's heartbeats go on, and what it holds grows old.
	for now := 5 * second; now <= 9*second; now += second {
		b.drain(t, now, low)
		c.drain(t, now, s)
	}
	if age, _ := s.Age(9*second, "eu1/cart"); age != 5*second {
		t.Fatal("age through a relay that is cut off", age)
	}
}
