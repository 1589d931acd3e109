package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest is a request from its arrival to its answer, with 32 others out, a tick of the clock each second of
// 20,000 requests, and answers that bring a report and take their time.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := &lastSendRecorder{}
			p := New(benchSettings, 1, q)
			now := Time(1e12)
			p.EndpointsUpdated(now, endpointList(n), true)
			type out struct {
				id       RequestID
				endpoint EndpointID
				at       Time
			}
			var ring [32]out
			ids := make([]RequestID, 1<<16)
			for i := range ids {
				ids[i] = RequestID(fmt.Sprint("t", i))
			}
			rejected, tick := 0, now
			one := func(i int) {
				now += 50e3
				if now-tick > 1e9 {
					tick = now
					p.TimerFired(now, 1)
				}
				r := &ring[i%len(ring)]
				if r.id != "" {
					p.AttemptEnded(now, AttemptResult{
						Request:     r.id,
						Endpoint:    r.endpoint,
						Outcome:     OutcomeSucceeded,
						Elapsed:     now.Sub(r.at) + time.Duration(i%7)*ms/4,
						RequestDone: true,
						Report:      LoadReport{Utilization: -1, QueueLength: float64(i % 3), ServiceTime: -1},
					})
				}
				id := ids[i%len(ids)]
				q.sent = false
				p.RequestArrived(now, Request{ID: id, Deadline: now + 600*ms})
				if *r = (out{id, q.endpoint, now}); !q.sent {
					r.id = ""
					rejected++
				}
			}
			for i := range 50000 {
				one(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			rejected = 0
			for i := range b.N {
				one(i + 50000)
			}
			b.ReportMetric(float64(rejected)/float64(b.N), "rejected/op")
		})
	}
}

// BenchmarkListUpdate is 512 lines of a list taken in by a node that holds so many endpoints.
func BenchmarkListUpdate(b *testing.B) {
	for _, n := range []int{512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpointList(n)
			p := New(benchSettings, 1, &lastSendRecorder{})
			p.EndpointsUpdated(1e12, list, true)
			for i := range b.N {
				from := i * 512 % n
				p.EndpointsUpdated(1e12+Time(i), list[from:from+512], false)
			}
		})
	}
}

// BenchmarkCompleteList is a whole list taken in by a node that holds another.
func BenchmarkCompleteList(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpointList(2 * n)
			for i := range b.N {
				b.StopTimer()
				p := New(benchSettings, 1, &lastSendRecorder{})
				p.EndpointsUpdated(1e12, list[:n], true)
				b.StartTimer()
				p.EndpointsUpdated(1e12+Time(i), list[n:], true)
			}
		})
	}
}

// BenchmarkNoCandidate is a draw in which no endpoint takes part: the worst case, 32 tries and two passes.
func BenchmarkNoCandidate(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(benchSettings, 1, &lastSendRecorder{})
			now := Time(1e12)
			p.EndpointsUpdated(now, endpointList(n), true)
			for _, s := range p.endpoints.all {
				s.backoffUntil = now + ms
			}
			req := &request{
				Request:           Request{Deadline: now + 900*ms},
				classSettings:     &p.settings.Classes[0],
				effectiveDeadline: now + 900*ms,
				delayGroups:       p.admission.delays.GroupsOf(0, 0),
			}
			for range b.N {
				p.selectEndpoint(now, req)
			}
		})
	}
}
