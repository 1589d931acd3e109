// Package faultproxy owns relays on loopback: what passes between two parts of a day goes through one and meets there what the schedule
// of package links has for it. It must never send to any address but those that it was given, nor decide what befalls a message.
package faultproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/netfault"
)

// Proxies holds the schedule of link faults for all proxies of a run.
type Proxies struct {
	now      func() int64
	schedule atomic.Pointer[netfault.Schedule]

	mu        sync.Mutex
	streams   []*Stream
	done      chan struct{}
	closeOnce sync.Once
}

const pollInterval = 5 * time.Millisecond

// NewProxies begins without faults. now is the run's clock, in nanoseconds.
func NewProxies(now func() int64) *Proxies {
	b := &Proxies{now: now, done: make(chan struct{})}
	b.schedule.Store(netfault.New(nil))
	go b.applySchedule()
	return b
}

// Set puts a schedule in force.
func (b *Proxies) SetSchedule(s *netfault.Schedule) { b.schedule.Store(s) }

// Close ends the watching of streams.
func (b *Proxies) Close() { b.closeOnce.Do(func() { close(b.done) }) }

func (b *Proxies) add(s *Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams = append(b.streams, s)
}

// look has streams notice that a way is cut, or mended.
func (b *Proxies) applySchedule() {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-tick.C:
		}
		now, s := b.now(), b.schedule.Load()
		b.mu.Lock()
		for _, one := range b.streams {
			one.applySchedule(s, now)
		}
		b.mu.Unlock()
	}
}
