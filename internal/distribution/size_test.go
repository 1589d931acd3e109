package distribution

// This file checks costs: bytes on the wire, memory per record and selector, time per change. Benchmarks report
// figures; tests check bounds that hold at any size.

import (
	"fmt"
	"runtime"
	"testing"
)

// endpointBody returns an endpoint in the format of the list of discovery.
func endpointBody(i int) []byte {
	return fmt.Appendf(nil, `{"host":"h%06d","dial":"10.%d.%d.%d:8080","site":"eu1-a","block":%d,"health":"ok","share":1,"born_ms":%d}`,
		i, i>>16, i>>8&255, i&255, i/40, 1700000000000+i*1000)
}

func TestMessageSizes(t *testing.T) {
	origin := NewOrigin(1764000000e9, Limits{})
	contentBytes, scopeBytes := 0, 0
	var selectors []Selector
	for i := range 1200 {
		scope, key, body := fmt.Sprintf("eu1/service-%04d", i/3), fmt.Sprintf("endpoint/h%06d", i), endpointBody(i)
		if i%3 == 0 {
			selectors = append(selectors, Selector{Scope: scope})
			scopeBytes += len(scope)
		}
		contentBytes += len(key) + len(body)
		put(t, origin, scope, key, ClassEndpoint, string(body))
	}
	subscriber := newTestSubscriber(t, selectors...)
	snapshotBytes, frames := 0, 0
	for _, frame := range connect(t, 0, origin.Relay(), subscriber, 0).deliver(t, 0, subscriber) {
		snapshotBytes += len(frame)
		frames++
	}
	helloBytes := len(subscriber.Hello())
	t.Logf("1,200 endpoints in 400 scopes: %d frames, %d bytes, %.1f per record, of which %.1f are key and body; hello %d bytes, %.1f per selector",
		frames, snapshotBytes, float64(snapshotBytes)/1200, float64(contentBytes)/1200, helloBytes,
		float64(helloBytes)/400)
	if maxBytes := contentBytes + scopeBytes + 1200*16 + 400*16 + 200; snapshotBytes > maxBytes {
		t.Errorf("snapshot: got %d bytes for %d bytes of keys, bodies and names, want at most %d", snapshotBytes,
			contentBytes+scopeBytes, maxBytes)
	}
	if helloBytes > scopeBytes+400*8+64 {
		t.Errorf("hello: got %d bytes for %d bytes of names, want at most 8 bytes more per selector and 64",
			helloBytes, scopeBytes)
	}
	connection := connect(t, 0, origin.Relay(), subscriber, 0)
	connection.deliver(t, 0, subscriber)
	put(t, origin, "eu1/service-0000", "endpoint/h000000", ClassWithdrawal, string(endpointBody(0)))
	change := connection.deliver(t, 0, subscriber)
	heartbeat := connection.deliver(t, 2*second, subscriber)
	t.Logf("change: %d bytes, of which %d are content; heartbeat: %d bytes", len(change[0]), 16+16+len(endpointBody(0)),
		len(heartbeat[0]))
	if len(change[0]) > 32+len(endpointBody(0))+48 || len(heartbeat[0]) > 32 {
		t.Error("the frame of a change or of a heartbeat exceeds its bound")
	}
}

// newRegion returns an origin with records and subscribers, each of which selects some of the scopes.
func newRegion(t testing.TB, recordCount, scopeCount, subscriberCount, scopesPerSubscriber int) (*Origin,
	[]testConnection, []*testSubscriber,
) {
	origin := NewOrigin(1, Limits{})
	for i := range recordCount {
		put(t, origin, fmt.Sprintf("eu1/service-%05d", i%scopeCount), fmt.Sprintf("endpoint/h%06d", i), ClassEndpoint,
			string(endpointBody(i)))
	}
	connections, subscribers := make([]testConnection, subscriberCount), make([]*testSubscriber, subscriberCount)
	for i := range subscriberCount {
		var selectors []Selector
		for k := range scopesPerSubscriber {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d",
				(i*37+k*(scopeCount/scopesPerSubscriber))%scopeCount)})
		}
		subscribers[i] = newTestSubscriber(t, selectors...)
		connections[i] = connect(t, 0, origin.Relay(), subscribers[i], 0)
	}
	return origin, connections, subscribers
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A change makes only the subscribers of its scope ready.
func TestChangeIsSentOnlyToSubscribersOfItsScope(t *testing.T) {
	origin, connections, subscribers := newRegion(t, 4000, 1000, 50, 20)
	for i, connection := range connections {
		connection.deliver(t, 0, subscribers[i])
	}
	origin.Relay().Ready()
	before := origin.Relay().Stats()
	put(t, origin, "eu1/service-00037", "endpoint/new", ClassEndpoint, "x")
	want := 0
	for _, s := range subscribers {
		if s.replica.covers("eu1/service-00037") {
			want++
		}
	}
	ready := origin.Relay().Ready()
	if len(ready) != want || want == 0 || want == 50 {
		t.Fatalf("got %d ready subscribers, want the %d of the scope, and neither none nor all", len(ready), want)
	}
	for _, id := range ready {
		s := origin.Relay().sessions[id]
		expectEqual(t, "queued", s.queues[ClassEndpoint].len(), 1)
		origin.Relay().Next(0, id)
		if f, _ := origin.Relay().Next(0, id); f != nil {
			t.Fatal("a second frame for one change")
		}
	}
	after := origin.Relay().Stats()
	expectEqual(t, "records sent", after.SentRecords-before.SentRecords, int64(want))
	expectEqual(t, "frames sent", after.Sent-before.Sent, int64(want))
}

func BenchmarkRelayMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		origin, _, _ := newRegion(b, 120000, 50000, 0, 1)
		withRecords := heapBytes()
		bodies := origin.relay.replica.bytes
		b.ReportMetric(float64(withRecords-before-int64(bodies))/120000, "B/record")
		b.ReportMetric(float64(bodies)/120000, "content-B/record")
		var selectors []Selector
		for k := range 500 {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d", k*100)})
		}
		hello := newTestSubscriber(b, selectors...).Hello()
		before = heapBytes()
		for range 530 {
			if _, err := origin.Relay().Attach(0, hello, 20000); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/530/500, "B/selector")
		runtime.KeepAlive(origin)
	}
}

func BenchmarkSubscriberMemory(b *testing.B) {
	text := map[string]string{}
	body := map[string][]byte{}
	share := Interner{func(s string) string {
		if v, ok := text[s]; ok {
			return v
		}
		text[s] = s
		return s
	}, func(p []byte) []byte {
		if v, ok := body[string(p)]; ok {
			return v
		}
		body[string(p)] = p
		return p
	}}
	for range b.N {
		origin, _, _ := newRegion(b, 12000, 5000, 0, 1)
		var selectors []Selector
		for k := range 500 {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d", k*10)})
		}
		var subscribers []*Subscriber
		var before int64
		for i := range 101 {
			s := newTestSubscriber(b, selectors...)
			s.SetInterner(share)
			subscribers = append(subscribers, s.Subscriber)
			connection := connect(b, 0, origin.Relay(), s, 0)
			connection.deliver(b, 0, s)
			origin.Relay().Detach(connection.sessionID)
			s.changes = nil
			if i == 0 {
				before = heapBytes() // the first subscriber allocates what all share
			}
		}
		records := subscribers[0].Stats().Records
		b.ReportMetric(float64(heapBytes()-before)/100/float64(records), "B/record")
		b.ReportMetric(float64(records), "records")
		runtime.KeepAlive(subscribers)
		runtime.KeepAlive(origin)
	}
}

// BenchmarkChange measures a change at a relay with 530 subscribers of 500 scopes each: applying it, and sending it to
// all subscribers of its scope.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{1200, 12000, 120000} {
		b.Run(fmt.Sprint("records-", size), func(b *testing.B) {
			origin, connections, _ := newRegion(b, size, size*5/12, 530, 500)
			for _, connection := range connections {
				for f, _ := connection.relay.Next(0, connection.sessionID); f != nil; f,
					_ = connection.relay.Next(0, connection.sessionID) {
				}
			}
			origin.Relay().Ready()
			sent := origin.Relay().Stats().Sent
			b.ResetTimer()
			for i := range b.N {
				k := i * 7919 % size
				put(b, origin, fmt.Sprintf("eu1/service-%05d", k%(size*5/12)), fmt.Sprintf("endpoint/h%06d", k),
					ClassEndpoint, fmt.Sprint("changed", i))
				for _, id := range origin.Relay().Ready() {
					origin.Relay().Next(0, id)
				}
			}
			b.ReportMetric(float64(origin.Relay().Stats().Sent-sent)/float64(b.N), "frames/op")
		})
	}
}

// BenchmarkHeartbeat measures a heartbeat at the relay and at a subscriber of 500 scopes.
func BenchmarkHeartbeat(b *testing.B) {
	origin, connections, subscribers := newRegion(b, 12000, 5000, 1, 500)
	connections[0].deliver(b, 0, subscribers[0])
	b.ResetTimer()
	for i := range b.N {
		connections[0].deliver(b, int64(i+1)*second, subscribers[0])
	}
	runtime.KeepAlive(origin)
}

// BenchmarkStart measures the attachment of a subscriber of 500 scopes and 1,200 records at both ends: its hello, and
// its first snapshot or resumption.
func BenchmarkStart(b *testing.B) {
	for _, kind := range []string{"from-nothing", "resumed"} {
		b.Run(kind, func(b *testing.B) {
			origin, connections, subscribers := newRegion(b, 12000, 5000, 1, 500)
			connections[0].deliver(b, 0, subscribers[0])
			selectors := make([]Selector, 0, 500)
			for _, n := range subscribers[0].replica.interests {
				selectors = append(selectors, Selector{Scope: n.scope})
			}
			b.ResetTimer()
			for range b.N {
				s := subscribers[0]
				if kind == "from-nothing" {
					s = newTestSubscriber(b, selectors...)
				}
				connection := connect(b, 0, origin.Relay(), s, 0)
				connection.deliver(b, 0, s)
				origin.Relay().Detach(connection.sessionID)
			}
		})
	}
}
