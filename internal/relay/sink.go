package relay

import (
	"sync"

	"fawnglade/internal/distribution"

	"go.uber.org/zap"
)

// Sink receives the frames of a client: a subscriber, or a relay with an upstream. Only the client's goroutine calls
// it.
type Sink interface {
	// Hello starts a new session and returns the first message of its connection.
	Hello(now int64) []byte
	// Receive applies a frame, which it must not retain. An error ends the connection.
	Receive(now int64, frame []byte) error
	// LagNs returns the age of the sink's records in nanoseconds; 0 if they are current, or not known to be older.
	LagNs(now int64) int64
}

// lagCheckIntervalNs is the interval at which a SubscriberSink checks the ages of all its scopes, in nanoseconds.
const lagCheckIntervalNs = int64(1e9)

// SubscriberSink passes frames to a subscriber. Its methods are safe for concurrent use.
type SubscriberSink struct {
	exactScopes []string // scopes whose ages are checked; prefixes have no age
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

// NewSubscriberSink returns a sink that passes frames to a subscriber of scopes. onFrame, if not nil, is called on the
// client's goroutine after each frame, even if nothing has changed. No lock is held, so that onFrame may call Inspect.
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

// Inspect calls inspect with the subscriber while no frame is being applied.
func (s *SubscriberSink) Inspect(inspect func(*distribution.Subscriber)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inspect(s.subscriber)
}

// Hello starts a new session and returns the first message of its connection.
func (s *SubscriberSink) Hello(now int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.reset(now)
	return s.subscriber.Hello()
}

// Receive applies a frame. Changes before an error are passed to onFrame as well.
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

// LagNs returns the highest age among the scopes, but at most the time since records last arrived.
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

// relaySink passes frames from the upstream to a relay.
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

// arrivalTracker tracks when records last arrived. While a sink receives a snapshot at a slow pace its records are old,
// but that is no reason to leave the upstream.
type arrivalTracker struct {
	records int64 // number of records received
	lastNs  int64 // when records last arrived, or the connection was opened
}

func (t *arrivalTracker) reset(now int64) { t.lastNs = now }

func (t *arrivalTracker) observe(now int64, stats *distribution.Stats) {
	if n := stats.Applied + stats.Repeated; n != t.records {
		t.records = n
		t.lastNs = now
	}
}

// lagNs returns an age, but at most the time since records last arrived. If the age is unknown, it returns that time.
func (t *arrivalTracker) lagNs(now, ageNs int64, known bool) int64 {
	sinceArrival := now - t.lastNs
	if !known {
		return sinceArrival
	}
	return min(ageNs, sinceArrival)
}
