// Package subscription provides a node with its endpoint list from relays, and from the node's own watch of discovery
// when the relays fail. It combines a relay client, a subscriber and the selection of the source (endpointsource); the
// node decodes and applies entries in callbacks. A failure in this package loses updates of the relays but never
// affects requests: the relay client and the selection of the source run in goroutines of their own.
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
	// tickInterval is the interval between checks of the selected source.
	tickInterval = 100 * time.Millisecond
	// skipLogIntervalNs is the minimum time between two log entries about skipped records, in nanoseconds.
	skipLogIntervalNs = int64(10e9)
)

// Config configures a subscription. V is the node's type for an endpoint. Apply and WatchDiscovery are called one at a
// time, in order, while the subscription's lock is held: they must not call methods of the subscription.
type Config[V any] struct {
	Name            string       // of the node; determines the order in which relays are tried
	Relays          []string     // addresses of relays, with ports
	Scopes          []string     // region/service; a star at the end matches any suffix
	StaleAfterNs    int64        // age in nanoseconds beyond which the relays' list is stale and discovery is watched
	RestoredVersion int64        // version of the list that the node has restored at its start; 0: none
	Clock           func() int64 // nanoseconds, monotonic
	Log             *zap.Logger

	// Decode decodes an entry of the list. If it returns an error, the entry is skipped and the endpoint stays unchanged.
	Decode func(endpointlist.Entry) (V, error)
	// ToEndpoint converts an endpoint for the selection of the source.
	ToEndpoint func(V) endpointsource.Endpoint[V]
	// WithState returns a copy of the endpoint in another state.
	WithState func(V, endpointsource.EndpointState) V
	// Apply applies a list to the node. If complete is false, entries are only the endpoints that have changed.
	Apply func(entries []V, version int64, complete bool)
	// WatchDiscovery starts or stops the node's own watch of discovery, which is stopped initially.
	WatchDiscovery func(on bool)
	// DiscoveryConnected reports whether the node's own watch of discovery is connected.
	DiscoveryConnected func() bool
	// CountSkipped adds to the count of records that were skipped because they could not be decoded.
	CountSkipped func(records int)
	// Recover is deferred in the goroutines of the subscription. It must recover from a panic.
	Recover func(component string, afterPanic func())
}

// Subscription is a node's subscription to the endpoint list. Its methods are safe for concurrent use.
type Subscription[V any] struct {
	config Config[V]
	client *relay.Client
	sink   *relay.SubscriberSink

	mu                  sync.Mutex
	selector            *endpointsource.Selector[V]
	hostTable           *relay.EndpointTable
	active              endpointsource.Source // source in the last log entry
	watchesDiscovery    bool                  // last argument of WatchDiscovery
	discoveryConnected  bool
	clientState         relay.ClientState
	skipsLastLoggedAtNs int64

	relaysOnly atomic.Bool // relays are the active source, and discovery is not watched
}

// New returns a subscription, which is inactive until Run is called. It returns an error if the configuration is
// invalid.
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

// Run keeps the endpoint list up to date until ctx is done. On a nil subscription it returns at once.
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

// applyUpdate applies an update to the node, and starts or stops the watch of discovery. The caller holds the lock.
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

// handleFrame applies the changes in a frame from a relay.
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

// decode returns the endpoints of changed records. Records that can't be decoded are counted and skipped.
func (s *Subscription[V]) decode(now int64, changes []distribution.Change) []endpointsource.Endpoint[V] {
	hostChanges := s.hostTable.Apply(changes)
	endpoints := make([]endpointsource.Endpoint[V], 0, len(hostChanges.Entries))
	for _, entry := range hostChanges.Entries {
		decoded, err := s.config.Decode(entry)
		if err != nil {
			hostChanges.Skipped++
			hostChanges.LastErr = err
			continue // the endpoint stays unchanged
		}
		endpoints = append(endpoints, s.config.ToEndpoint(decoded))
	}
	if hostChanges.Skipped > 0 {
		s.config.CountSkipped(hostChanges.Skipped)
		if now-s.skipsLastLoggedAtNs > skipLogIntervalNs {
			s.skipsLastLoggedAtNs = now
			s.config.Log.Warn("relay sent endpoint records that could not be decoded; skipping them", zap.Int("records", hostChanges.Skipped), zap.Error(hostChanges.LastErr))
		}
	}
	return endpoints
}

func (s *Subscription[V]) handleClientState(state relay.ClientState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientState = state
	if state.Connected {
		s.config.Log.Info("connected to relay", zap.String("relay", state.Upstream))
	} else if state.AllFailed {
		s.applyUpdate(s.selector.RelaysUnreachable(s.config.Clock()))
	}
}

// UpdateDiscovery handles an event of the node's own watch of discovery. complete: entries are the complete list.
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

// RelaysLastReceivedAt returns when anything was last received from a relay, in nanoseconds of Config.Clock. It returns
// 0 if relays are not the only source of the list. It takes no lock, and may be called on a nil subscription.
func (s *Subscription[V]) RelaysLastReceivedAt() int64 {
	if s == nil || !s.relaysOnly.Load() {
		return 0
	}
	return s.client.LastFrameNs()
}
