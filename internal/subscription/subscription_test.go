package subscription

import (
	"context"
	"errors"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/relay"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// node is a node's part in it.
type node struct {
	panics atomic.Int64
	watch  atomic.Bool
	mu     sync.Mutex
	told   map[string]string
}

func (n *node) caught(string, func()) {
	if recover() != nil {
		n.panics.Add(1)
	}
}

func (n *node) has(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told[name]
}

// entry is one as the node under test has it.
type entry struct {
	name, by string
	state    endpointsource.EndpointState
}

func (n *node) tell(entries []entry, _ int64, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if whole {
		n.told = map[string]string{}
	}
	for _, e := range entries {
		if n.told[e.name] = e.by; e.state == endpointsource.StateRemoved {
			delete(n.told, e.name)
		}
	}
}

func soon(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

func endpoint(host string) []byte { return fmt.Appendf(nil, `{"host":%q,"health":"up"}`, host) }

func TestAPanicCostsTheRelaysWordAlone(t *testing.T) {
	o := distribution.NewOrigin(1, distribution.Limits{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(o.Relay(), relay.ServerConfig{}, zap.NewNop())
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close(context.Background()) })
	s.Do(func(now int64) {
		o.Put(now, "eu1/cart", "endpoint/good", distribution.ClassEndpoint, endpoint("good"))
		o.Put(now, relay.ScopeOrigin, relay.KeyDiscovery, distribution.ClassConfiguration, []byte(`{"seq":3,"stands":true}`))
	})
	n := &node{told: map[string]string{}}
	var passed atomic.Int64
	f, err := New(Config[entry]{
		Name: "n", Relays: []string{l.Addr().String()}, Scopes: []string{"eu1/cart"}, StaleAfterNs: 1e9, Clock: relay.NewClock(), Log: zap.NewNop(),
		Decode: func(e endpointlist.Entry) (entry, error) {
			if e.Name == "spoilt" {
				return entry{}, errors.New("spoilt")
			}
			if e.Name == "bad" {
				panic("bad")
			}
			return entry{name: e.Name, by: "by relays", state: map[bool]endpointsource.EndpointState{true: endpointsource.StateRemoved}[e.State == "removed"]}, nil
		}, ToEndpoint: func(e entry) endpointsource.Endpoint[entry] {
			return endpointsource.Endpoint[entry]{Name: e.name, State: e.state, Value: e}
		},
		WithState: func(e entry, s endpointsource.EndpointState) entry { e.state = s; return e }, Apply: n.tell, WatchDiscovery: n.watch.Store, DiscoveryConnected: func() bool { return n.watch.Load() }, CountSkipped: func(n int) { passed.Add(int64(n)) }, Recover: n.caught,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	soon(t, "the list by relays", func() bool { return n.has("good") == "by relays" })
	s.Do(func(now int64) {
		o.Put(now, "eu1/cart", "endpoint/spoilt", distribution.ClassEndpoint, endpoint("spoilt"))
		o.Put(now, "eu1/cart", "endpoint/another", distribution.ClassEndpoint, endpoint("another"))
	})
	soon(t, "the one beside the spoilt one", func() bool { return n.has("another") == "by relays" })
	n.mu.Lock()
	if len(n.told) != 2 || passed.Load() != 1 {
		t.Errorf("%q told, %d passed over; expected two and one", n.told, passed.Load())
	}
	n.mu.Unlock()
	s.Do(func(now int64) { o.Put(now, "eu1/cart", "endpoint/bad", distribution.ClassEndpoint, endpoint("bad")) })
	soon(t, "the panic", func() bool { return n.panics.Load() > 0 })
	soon(t, "a watch of discovery", n.watch.Load)
	f.UpdateDiscovery([]entry{{name: "good", by: "by discovery"}}, 4, true)
	soon(t, "discovery's list", func() bool { return n.has("good") == "by discovery" })
	if f.RelaysHeardAt() != 0 {
		t.Error("relays still count as heard")
	}
	if text := f.StatusJSON(); text == "" {
		t.Error("no view")
	}
}

// A host that two scopes have stays until neither has it, in whatever order that is told.
func TestAHostInTwoScopes(t *testing.T) {
	put := func(scope, host string, gone bool) distribution.Change {
		return distribution.Change{Record: distribution.Record{Scope: scope, Key: relay.EndpointKey(host), Deleted: gone, Body: endpoint(host)}}
	}
	h := relay.NewHostTable()
	for i, step := range []struct {
		change distribution.Change
		health string
	}{{put("a", "h", false), "up"}, {put("b", "h", false), "up"}, {put("a", "h", true), "up"}, {put("b", "h", true), "removed"}, {put("b", "h", true), ""}} {
		told, passed, err := h.Apply([]distribution.Change{step.change})
		if step.health == "" && len(told) == 0 {
			continue
		}
		if err != nil || passed != 0 || len(told) != 1 || told[0].State != step.health {
			t.Errorf("step %d: %+v, %d, %v; expected %q", i, told, passed, err, step.health)
		}
	}
}
