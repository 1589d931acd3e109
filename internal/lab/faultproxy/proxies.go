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
	p := &Proxies{now: now, done: make(chan struct{})}
	p.schedule.Store(netfault.New(nil))
	go p.applySchedule()
	return p
}

// Set puts a schedule in force.
func (p *Proxies) SetSchedule(schedule *netfault.Schedule) { p.schedule.Store(schedule) }

// Close ends the watching of streams.
func (p *Proxies) Close() { p.closeOnce.Do(func() { close(p.done) }) }

func (p *Proxies) add(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = append(p.streams, s)
}

// look has streams notice that a way is cut, or mended.
func (p *Proxies) applySchedule() {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
		now, schedule := p.now(), p.schedule.Load()
		p.mu.Lock()
		for _, stream := range p.streams {
			stream.applySchedule(schedule, now)
		}
		p.mu.Unlock()
	}
}
