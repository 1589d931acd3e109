// Package subscription gives a node its endpoint list: by relays, and by the node's own watch of discovery where relays
// fail. It joins a relay client, a subscriber and the selection of the source (endpointsource), and calls back into the
// node for how entries are decoded and applied. A failure here costs the relays' updates, never requests: all work is
// done by two goroutines of its own.
package subscription

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/relay"

	"go.uber.org/zap"
)

const (
	// tickInterval is how often the selection of the source is checked.
	tickInterval = 100 * time.Millisecond
	// skipLogIntervalNs is the least time between two log entries about skipped records.
	skipLogIntervalNs = int64(10e9)
)

// Config of a node's subscription. V is an endpoint as the node describes it. Apply and WatchDiscovery are called one
// at a time, in order, under the subscription's lock: they must not call back into it.
type Config[V any] struct {
	Name            string       // of the node: decides the order in which it tries relays
	Relays          []string     // addresses with ports
	Scopes          []string     // region/service; a star at the end stands for all that begin so
	StaleAfterNs    int64        // relays whose list is older than this are stale, and discovery is watched
	RestoredVersion int64        // of the list that the node has kept from before its start; 0: none
	Clock           func() int64 // nanoseconds, monotonic
	Log             *zap.Logger

	// Decode reads an entry of the list. An error has the entry skipped, and what was known of it stays.
	Decode func(endpointlist.Entry) (V, error)
	// ToEndpoint describes an endpoint to the selection of the source.
	ToEndpoint func(V) endpointsource.Endpoint[V]
	// WithState returns the endpoint in another state.
	WithState func(V, endpointsource.EndpointState) V
	// Apply has the node use a list, or with complete false what has changed in it.
	Apply func(entries []V, version int64, complete bool)
	// WatchDiscovery starts or stops the watch of discovery. It is stopped at first.
	WatchDiscovery func(on bool)
	// DiscoveryConnected reports whether the watch of discovery is connected.
	DiscoveryConnected func() bool
	// CountSkipped counts records that could not be used.
	CountSkipped func(records int)
	// Recover is deferred in each goroutine and stops a panic there.
	Recover func(where string, then func())
}

// Subscription is a node's subscription to the endpoint list. Its methods are safe for concurrent use.
type Subscription[V any] struct {
	config Config[V]
	client *relay.Client
	sink   *relay.SubscriberSink

	mu                  sync.Mutex
	selector            *endpointsource.Selector[V]
	hostTable           *relay.EndpointTable
	active              endpointsource.Source // as last logged
	watchesDiscovery    bool                  // discovery, as last asked for by WatchDiscovery
	discoveryConnected  bool
	clientState         relay.ClientState
	skipsLastLoggedAtNs int64

	relaysOnly atomic.Bool // relays are active, and discovery is not watched
}

// New returns a subscription; nothing runs before Run. An error says that the configuration is invalid.
func New[V any](config Config[V]) (*Subscription[V], error) {
	s := &Subscription[V]{
		config:    config,
		selector:  endpointsource.New[V](config.Clock(), config.StaleAfterNs, config.RestoredVersion),
		hostTable: relay.NewEndpointTable(),
	}
	scopes := relay.WithOrigin(config.Scopes)
	subscriber, err := distribution.NewSubscriber(relay.Selectors(scopes), distribution.Limits{})
	if err != nil {
		return nil, err
	}
	s.sink = relay.NewSubscriberSink(subscriber, scopes, s.handleFrame, config.Log)
	s.client = relay.NewClient(relay.ClientConfig{
		Name:         config.Name,
		Upstreams:    config.Relays,
		SpreadByName: true,
		Clock:        config.Clock,
		OnState:      s.handleClientState,
	}, s.sink, config.Log)
	return s, nil
}

