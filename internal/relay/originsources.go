package relay

import (
	"context"
	"time"

	"fawnglade/internal/distribution"
)

const (
	// stateCheckInterval is how often the state of an origin's watch of discovery is checked.
	stateCheckInterval = 100 * time.Millisecond
	// statePublishIntervalNs is the least time between two versions of the list that an origin publishes. That the
	// watch is connected or not is published at once.
	statePublishIntervalNs = int64(time.Second)
	// applyBatchRecords is how many records are put under the server's lock before subscribers get their turn.
	applyBatchRecords = 512
)

// publishDiscoveryState publishes the state of the watch of discovery to all nodes, until the context is done.
func (p *Process) publishDiscoveryState(ctx context.Context) {
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	var grace connectionGrace
	var published DiscoveryState
	publishedAt := int64(0)
	for {
		now := p.clock()
		state := DiscoveryState{
			Version:   p.watch.appliedVersion.Load(),
			Connected: grace.connected(now, p.watch.lastReceivedNs.Load()),
		}
		due := state != published && now-publishedAt >= statePublishIntervalNs
		if state.Version > 0 && (state.Connected != published.Connected || due) {
			p.putDiscoveryState(state)
			published = state
			publishedAt = now
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Process) putDiscoveryState(state DiscoveryState) {
	p.server.Do(func(now int64) {
		_, err := p.origin.Put(now, ScopeOrigin, KeyDiscovery, distribution.ClassConfiguration, state.body())
		p.warnRefused(err)
	})
}

// watchDirectory scans the directory of configuration at an interval, until the context is done.
func (p *Process) watchDirectory(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(p.config.Origin.PollIntervalNs))
	defer ticker.Stop()
	for loaded := false; ; {
		changes, complete := p.directory.scan()
		if len(changes) > 0 || complete && !loaded {
			p.applyConfiguration(changes, complete)
			loaded = loaded || complete
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Process) applyConfiguration(changes []distribution.Record, complete bool) {
	for len(changes) > 0 {
		batch := changes[:min(applyBatchRecords, len(changes))]
		changes = changes[len(batch):]
		p.server.Do(func(now int64) {
			for _, record := range batch {
				p.applyRecord(now, record)
			}
		})
	}
	if complete { // no record is of this kind: the origin awaits it alone
		p.server.Do(func(now int64) {
			_, err := p.origin.Replace(now, kindConfiguration, nil)
			p.warnRefused(err)
		})
	}
}

func (p *Process) applyRecord(now int64, record distribution.Record) {
	if record.Deleted {
		p.origin.Remove(now, record.Scope, record.Key)
		return
	}
	_, err := p.origin.Put(now, record.Scope, record.Key, record.Class, record.Body)
	p.warnRefused(err)
}
