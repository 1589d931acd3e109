package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures a request from its arrival to its response, with 32 other requests in flight. The clock
// ticks every 20,000 requests, that is once per second. Responses take some time and carry a load report.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			effects := &lastSendRecorder{}
			balancer := New(benchSettings, 1, effects)
			now := Time(1e12)
			balancer.EndpointsUpdated(now, endpointList(n), true)
			type inFlightRequest struct {
				id       RequestID
				endpoint EndpointID
				sentAt   Time
			}
			var ring [32]inFlightRequest
			ids := make([]RequestID, 1<<16)
			for i := range ids {
				ids[i] = RequestID(fmt.Sprint("t", i))
			}
			rejected, lastTick := 0, now
			runRequest := func(i int) {
				now += 50e3
				if now-lastTick > 1e9 {
					lastTick = now
					balancer.TimerFired(now, 1)
				}
				slot := &ring[i%len(ring)]
				if slot.id != "" {
					balancer.AttemptEnded(now, AttemptResult{
						Request:     slot.id,
						Endpoint:    slot.endpoint,
						Outcome:     OutcomeSucceeded,
						Elapsed:     now.Sub(slot.sentAt) + time.Duration(i%7)*ms/4,
						RequestDone: true,
						Report:      LoadReport{Utilization: -1, QueueLength: float64(i % 3), ServiceTime: -1},
					})
				}
				id := ids[i%len(ids)]
				effects.sent = false
				balancer.RequestArrived(now, Request{ID: id, Deadline: now + 600*ms})
				if *slot = (inFlightRequest{id, effects.endpoint, now}); !effects.sent {
					slot.id = ""
					rejected++
				}
			}
			for i := range 50000 {
				runRequest(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			rejected = 0
			for i := range b.N {
				runRequest(i + 50000)
			}
			b.ReportMetric(float64(rejected)/float64(b.N), "rejected/op")
		})
	}
}

// BenchmarkListUpdate measures applying 512 changed entries to a list of n endpoints.
func BenchmarkListUpdate(b *testing.B) {
	for _, n := range []int{512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpointList(n)
			balancer := New(benchSettings, 1, &lastSendRecorder{})
			balancer.EndpointsUpdated(1e12, list, true)
			for i := range b.N {
				from := i * 512 % n
				balancer.EndpointsUpdated(1e12+Time(i), list[from:from+512], false)
			}
		})
	}
}

// BenchmarkCompleteList measures replacing a list of n endpoints by a complete list of n others.
func BenchmarkCompleteList(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpointList(2 * n)
			for i := range b.N {
				b.StopTimer()
				balancer := New(benchSettings, 1, &lastSendRecorder{})
				balancer.EndpointsUpdated(1e12, list[:n], true)
				b.StartTimer()
				balancer.EndpointsUpdated(1e12+Time(i), list[n:], true)
			}
		})
	}
}

// BenchmarkNoCandidate measures a selection without any candidate, which is the worst case: two rounds over the window
// of 32 endpoints and two over the whole subset.
func BenchmarkNoCandidate(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := New(benchSettings, 1, &lastSendRecorder{})
			now := Time(1e12)
			balancer.EndpointsUpdated(now, endpointList(n), true)
			for _, ep := range balancer.endpoints.all {
				ep.backoffUntil = now + ms
			}
			req := &request{
				Request:           Request{Deadline: now + 900*ms},
				classSettings:     &balancer.settings.Classes[0],
				effectiveDeadline: now + 900*ms,
				delayGroups:       balancer.admission.delays.GroupsOf(0, 0),
			}
			for range b.N {
				balancer.selectEndpoint(now, req)
			}
		})
	}
}
