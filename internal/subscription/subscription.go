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
const beatEvery = 100 * time.Millisecond

// tellEvery is how often records that are passed over are told of.
const tellEvery = int64(10e9)

// Settings of one node. V is an entry as the node has it.
type Settings[V any] struct {
	Name    string
	Relays  []string
	Scopes  []string
	Silence int64        // ns without a word of any relay: discovery is watched
	Before  int64        // the version of the list that the node remembers from before its start; 0: none
	Clock   func() int64 // ns, monotone
	Log     *zap.Logger

	Entry  func(endpointlist.Entry) (V, error)
	Of     func(V) endpointsource.Server[V]             // how the choice sees an entry
	As     func(V, endpointsource.State) V              // an entry in another state
	Tell   func(entries []V, version int64, whole bool) // what the node is to go by; in order, one call at a time
	Watch  func(on bool)                                // whether discovery is to be watched; off at first
	Stands func() bool                                  // whether a watch of it stands
	Passed func(records int)                            // counts what is passed over
	Caught func(where string, then func())              // deferred in each goroutine: it stops a panic there
}

// Following is one node's.
type Following[V any] struct {
	set      Settings[V]
	client   *relay.Client
	follower *relay.Follower
	scopes   []string // exact ones

	mu     sync.Mutex
	choice *endpointsource.Sources[V]
	hosts  *relay.Hosts
	on     bool
	stood  bool
	state  relay.State
	told   int64
	by     endpointsource.Teller

	relaying atomic.Bool // relays are in force, and discovery is not watched
}

// New makes one; nothing runs before Run. Only settings that make no sense are errors.
func New[V any](set Settings[V]) (*Following[V], error) {
	f := &Following[V]{set: set, choice: endpointsource.New[V](set.Clock(), set.Silence, set.Before), hosts: relay.NewHosts()}
	scopes := relay.WithOrigin(set.Scopes)
	core, err := distribution.NewSubscriber(relay.Selectors(scopes), distribution.Limits{})
	if err != nil {
		return nil, err
	}
	f.follower = relay.NewFollower(core, scopes, f.changed, set.Log)
	f.client = relay.NewClient(relay.ClientSettings{Name: set.Name, Upstreams: set.Relays, Spread: true, Clock: set.Clock, OnState: f.stateIs},
		f.follower, set.Log)
	return f, nil
}

// Run follows until the context is done. A nil one follows nobody.
func (f *Following[V]) Run(ctx context.Context) {
	if f == nil {
		return
	}
	go func() {
		defer f.set.Caught("relays", func() {})
		f.client.Run(ctx)
	}()
	beats := time.NewTicker(beatEvery)
	defer beats.Stop()
	for {
		f.beat()
		select {
		case <-beats.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Following[V]) beat() {
	defer f.set.Caught("relays", func() {})
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.set.Clock()
	if stands := f.set.Stands(); stands != f.stood {
		f.stood = stands
		f.tell(f.choice.DiscoveryStands(now, stands))
	}
	f.tell(f.choice.Beat(now))
}

// tell has the node go by what was chosen, and watch discovery or not.
func (f *Following[V]) tell(t endpointsource.Told[V]) {
	if t.Any {
		entries := make([]V, len(t.Servers))
		for i, s := range t.Servers {
			entries[i] = f.set.As(s.Value, s.State)
		}
		f.set.Tell(entries, t.Version, t.Whole)
	}
	if by := f.choice.By(); by != f.by {
		f.set.Log.Info("the list is told by another", zap.Stringer("by", by), zap.Stringer("before", f.by), zap.Int64("version", t.Version))
		f.by = by
	}
	on := f.choice.Watch(f.set.Clock())
	f.relaying.Store(f.by == endpointsource.Relays && !on)
	if on != f.on {
		f.on = on
		f.set.Watch(on)
	}
}

// changed takes in what a frame has brought.
func (f *Following[V]) changed(now int64, changes []distribution.Change) {
	whole, age, known := false, int64(0), false
	f.follower.Look(func(s *distribution.Subscriber) {
		whole = s.Complete()
		age, known = s.Age(now, relay.ScopeOrigin)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, passed, err := f.hosts.Take(changes)
	servers := make([]endpointsource.Server[V], 0, len(entries))
	for _, e := range entries {
		one, wrong := f.set.Entry(e)
		if wrong != nil {
			passed, err = passed+1, wrong
			continue // what was known of it stays
		}
		servers = append(servers, f.set.Of(one))
	}
	if passed > 0 {
		f.set.Passed(passed)
		if now-f.told > tellEvery {
			f.told = now
			f.set.Log.Warn("records passed over", zap.Int("records", passed), zap.Error(err))
		}
	}
	list, seen := f.hosts.List()
	f.tell(f.choice.RelaysTold(now, servers, whole, seen && list.Stands && known, now-age, list.Version))
}

func (f *Following[V]) stateIs(s relay.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	if s.Connected {
		f.set.Log.Info("follows", zap.String("relay", s.Upstream))
	} else if s.Round {
		f.tell(f.choice.RelaysLost(f.set.Clock()))
	}
}

// Discovery takes in a line of the node's own watch.
func (f *Following[V]) Discovery(entries []V, version int64, whole bool) {
	servers := make([]endpointsource.Server[V], len(entries))
	for i, e := range entries {
		servers[i] = f.set.Of(e)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stood = true
	f.tell(f.choice.DiscoveryTold(f.set.Clock(), servers, whole, version))
}

// Word is when relays last told the list that the node goes by; 0: they do not. It waits for nobody.
func (f *Following[V]) Word() int64 {
	if f == nil || !f.relaying.Load() {
		return 0
	}
	return f.client.Heard()
}

// View is how it stands, for who asks.
type View struct {
	By       string            `json:"by"` // whose list is in force: nobody, relays, discovery
	Relay    string            `json:"relay,omitempty"`
	Why      string            `json:"why,omitempty"`  // the last one was left
	AgeS     float64           `json:"age_s"`          // of what relays told; -1: not known
	Seq      int64             `json:"seq"`            // of discovery's list, that the relays' origin has
	Watch    bool              `json:"watch"`          // discovery is to be watched
	Moves    int64             `json:"moves"`          // from one teller to the other
	Whole    bool              `json:"whole"`          // all scopes have been whole once
	Spoilt   int64             `json:"records_spoilt"` // passed over
	Client   relay.ClientStats `json:"client"`
	Records  int               `json:"records"`
	Position [2]uint64         `json:"position"` // epoch and version of what relays told
}

// Text is the view as JSON.
func (f *Following[V]) Text() string {
	var v View
	f.follower.Look(func(s *distribution.Subscriber) {
		stats := s.Stats()
		v.Whole, v.Records, v.Spoilt = s.Complete(), stats.Records, stats.Spoilt
		at := s.Position(relay.ScopeOrigin)
		v.Position = [2]uint64{at.Epoch, at.Through}
		v.AgeS = -1
		if age, known := s.Age(f.set.Clock(), relay.ScopeOrigin); known {
			v.AgeS = float64(age) / 1e9
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	list, _ := f.hosts.List()
	v.By, v.Relay, v.Why, v.Seq, v.Watch, v.Moves, v.Client = f.by.String(), f.state.Upstream, f.state.Why, list.Version, f.on, f.choice.Moves, f.client.Stats()
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
