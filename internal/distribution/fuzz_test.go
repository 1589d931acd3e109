package distribution

// Malformed messages from the network must cause no more than an error or a count.

import (
	"fmt"
	"testing"
)

// sampleMessages returns a hello and, for that hello, the frames of a snapshot, of changes and of heartbeats.
func sampleMessages(t testing.TB) (hello []byte, frames [][]byte) {
	origin := NewOrigin(7, Limits{})
	subscriber := newTestSubscriber(t, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true})
	for i := range 5 {
		put(t, origin, "a/x", fmt.Sprint("endpoint/", i), Class(i%3), "body")
		put(t, origin, fmt.Sprint("b/", i), "endpoint/a", ClassEndpoint, "body")
	}
	hello = subscriber.Hello()
	id, err := origin.Relay().Attach(0, hello, 8000)
	if err != nil {
		t.Fatal(err)
	}
	for now := int64(0); now < 5*second; now += second / 2 {
		if now == second {
			origin.Remove(now, "a/x", "endpoint/1")
			put(t, origin, "b/1", "endpoint/a", ClassWithdrawal, "body")
		}
		for {
			f, _ := origin.Relay().Next(now, id)
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
		subscriber := newTestSubscriber(t, Selector{Scope: "a/x"}, Selector{Scope: "b/", Prefix: true})
		downstream := newTestSubscriber(t, Selector{Scope: "a/x"})
		downstream.Hello()
		relay.UpstreamHello(0)
		subscriber.Hello()
		id, err := relay.Attach(0, downstream.Hello(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for now := range int64(3) { // the second and third time, the frame is a duplicate
			relayErr, subscriberErr := relay.receiveFrame(now, b), subscriber.receiveFrame(now, b)
			if (relayErr == nil) != (subscriberErr == nil) {
				t.Fatalf("got error %v from the relay and %v from the subscriber, want both or none", relayErr,
					subscriberErr)
			}
		}
		if s := relay.Stats(); s.Records+s.Tombstones > 64 || s.Bytes > 64<<10+MaxNameBytes*4 {
			t.Fatalf("relay exceeds 64 records or the limit of bytes: %+v", s)
		}
		sum := 0
		subscriber.Each(func(r Record) {
			sum++
			foreign := r.Scope != "a/x" && r.Scope[:2] != "b/"
			if foreign || validateRecord(r.Scope, r.Key, r.Class, r.Body) != nil {
				t.Fatalf("subscriber holds an invalid or foreign record: %+v", r)
			}
		})
		if subscriber.Stats().Records != sum {
			t.Fatalf("Stats counts %d records, want %d", sum, subscriber.Stats().Records)
		}
		for now := range int64(4) {
			for {
				f, _ := relay.Next(now*second, id)
				if f == nil {
					break
				}
				if err := downstream.receiveFrame(now*second, f); err != nil {
					t.Fatalf("subscriber rejects a frame of the relay: %v", err)
				}
			}
		}
		if !relay.Complete() && downstream.Complete() {
			t.Fatal("subscriber of an incomplete relay is complete")
		}
	})
}

func FuzzHello(f *testing.F) {
	hello, _ := sampleMessages(f)
	f.Add(hello)
	f.Add([]byte{0xa0})
	f.Add(encode(helloAtPosition(Position{9, 3})))
	f.Fuzz(func(t *testing.T, b []byte) {
		origin := NewOrigin(9, Limits{Selectors: 16})
		for i := range 20 {
			put(t, origin, fmt.Sprint("b/", i), "endpoint/a", ClassEndpoint, "body")
		}
		id, err := origin.Relay().Attach(0, b, 10000)
		if err != nil {
			if n := origin.Relay().Stats(); n.Subscribers != 0 || n.RefusedHellos != 1 || n.Scopes != 20 {
				t.Fatalf("after a rejected hello: got %+v, want no subscribers, one rejected hello and 20 scopes", n)
			}
			return
		}
		put(t, origin, "b/1", "endpoint/a", ClassWithdrawal, "body")
		for now := int64(0); now < 4*second; now += second / 4 {
			for n := 0; ; n++ {
				f, _ := origin.Relay().Next(now, id)
				if f == nil {
					break
				}
				if _, err := decodeFrame(f, func(string) { t.Fatal("relay sent an invalid record") }); err != nil ||
					n > 100 {
					t.Fatal(err, n)
				}
			}
		}
		origin.Relay().Detach(id)
		if n := origin.Relay().Stats(); n.Subscribers != 0 || n.Selectors != 0 || n.Scopes != 20 {
			t.Fatalf("after Detach: got %+v, want no subscribers, no selectors and 20 scopes", n)
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
