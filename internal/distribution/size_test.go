package distribution

// Costs: bytes on the wire, memory of a record and a selector, time of a change. Benchmarks report figures; tests
// check what must hold at any size.

import (
	"fmt"
	"runtime"
	"testing"
)

// endpointBody is an endpoint in the form in which discovery lists it.
func endpointBody(i int) []byte {
	return fmt.Appendf(nil, `{"host":"h%06d","dial":"10.%d.%d.%d:8080","site":"eu1-a","block":%d,"health":"ok","share":1,"born_ms":%d}`,
		i, i>>16, i>>8&255, i&255, i/40, 1700000000000+i*1000)
}

func TestMessageSizes(t *testing.T) {
	o := NewOrigin(1764000000e9, Limits{})
	content, scopes := 0, 0
	var selectors []Selector
	for i := range 1200 {
		scope, key, body := fmt.Sprintf("eu1/service-%04d", i/3), fmt.Sprintf("endpoint/h%06d", i), endpointBody(i)
		if i%3 == 0 {
			selectors = append(selectors, Selector{Scope: scope})
			scopes += len(scope)
		}
		content += len(key) + len(body)
		put(t, o, scope, key, ClassEndpoint, string(body))
	}
	s := newTestSubscriber(t, selectors...)
	sum, n := 0, 0
	for _, f := range connect(t, 0, o.Relay(), s, 0).deliver(t, 0, s) {
		sum += len(f)
		n++
	}
	hello := len(s.Hello())
	t.Logf("1,200 endpoints in 400 scopes: %d frames, %d bytes, %.1f a record, %.1f of them its key and body; hello %d bytes, %.1f a selector",
		n, sum, float64(sum)/1200, float64(content)/1200, hello, float64(hello)/400)
	if most := content + scopes + 1200*16 + 400*16 + 200; sum > most {
		t.Errorf("%d bytes for %d of keys, bodies and names, at most %d", sum, content+scopes, most)
	}
	if hello > scopes+400*8+64 {
		t.Errorf("hello of %d bytes for %d of names", hello, scopes)
	}
	l := connect(t, 0, o.Relay(), s, 0)
	l.deliver(t, 0, s)
	put(t, o, "eu1/service-0000", "endpoint/h000000", ClassWithdrawal, string(endpointBody(0)))
	change := l.deliver(t, 0, s)
	beat := l.deliver(t, 2*second, s)
	t.Logf("one change %d bytes, of them %d its content; a heartbeat %d", len(change[0]), 16+16+len(endpointBody(0)),
		len(beat[0]))
	if len(change[0]) > 32+len(endpointBody(0))+48 || len(beat[0]) > 32 {
		t.Error("a change or a heartbeat is too long")
	}
}

// region is a relay with subscribers, each of some of the scopes.
func newRegion(t testing.TB, records, scopes, subscribers, each int) (*Origin, []testConnection, []*testSubscriber) {
	o := NewOrigin(1, Limits{})
	for i := range records {
		put(t, o, fmt.Sprintf("eu1/service-%05d", i%scopes), fmt.Sprintf("endpoint/h%06d", i), ClassEndpoint,
			string(endpointBody(i)))
	}
	links, leaves := make([]testConnection, subscribers), make([]*testSubscriber, subscribers)
	for i := range subscribers {
		var selectors []Selector
		for k := range each {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d",
				(i*37+k*(scopes/each))%scopes)})
		}
		leaves[i] = newTestSubscriber(t, selectors...)
		links[i] = connect(t, 0, o.Relay(), leaves[i], 0)
	}
	return o, links, leaves
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A change makes the subscribers of its scope ready, and no others.
func TestChangeIsSentOnlyToSubscribersOfItsScope(t *testing.T) {
	o, links, leaves := newRegion(t, 4000, 1000, 50, 20)
	for i, l := range links {
		l.deliver(t, 0, leaves[i])
	}
	o.Relay().Ready()
	sent := o.Relay().Stats()
	put(t, o, "eu1/service-00037", "endpoint/new", ClassEndpoint, "x")
	want := 0
	for _, s := range leaves {
		if s.replica.covers("eu1/service-00037") {
			want++
		}
	}
	ready := o.Relay().Ready()
	if len(ready) != want || want == 0 || want == 50 {
		t.Fatalf("%d woken, %d subscribe", len(ready), want)
	}
	for _, id := range ready {
		s := o.Relay().sessions[id]
		expectEqual(t, "queued", s.queues[ClassEndpoint].len(), 1)
		o.Relay().Next(0, id)
		if f, _ := o.Relay().Next(0, id); f != nil {
			t.Fatal("a second frame for one change")
		}
	}
	now := o.Relay().Stats()
	expectEqual(t, "records sent", now.SentRecords-sent.SentRecords, int64(want))
	expectEqual(t, "frames sent", now.Sent-sent.Sent, int64(want))
}

func BenchmarkRelayMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		o, _, _ := newRegion(b, 120000, 50000, 0, 1)
		bare := heapBytes()
		bodies := o.relay.replica.bytes
		b.ReportMetric(float64(bare-before-int64(bodies))/120000, "B/record")
		b.ReportMetric(float64(bodies)/120000, "content-B/record")
		var selectors []Selector
		for k := range 500 {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d", k*100)})
		}
		hello := newTestSubscriber(b, selectors...).Hello()
		before = heapBytes()
		for range 530 {
			if _, err := o.Relay().Attach(0, hello, 20000); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/530/500, "B/selector")
		runtime.KeepAlive(o)
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
		o, _, _ := newRegion(b, 12000, 5000, 0, 1)
		var selectors []Selector
		for k := range 500 {
			selectors = append(selectors, Selector{Scope: fmt.Sprintf("eu1/service-%05d", k*10)})
		}
		var all []*Subscriber
		var before int64
		for i := range 101 {
			s := newTestSubscriber(b, selectors...)
			s.SetInterner(share)
			all = append(all, s.Subscriber)
			l := connect(b, 0, o.Relay(), s, 0)
			l.deliver(b, 0, s)
			o.Relay().Detach(l.sessionID)
			s.changes = nil
			if i == 0 {
				before = heapBytes() // the first has what all share
			}
		}
		records := all[0].Stats().Records
		b.ReportMetric(float64(heapBytes()-before)/100/float64(records), "B/record")
		b.ReportMetric(float64(records), "records")
		runtime.KeepAlive(all)
		runtime.KeepAlive(o)
	}
}

// A change at a relay with 530 subscribers of 500 scopes each: received, and sent to all that subscribe.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{1200, 12000, 120000} {
		b.Run(fmt.Sprint("records-", size), func(b *testing.B) {
			o, links, _ := newRegion(b, size, size*5/12, 530, 500)
			for _, l := range links {
				for f, _ := l.relay.Next(0, l.sessionID); f != nil; f, _ = l.relay.Next(0, l.sessionID) {
				}
			}
			o.Relay().Ready()
			sent := o.Relay().Stats().Sent
			b.ResetTimer()
			for i := range b.N {
				k := i * 7919 % size
				put(b, o, fmt.Sprintf("eu1/service-%05d", k%(size*5/12)), fmt.Sprintf("endpoint/h%06d", k),
					ClassEndpoint, fmt.Sprint("changed", i))
				for _, id := range o.Relay().Ready() {
					o.Relay().Next(0, id)
				}
			}
			b.ReportMetric(float64(o.Relay().Stats().Sent-sent)/float64(b.N), "frames/op")
		})
	}
}

// A heartbeat at the relay and at a subscriber of 500 scopes.
func BenchmarkHeartbeat(b *testing.B) {
	o, links, leaves := newRegion(b, 12000, 5000, 1, 500)
	links[0].deliver(b, 0, leaves[0])
	b.ResetTimer()
	for i := range b.N {
		links[0].deliver(b, int64(i+1)*second, leaves[0])
	}
	runtime.KeepAlive(o)
}

// A subscriber of 500 scopes and 1,200 records attaches: its hello and its first snapshot, at both ends.
func BenchmarkStart(b *testing.B) {
	for _, kind := range []string{"from-nothing", "resumed"} {
		b.Run(kind, func(b *testing.B) {
			o, links, leaves := newRegion(b, 12000, 5000, 1, 500)
			links[0].deliver(b, 0, leaves[0])
			selectors := make([]Selector, 0, 500)
			for _, n := range leaves[0].replica.interests {
				selectors = append(selectors, Selector{Scope: n.scope})
			}
			b.ResetTimer()
			for range b.N {
				s := leaves[0]
				if kind == "from-nothing" {
					s = newTestSubscriber(b, selectors...)
				}
				l := connect(b, 0, o.Relay(), s, 0)
				l.deliver(b, 0, s)
				o.Relay().Detach(l.sessionID)
			}
		})
	}
}
