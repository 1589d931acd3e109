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
type Follower struct {
	scopes  []string // exact ones, whose ages are asked; prefixes have none
	changed func(now int64, changes []distribution.Change)
	told    rarely
	log     *zap.Logger

	mu     sync.Mutex
	core   *distribution.Subscriber
	spoilt int64
	looked int64 // when the ages were last looked at
	behind int64
	coming progress
}

// progress notes when records last came: who is told anew, at a pace, is behind and yet well served.
type progress struct{ records, at int64 }

func (p *progress) begin(now int64) { p.at = now }

func (p *progress) look(now int64, s *distribution.Stats) {
	if n := s.Applied + s.Repeated; n != p.records {
		p.records, p.at = n, now
	}
}

// of is an age, as far as it counts: no more than since records last came. What is not known is as old as that.
func (p *progress) of(now, age int64, known bool) int64 {
	if !known {
		return now - p.at
	}
	return min(age, now-p.at)
}

// lookEvery is how often the ages of all scopes are looked at, ns.
const lookEvery = int64(1e9)

// NewFollower makes one. The callback is called after each frame that was taken in, also where nothing has changed, by the client's
// goroutine; it may call Look.
func NewFollower(core *distribution.Subscriber, scopes []string, changed func(now int64, changes []distribution.Change), log *zap.Logger) *Follower {
	f := &Follower{core: core, changed: changed, log: log}
	for _, s := range Selectors(scopes) {
		if !s.Prefix {
			f.scopes = append(f.scopes, s.Scope)
		}
	}
	return f
}

// Look has the subscriber looked at between two frames.
func (f *Follower) Look(what func(*distribution.Subscriber)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what(f.core)
}

// Hello is what a new connection begins with.
func (f *Follower) Hello(now int64) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coming.begin(now)
	return f.core.Hello()
}

// Take takes a frame in. What it brought counts, also where it ends the connection.
func (f *Follower) Take(now int64, frame []byte) error {
	var changes []distribution.Change
	var err error
	spoilt, last := int64(0), ""
	f.Look(func(core *distribution.Subscriber) {
		changes, err = core.Receive(now, frame)
		stats := core.Stats()
		spoilt, last = stats.InvalidRecords-f.spoilt, stats.LastInvalid
		f.spoilt = stats.InvalidRecords
		f.coming.look(now, &stats)
	})
	if spoilt > 0 {
		f.told.warn(f.log, "spoilt", "records passed over", zap.Int64("records", spoilt), zap.String("last", last))
	}
	if f.changed != nil {
		f.changed(now, changes)
	}
	return err
}

// Behind is the age of the oldest scope, but no more than since records last came.
func (f *Follower) Behind(now int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.looked < lookEvery {
		return f.behind
	}
	f.looked, f.behind = now, 0
	for _, scope := range f.scopes {
		age, known := f.core.Age(now, scope)
		f.behind = max(f.behind, f.coming.of(now, age, known))
	}
	return f.behind
}

// upstream is a relay as the sink of its own client.
type upstream struct {
	server *Server
	core   *distribution.Relay
	told   rarely
	spoilt int64
	coming progress
}

func (u *upstream) Hello(int64) (hello []byte) {
	u.server.Do(func(now int64) {
		u.coming.begin(now)
		hello = u.core.UpstreamHello(now)
	})
	return hello
}

func (u *upstream) Take(_ int64, frame []byte) (err error) {
	var stats distribution.Stats
	u.server.Do(func(now int64) {
		err = u.core.Receive(now, frame)
		stats = u.core.Stats()
		u.coming.look(now, &stats)
	})
	if n := stats.InvalidRecords - u.spoilt; n > 0 {
		u.spoilt = stats.InvalidRecords
		u.told.warn(u.server.log, "spoilt", "records passed over", zap.Int64("records", n), zap.String("last", stats.LastInvalid))
	}
	return err
}

func (u *upstream) Behind(int64) (ns int64) {
	u.server.Do(func(now int64) {
		age, known := u.core.Age(now)
		ns = u.coming.of(now, age, known)
	})
	return ns
}
