package relay

// This file owns what a client feeds: a subscriber, or the relay that a server hands out. It must never call back under a lock that
// the callback may want.

import (
	"fawnglade/internal/distribution"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"
)

// Selectors reads scopes as they stand in a file: a star at the end stands for all that begin so.
func Selectors(scopes []string) []distribution.Selector {
	out := make([]distribution.Selector, len(scopes))
	for i, scope := range scopes {
		name, prefix := strings.CutSuffix(scope, "*")
		out[i] = distribution.Selector{Scope: name, Prefix: prefix}
	}
	return out
}

// WithOrigin adds what the origin tells of itself to scopes that lack it.
func WithOrigin(scopes []string) []string {
	for _, s := range scopes {
		if prefix, ok := strings.CutSuffix(s, "*"); s == ScopeOrigin || ok && strings.HasPrefix(ScopeOrigin, prefix) {
			return scopes
		}
	}
	return append(slices.Clone(scopes), ScopeOrigin)
}

// Follower is a subscriber as a client's sink.
type SubscriberSink struct {
	scopes   []string // exact ones, whose ages are asked; prefixes have none
	onFrame  func(now int64, changes []distribution.Change)
	warnings warnLimiter
	log      *zap.Logger

	mu             sync.Mutex
	subscriber     *distribution.Subscriber
	invalidSeen    int64
	lagCheckedAtNs int64 // when the ages were last looked at
	lagNs          int64
	arrivals       arrivalTracker
}

// progress notes when records last came: who is told anew, at a pace, is behind and yet well served.
type arrivalTracker struct{ records, lastNs int64 }

func (p *arrivalTracker) reset(now int64) { p.lastNs = now }

func (p *arrivalTracker) observe(now int64, s *distribution.Stats) {
	if n := s.Applied + s.Repeated; n != p.records {
		p.records, p.lastNs = n, now
	}
}

// of is an age, as far as it counts: no more than since records last came. What is not known is as old as that.
func (p *arrivalTracker) lagNs(now, age int64, known bool) int64 {
	if !known {
		return now - p.lastNs
	}
	return min(age, now-p.lastNs)
}

// lookEvery is how often the ages of all scopes are looked at, ns.
const lagCheckIntervalNs = int64(1e9)

// NewFollower makes one. The callback is called after each frame that was taken in, also where nothing has changed, by the client's
// goroutine; it may call Look.
func NewSubscriberSink(core *distribution.Subscriber, scopes []string, changed func(now int64, changes []distribution.Change), log *zap.Logger) *SubscriberSink {
	f := &SubscriberSink{subscriber: core, onFrame: changed, log: log}
	for _, s := range Selectors(scopes) {
		if !s.Prefix {
			f.scopes = append(f.scopes, s.Scope)
		}
	}
	return f
}

// Look has the subscriber looked at between two frames.
func (f *SubscriberSink) Inspect(what func(*distribution.Subscriber)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what(f.subscriber)
}

// Hello is what a new connection begins with.
func (f *SubscriberSink) Hello(now int64) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals.reset(now)
	return f.subscriber.Hello()
}

// Take takes a frame in. What it brought counts, also where it ends the connection.
func (f *SubscriberSink) Receive(now int64, frame []byte) error {
	var changes []distribution.Change
	var err error
	spoilt, last := int64(0), ""
	f.Inspect(func(core *distribution.Subscriber) {
		changes, err = core.Receive(now, frame)
		stats := core.Stats()
		spoilt, last = stats.InvalidRecords-f.invalidSeen, stats.LastInvalid
		f.invalidSeen = stats.InvalidRecords
		f.arrivals.observe(now, &stats)
	})
	if spoilt > 0 {
		f.warnings.warn(f.log, "spoilt", "records passed over", zap.Int64("records", spoilt), zap.String("last", last))
	}
	if f.onFrame != nil {
		f.onFrame(now, changes)
	}
	return err
}

// Behind is the age of the oldest scope, but no more than since records last came.
func (f *SubscriberSink) LagNs(now int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.lagCheckedAtNs < lagCheckIntervalNs {
		return f.lagNs
	}
	f.lagCheckedAtNs, f.lagNs = now, 0
	for _, scope := range f.scopes {
		age, known := f.subscriber.Age(now, scope)
		f.lagNs = max(f.lagNs, f.arrivals.lagNs(now, age, known))
	}
	return f.lagNs
}

// upstream is a relay as the sink of its own client.
type relaySink struct {
	server      *Server
	relay       *distribution.Relay
	warnings    warnLimiter
	invalidSeen int64
	arrivals    arrivalTracker
}

func (u *relaySink) Hello(int64) (hello []byte) {
	u.server.Do(func(now int64) {
		u.arrivals.reset(now)
		hello = u.relay.UpstreamHello(now)
	})
	return hello
}

func (u *relaySink) Receive(_ int64, frame []byte) (err error) {
	var stats distribution.Stats
	u.server.Do(func(now int64) {
		err = u.relay.Receive(now, frame)
		stats = u.relay.Stats()
		u.arrivals.observe(now, &stats)
	})
	if n := stats.InvalidRecords - u.invalidSeen; n > 0 {
		u.invalidSeen = stats.InvalidRecords
		u.warnings.warn(u.server.log, "spoilt", "records passed over", zap.Int64("records", n), zap.String("last", stats.LastInvalid))
	}
	return err
}

func (u *relaySink) LagNs(int64) (ns int64) {
	u.server.Do(func(now int64) {
		age, known := u.relay.Age(now)
		ns = u.arrivals.lagNs(now, age, known)
	})
	return ns
}
