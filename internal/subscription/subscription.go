// Package subscription has a node go by relays, and by its own watch of discovery where they fail it: the client, the subscriber and the
// choice between the two, for a node that says how entries are read and what is done with them. It must never hold up the data
// path: it has one goroutine of its own beside the client's, and costs the relays' word, never service, when it fails.
package subscription

import (
	"context"
	"encoding/json"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/relay"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// beatEvery is how often time is let pass.
const tickInterval = 100 * time.Millisecond

// tellEvery is how often records that are passed over are told of.
const skipLogIntervalNs = int64(10e9)

// Settings of one node. V is an entry as the node has it.
type Config[V any] struct {
	Name            string
	Relays          []string
	Scopes          []string
	StaleAfterNs    int64        // ns without a word of any relay: discovery is watched
	RestoredVersion int64        // the version of the list that the node remembers from before its start; 0: none
	Clock           func() int64 // ns, monotone
	Log             *zap.Logger

	Decode             func(endpointlist.Entry) (V, error)
	ToEndpoint         func(V) endpointsource.Endpoint[V]           // how the choice sees an entry
	WithState          func(V, endpointsource.EndpointState) V      // an entry in another state
	Apply              func(entries []V, version int64, whole bool) // what the node is to go by; in order, one call at a time
	WatchDiscovery     func(on bool)                                // whether discovery is to be watched; off at first
	DiscoveryConnected func() bool                                  // whether a watch of it stands
	CountSkipped       func(records int)                            // counts what is passed over
	Recover            func(where string, then func())              // deferred in each goroutine: it stops a panic there
}

// Following is one node's.
type Subscription[V any] struct {
	config   Config[V]
	client   *relay.Client
	follower *relay.SubscriberSink
	scopes   []string // exact ones

	mu                 sync.Mutex
	selector           *endpointsource.Selector[V]
	hosts              *relay.HostTable
	watching           bool
	discoveryConnected bool
	clientState        relay.ClientState
	skipsLoggedAtNs    int64
	active             endpointsource.Source

	relaysOnly atomic.Bool // relays are in force, and discovery is not watched
}

// New makes one; nothing runs before Run. Only settings that make no sense are errors.
func New[V any](set Config[V]) (*Subscription[V], error) {
	f := &Subscription[V]{config: set, selector: endpointsource.New[V](set.Clock(), set.StaleAfterNs, set.RestoredVersion), hosts: relay.NewHostTable()}
	scopes := relay.WithOrigin(set.Scopes)
	core, err := distribution.NewSubscriber(relay.Selectors(scopes), distribution.Limits{})
	if err != nil {
		return nil, err
	}
	f.follower = relay.NewSubscriberSink(core, scopes, f.onFrame, set.Log)
	f.client = relay.NewClient(relay.ClientConfig{Name: set.Name, Upstreams: set.Relays, SpreadByName: true, Clock: set.Clock, OnState: f.onClientState},
		f.follower, set.Log)
	return f, nil
}

// Run follows until the context is done. A nil one follows nobody.
func (f *Subscription[V]) Run(ctx context.Context) {
	if f == nil {
		return
	}
	go func() {
		defer f.config.Recover("relays", func() {})
		f.client.Run(ctx)
	}()
	beats := time.NewTicker(tickInterval)
	defer beats.Stop()
	for {
		f.tick()
		select {
		case <-beats.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Subscription[V]) tick() {
	defer f.config.Recover("relays", func() {})
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock()
	if stands := f.config.DiscoveryConnected(); stands != f.discoveryConnected {
		f.discoveryConnected = stands
		f.applyUpdate(f.selector.SetDiscoveryConnected(now, stands))
	}
	f.applyUpdate(f.selector.Tick(now))
}

// tell has the node go by what was chosen, and watch discovery or not.
func (f *Subscription[V]) applyUpdate(t endpointsource.Update[V]) {
	if t.Valid {
		entries := make([]V, len(t.Endpoints))
		for i, s := range t.Endpoints {
			entries[i] = f.config.WithState(s.Value, s.State)
		}
		f.config.Apply(entries, t.Version, t.Complete)
	}
	if by := f.selector.Active(); by != f.active {
		f.config.Log.Info("the list is told by another", zap.Stringer("by", by), zap.Stringer("before", f.active), zap.Int64("version", t.Version))
		f.active = by
	}
	on := f.selector.WantsDiscovery(f.config.Clock())
	f.relaysOnly.Store(f.active == endpointsource.SourceRelays && !on)
	if on != f.watching {
		f.watching = on
		f.config.WatchDiscovery(on)
	}
}

// changed takes in what a frame has brought.
func (f *Subscription[V]) onFrame(now int64, changes []distribution.Change) {
	whole, age, known := false, int64(0), false
	f.follower.Inspect(func(s *distribution.Subscriber) {
		whole = s.Complete()
		age, known = s.Age(now, relay.ScopeOrigin)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, passed, err := f.hosts.Apply(changes)
	servers := make([]endpointsource.Endpoint[V], 0, len(entries))
	for _, e := range entries {
		one, wrong := f.config.Decode(e)
		if wrong != nil {
			passed, err = passed+1, wrong
			continue // what was known of it stays
		}
		servers = append(servers, f.config.ToEndpoint(one))
	}
	if passed > 0 {
		f.config.CountSkipped(passed)
		if now-f.skipsLoggedAtNs > skipLogIntervalNs {
			f.skipsLoggedAtNs = now
			f.config.Log.Warn("records passed over", zap.Int("records", passed), zap.Error(err))
		}
	}
	list, seen := f.hosts.Discovery()
	f.applyUpdate(f.selector.UpdateRelays(now, servers, whole, seen && list.Connected && known, now-age, list.Version))
}

func (f *Subscription[V]) onClientState(s relay.ClientState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clientState = s
	if s.Connected {
		f.config.Log.Info("follows", zap.String("relay", s.Upstream))
	} else if s.AllFailed {
		f.applyUpdate(f.selector.RelaysUnreachable(f.config.Clock()))
	}
}

// Discovery takes in a line of the node's own watch.
func (f *Subscription[V]) UpdateDiscovery(entries []V, version int64, whole bool) {
	servers := make([]endpointsource.Endpoint[V], len(entries))
	for i, e := range entries {
		servers[i] = f.config.ToEndpoint(e)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discoveryConnected = true
	f.applyUpdate(f.selector.UpdateDiscovery(f.config.Clock(), servers, whole, version))
}

// Word is when relays last told the list that the node goes by; 0: they do not. It waits for nobody.
func (f *Subscription[V]) RelaysHeardAt() int64 {
	if f == nil || !f.relaysOnly.Load() {
		return 0
	}
	return f.client.HeardAtNs()
}

// View is how it stands, for who asks.
type Status struct {
	Active           string            `json:"by"` // whose list is in force: nobody, relays, discovery
	Relay            string            `json:"relay,omitempty"`
	LastError        string            `json:"why,omitempty"`  // the last one was left
	AgeSeconds       float64           `json:"age_s"`          // of what relays told; -1: not known
	ListVersion      int64             `json:"seq"`            // of discovery's list, that the relays' origin has
	WatchesDiscovery bool              `json:"watch"`          // discovery is to be watched
	Switches         int64             `json:"moves"`          // from one teller to the other
	Complete         bool              `json:"whole"`          // all scopes have been whole once
	SkippedRecords   int64             `json:"records_spoilt"` // passed over
	Client           relay.ClientStats `json:"client"`
	Records          int               `json:"records"`
	Position         [2]uint64         `json:"position"` // epoch and version of what relays told
}

// Text is the view as JSON.
func (f *Subscription[V]) StatusJSON() string {
	var v Status
	f.follower.Inspect(func(s *distribution.Subscriber) {
		stats := s.Stats()
		v.Complete, v.Records, v.SkippedRecords = s.Complete(), stats.Records, stats.InvalidRecords
		at := s.Position(relay.ScopeOrigin)
		v.Position = [2]uint64{at.Epoch, at.Through}
		v.AgeSeconds = -1
		if age, known := s.Age(f.config.Clock(), relay.ScopeOrigin); known {
			v.AgeSeconds = float64(age) / 1e9
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	list, _ := f.hosts.Discovery()
	v.Active, v.Relay, v.LastError, v.ListVersion, v.WatchesDiscovery, v.Switches, v.Client = f.active.String(), f.clientState.Upstream, f.clientState.Reason, list.Version, f.watching, f.selector.Switches, f.client.Stats()
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