// Run keeps the list up to date until the context is done. On a nil subscription it returns at once.
func (s *Subscription[V]) Run(ctx context.Context) {
	if s == nil {
		return
	}
	go func() {
		defer s.config.Recover("relays", func() {})
		s.client.Run(ctx)
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscription[V]) tick() {
	defer s.config.Recover("relays", func() {})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	if connected := s.config.DiscoveryConnected(); connected != s.discoveryConnected {
		s.discoveryConnected = connected
		s.applyUpdate(s.selector.SetDiscoveryConnected(now, connected))
	}
	s.applyUpdate(s.selector.Tick(now))
}

// applyUpdate hands an update to the node, and starts or stops the watch of discovery. The lock is held.
func (s *Subscription[V]) applyUpdate(update endpointsource.Update[V]) {
	if update.Changed {
		entries := make([]V, len(update.Endpoints))
		for i, endpoint := range update.Endpoints {
			entries[i] = s.config.WithState(endpoint.Value, endpoint.State)
		}
		s.config.Apply(entries, update.Version, update.Complete)
	}
	if active := s.selector.Active(); active != s.active {
		s.config.Log.Info("source of the endpoint list changed", zap.Stringer("source", active),
			zap.Stringer("before", s.active), zap.Int64("version", update.Version))
		s.active = active
	}
	watch := s.selector.WantsDiscovery(s.config.Clock())
	s.relaysOnly.Store(s.active == endpointsource.SourceRelays && !watch)
	if watch != s.watchesDiscovery {
		s.watchesDiscovery = watch
		s.config.WatchDiscovery(watch)
	}
}

// handleFrame applies what a frame of a relay has changed.
func (s *Subscription[V]) handleFrame(now int64, changes []distribution.Change) {
	complete, ageNs, ageKnown := false, int64(0), false
	s.sink.Inspect(func(subscriber *distribution.Subscriber) {
		complete = subscriber.Complete()
		ageNs, ageKnown = subscriber.Age(now, relay.ScopeOrigin)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.decode(now, changes)
	discovery, discoveryKnown := s.hostTable.Discovery()
	s.applyUpdate(s.selector.UpdateRelays(now, endpointsource.RelayUpdate[V]{
		Changes:   endpoints,
		Complete:  complete,
		Connected: discoveryKnown && discovery.Connected && ageKnown,
		AsOfNs:    now - ageNs,
		Version:   discovery.Version,
	}))
}

// decode turns changes of records into endpoints. Records that can't be used are counted and skipped.
func (s *Subscription[V]) decode(now int64, changes []distribution.Change) []endpointsource.Endpoint[V] {
	hosts := s.hostTable.Apply(changes)
	endpoints := make([]endpointsource.Endpoint[V], 0, len(hosts.Entries))
	for _, entry := range hosts.Entries {
		decoded, err := s.config.Decode(entry)
		if err != nil {
			hosts.Skipped++
			hosts.LastErr = err
			continue // what was known of it stays
		}
		endpoints = append(endpoints, s.config.ToEndpoint(decoded))
	}
	if hosts.Skipped > 0 {
		s.config.CountSkipped(hosts.Skipped)
		if now-s.skipsLastLoggedAtNs > skipLogIntervalNs {
			s.skipsLastLoggedAtNs = now
			s.config.Log.Warn("records skipped", zap.Int("records", hosts.Skipped), zap.Error(hosts.LastErr))
		}
	}
	return endpoints
}

func (s *Subscription[V]) handleClientState(state relay.ClientState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientState = state
	if state.Connected {
		s.config.Log.Info("relay connected", zap.String("relay", state.Upstream))
	} else if state.AllFailed {
		s.applyUpdate(s.selector.RelaysUnreachable(s.config.Clock()))
	}
}

// UpdateDiscovery applies a watch event of discovery. complete: entries are the complete list.
func (s *Subscription[V]) UpdateDiscovery(entries []V, version int64, complete bool) {
	endpoints := make([]endpointsource.Endpoint[V], len(entries))
	for i, entry := range entries {
		endpoints[i] = s.config.ToEndpoint(entry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryConnected = true
	s.applyUpdate(s.selector.UpdateDiscovery(s.config.Clock(), endpoints, complete, version))
}

// RelaysLastReceivedAt returns when relays last sent anything, by the clock, in nanoseconds; 0: the list doesn't come from
// relays alone. It takes no lock, and may be called on a nil subscription.
func (s *Subscription[V]) RelaysLastReceivedAt() int64 {
	if s == nil || !s.relaysOnly.Load() {
		return 0
	}
	return s.client.LastFrameNs()
}
