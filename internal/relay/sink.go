package relay

import (
	"sync"

	"fawnglade/internal/distribution"

	"go.uber.org/zap"
)

// Sink is what a client feeds: a subscriber, or a relay with an upstream. Only the client's goroutine calls it.
type Sink interface {
	// Hello returns the first message of a new connection; a new session begins.
	Hello(now int64) []byte
	// Receive applies a frame, which it must not keep. An error ends the connection.
	Receive(now int64, frame []byte) error
	// LagNs returns how old what the sink holds is, in nanoseconds; 0: not behind, or not known to be.
	LagNs(now int64) int64
}

// lagCheckIntervalNs is how often a SubscriberSink looks at the ages of all its scopes, in nanoseconds.
const lagCheckIntervalNs = int64(1e9)

// SubscriberSink feeds a subscriber. Its methods are safe for concurrent use.
type SubscriberSink struct {
	exactScopes []string // whose ages are looked at; prefixes have none
	onFrame     func(now int64, changes []distribution.Change)
	warnings    warnLimiter
	log         *zap.Logger

	mu             sync.Mutex
	subscriber     *distribution.Subscriber
	invalidSeen    int64
	lagCheckedAtNs int64
	lagNs          int64
	arrivals       arrivalTracker
}

// NewSubscriberSink returns a sink that feeds a subscriber of scopes. onFrame, if not nil, is called by the client's
// goroutine after each frame, also if nothing has changed; no lock is held, so that it may call Inspect.
func NewSubscriberSink(
	subscriber *distribution.Subscriber, scopes []string,
	onFrame func(now int64, changes []distribution.Change), log *zap.Logger,
) *SubscriberSink {
	s := &SubscriberSink{subscriber: subscriber, onFrame: onFrame, log: log}
	for _, selector := range Selectors(scopes) {
		if !selector.Prefix {
			s.exactScopes = append(s.exactScopes, selector.Scope)
		}
	}
	return s
}

// Inspect calls inspect with the subscriber, between two frames.
func (s *SubscriberSink) Inspect(inspect func(*distribution.Subscriber)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inspect(s.subscriber)
}

// Hello returns the first message of a new connection.
func (s *SubscriberSink) Hello(now int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.reset(now)
	return s.subscriber.Hello()
}

// Receive applies a frame. Changes before an error count.
func (s *SubscriberSink) Receive(now int64, frame []byte) error {
	var changes []distribution.Change
	var receiveErr error
	var stats distribution.Stats
	invalid := int64(0)
	s.Inspect(func(subscriber *distribution.Subscriber) {
		changes, receiveErr = subscriber.Receive(now, frame)
		stats = subscriber.Stats()
		invalid = stats.InvalidRecords - s.invalidSeen
		s.invalidSeen = stats.InvalidRecords
		s.arrivals.observe(now, &stats)
	})
	s.warnings.warnInvalid(s.log, invalid, stats.LastInvalid)
	if s.onFrame != nil {
		s.onFrame(now, changes)
	}
	return receiveErr
}

// LagNs returns the age of the oldest scope, but no more than since records last arrived.
func (s *SubscriberSink) LagNs(now int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.lagCheckedAtNs < lagCheckIntervalNs {
		return s.lagNs
	}
	s.lagCheckedAtNs = now
	s.lagNs = 0
	for _, scope := range s.exactScopes {
		age, known := s.subscriber.Age(now, scope)
		s.lagNs = max(s.lagNs, s.arrivals.lagNs(now, age, known))
	}
	return s.lagNs
}

// relaySink feeds a relay from its own client.
type relaySink struct {
	server      *Server
	relay       *distribution.Relay
	warnings    warnLimiter
	invalidSeen int64
	arrivals    arrivalTracker
}

func (s *relaySink) Hello(int64) (hello []byte) {
	s.server.Do(func(now int64) {
		s.arrivals.reset(now)
		hello = s.relay.UpstreamHello(now)
	})
	return hello
}

func (s *relaySink) Receive(_ int64, frame []byte) (err error) {
	var stats distribution.Stats
	s.server.Do(func(now int64) {
		err = s.relay.Receive(now, frame)
		stats = s.relay.Stats()
		s.arrivals.observe(now, &stats)
	})
	s.warnings.warnInvalid(s.server.log, stats.InvalidRecords-s.invalidSeen, stats.LastInvalid)
	s.invalidSeen = stats.InvalidRecords
	return err
}

func (s *relaySink) LagNs(int64) (ns int64) {
	s.server.Do(func(now int64) {
		age, known := s.relay.Age(now)
		ns = s.arrivals.lagNs(now, age, known)
	})
	return ns
}

// arrivalTracker tracks when records last arrived: a sink that receives a snapshot at a slow pace is behind, and yet
// well served.
type arrivalTracker struct {
	records int64 // received
	lastNs  int64 // when records last arrived, or the connection began
}

func (t *arrivalTracker) reset(now int64) { t.lastNs = now }

func (t *arrivalTracker) observe(now int64, stats *distribution.Stats) {
	if n := stats.Applied + stats.Repeated; n != t.records {
		t.records = n
		t.lastNs = now
	}
}

// lagNs returns an age, but no more than since records last arrived. An age that is not known is as much.
func (t *arrivalTracker) lagNs(now, ageNs int64, known bool) int64 {
	sinceArrival := now - t.lastNs
	if !known {
		return sinceArrival
	}
	return min(ageNs, sinceArrival)
}
