// Package faultproxy forwards the traffic of an emulated run through proxies on loopback, which apply the faults of a
// netfault.Schedule. Proxies send only to the addresses that they were given, and leave the choice of faults to the
// schedule.
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

// NewProxies returns proxies without faults. now returns the time of the run in nanoseconds.
func NewProxies(now func() int64) *Proxies {
	p := &Proxies{now: now, done: make(chan struct{})}
	p.schedule.Store(netfault.New(nil))
	go p.applySchedule()
	return p
}

// SetSchedule replaces the schedule of faults.
func (p *Proxies) SetSchedule(schedule *netfault.Schedule) { p.schedule.Store(schedule) }

// Close stops applying the schedule to streams.
func (p *Proxies) Close() { p.closeOnce.Do(func() { close(p.done) }) }

func (p *Proxies) add(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = append(p.streams, s)
}

// applySchedule applies cuts and their ends to streams, until Close.
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
