package distribution

// Messages from outside, corrupted in any way, must cost an error or a counter, never more.

import (
	"fmt"
	"testing"
)

// conversation returns a hello, and the frames of a snapshot, of changes and of a heartbeat.
func sampleMessages(t testing.TB) (hello []byte, frames [][]byte) {
	o := NewOrigin(7, Limits{})
	s := newTestSubscriber(t, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true})
	for i := range 5 {
		put(t, o, "a/x", fmt.Sprint("endpoint/", i), Class(i%3), "body")
		put(t, o, fmt.Sprint("b/", i), "endpoint/a", ClassEndpoint, "body")
	}
	hello = s.Hello()
	id, err := o.Relay().Attach(0, hello, 8000)
	if err != nil {
		t.Fatal(err)
	}
	for now := int64(0); now < 5*second; now += second / 2 {
		if now == second {
			o.Remove(now, "a/x", "endpoint/1")
			put(t, o, "b/1", "endpoint/a", ClassWithdrawal, "body")
		}
		for {
			f, _ := o.Relay().Next(now, id)
			if f == nil {
				break
			}
			frames = append(frames, f)
		}
	}
	return hello, frames
}

func FuzzFrame(f *testing.F) {
	_, frames := sampleMessages(f)
	for _, b := range frames {
		f.Add(b)
	}
	f.Add([]byte{})
	f.Add([]byte{0xa0})
	f.Add(encode(map[int]any{
		1: 1, 2: 1, 3: 9, 4: []int{0, 1},
		5: []any{[]any{"a/x", []any{[]any{"k", 0x21, 5, nil}}}}, 6: []int{1}, 7: 9, 8: true, 9: []int{0}, 11: "later",
	}))
	f.Add(encode(map[int]any{1: 1, 2: 1, 3: 9, 5: []any{[]any{
		"a/x",
		[]any{[]any{"k", 1, 5, "text"}, 3, []any{"l", 1, 6, []byte("x")}},
	}, 7}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		relay := newTestRelay(t, Limits{Records: 64, Bytes: 64 << 10}, Selector{Scope: "a/x"},
			Selector{Scope: "b/", Prefix: true})
		leaf := newTestSubscriber(t, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true})
		down := newTestSubscriber(t, Selector{Scope: "a/x"})
		down.Hello()
		relay.UpstreamHello(0)
		leaf.Hello()
		id, err := relay.Attach(0, down.Hello(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for now := range int64(3) { // the same again is as old as a frame can be
			one, two := relay.receiveFrame(now, b), leaf.receiveFrame(now, b)
			if (one == nil) != (two == nil) {
				t.Fatalf("a relay says %v, a subscriber %v", one, two)
			}
		}
		if s := relay.Stats(); s.Records+s.Tombstones > 64 || s.Bytes > 64<<10+MaxNameBytes*4 {
			t.Fatalf("over the bounds: %+v", s)
		}
		sum := 0
		leaf.Each(func(r Record) {
			sum++
			foreign := r.Scope != "a/x" && r.Scope[:2] != "b/"
			if foreign || validateRecord(r.Scope, r.Key, r.Class, r.Body) != nil {
				t.Fatalf("holds %+v", r)
			}
		})
		if leaf.Stats().Records != sum {
			t.Fatalf("%d records, counted %d", sum, leaf.Stats().Records)
		}
		for now := range int64(4) {
			for {
				f, _ := relay.Next(now*second, id)
				if f == nil {
					break
				}
				if err := down.receiveFrame(now*second, f); err != nil {
					t.Fatalf("what a relay makes of it: %v", err)
				}
			}
		}
		if !relay.Complete() && down.Complete() {
			t.Fatal("complete by a relay that is not")
		}
	})
}

func FuzzHello(f *testing.F) {
	hello, _ := sampleMessages(f)
	f.Add(hello)
	f.Add([]byte{0xa0})
	f.Add(encode(helloAtPosition(Position{9, 3})))
	f.Fuzz(func(t *testing.T, b []byte) {
		o := NewOrigin(9, Limits{Selectors: 16})
		for i := range 20 {
			put(t, o, fmt.Sprint("b/", i), "endpoint/a", ClassEndpoint, "body")
		}
		id, err := o.Relay().Attach(0, b, 10000)
		if err != nil {
			if n := o.Relay().Stats(); n.Subscribers != 0 || n.RefusedHellos != 1 || n.Scopes != 20 {
				t.Fatalf("after a refusal: %+v", n)
			}
			return
		}
		put(t, o, "b/1", "endpoint/a", ClassWithdrawal, "body")
		for now := int64(0); now < 4*second; now += second / 4 {
			for n := 0; ; n++ {
				f, _ := o.Relay().Next(now, id)
				if f == nil {
					break
				}
				if _, err := decodeFrame(f, func(string) { t.Fatal("an invalid record") }); err != nil || n > 100 {
					t.Fatal(err, n)
				}
			}
		}
		o.Relay().Detach(id)
		if n := o.Relay().Stats(); n.Subscribers != 0 || n.Selectors != 0 || n.Scopes != 20 {
			t.Fatalf("after it has gone: %+v", n)
		}
	})
}

func helloAtPosition(at Position) hello {
	return hello{
		Protocol: protocolVersion, Session: 3, EpochSeen: at.Epoch, Epoch: at.Epoch, Through: at.Through,
		Selectors: []helloSelector{
			{Scope: "b/1", Flags: flagShared},
			{Scope: "b/1", Epoch: 8, Through: 1},
			{Scope: "b/1", Flags: flagPrefix | flagShared},
			{Scope: "b/none", Epoch: 11},
		},
	}
}
