package relay

// This file owns the process of an origin or a relay: its parts, its counters, its end. It must never end by itself once it serves.

import (
	"context"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

type counter = atomic.Int64

const (
	closeWithin = 2 * time.Second
	freshWithin = 4 * time.Second // an upstream that has told nothing for so long is behind, as greetings say
)

func stampOf(info fs.FileInfo) stamp {
	s := stamp{size: info.Size(), changed: info.ModTime().UnixNano()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		s.id = sys.Ino
	}
	return s
}

// Process is one origin or one relay.
type Process struct {
	config   *Config
	log      *zap.Logger
	listener net.Listener
	server   *Server
	core     *distribution.Relay

	origin    *distribution.Origin // of an origin
	watch     *watch
	directory *directory
	refused   counter // records that the origin did not take
	told      rarely

	client *Client // of a relay
}

// NewProcess makes one that listens; nothing runs before Run.
func NewProcess(config *Config, log *zap.Logger) (*Process, error) {
	p := &Process{config: config, log: log.With(zap.String("name", config.Name), zap.String("role", config.Role))}
	limits := distribution.Limits{Records: config.Limits.Records, Bytes: config.Limits.Bytes, Subscribers: config.Limits.Subscribers}
	set := ServerSettings{Pace: config.Pace, Clock: NewClock()}
	if n := config.Limits.Subscribers; n > 0 {
		set.Connections, set.Hellos = n+n/4+16, n+16 // all of a region's nodes may come at once
	} else {
		set.Connections, set.Hellos = 10_000, 8192
	}
	if config.Origin != nil {
		epoch, err := nextEpoch(config.Origin.State, time.Now().UnixNano())
		if err != nil {
			return nil, err
		}
		p.origin = distribution.NewOrigin(epoch, limits)
		p.core = p.origin.Relay()
		p.log.Info("origin", zap.Uint64("epoch", epoch))
	} else {
		p.core = distribution.NewRelay(limits)
		if err := p.core.Follow(Selectors(WithOrigin(config.Scopes))); err != nil {
			return nil, err
		}
	}
	set.Fresh = func() bool { return p.fresh(set.Clock()) }
	p.server = NewServer(p.core, set, p.log)
	if p.origin != nil {
		p.truth()
	} else {
		p.client = NewClient(ClientSettings{Name: config.Name, Upstreams: config.Upstream, Clock: set.Clock, OnState: p.state},
			&upstream{server: p.server, core: p.core}, p.log)
	}
	how := net.ListenConfig{KeepAlive: -1}
	listener, err := how.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = listener
	return p, nil
}

func (p *Process) fresh(now int64) bool {
	age, known := p.core.Age(now)
	return known && age < int64(freshWithin)
}

func (p *Process) state(s State) {
	if s.Connected {
		p.log.Info("follows", zap.String("upstream", s.Upstream))
	} else {
		p.told.warn(p.log, "left "+s.Upstream, "left", zap.String("upstream", s.Upstream), zap.String("why", s.Why))
	}
}

// truth makes what an origin's truth comes from, and has it wait for all of it.
func (p *Process) truth() {
	set := p.config.Origin
	if set.Discovery != "" {
		p.origin.Await(KindEndpoint)
		hosts := newEndpoints(&set.Scope)
		p.watch = &watch{
			address: set.Discovery, limits: endpointlist.LimitsFor(int64(p.config.Limits.Bytes)), silence: watchSilence, clock: p.server.set.Clock, log: p.log, record: hosts.record,
			take: func(told []distribution.Record, whole, first bool) {
				p.server.Do(func(now int64) { p.complain(hosts.take(now, p.origin, told, whole, first)) })
			},
		}
	}
	if set.Configuration != "" {
		p.origin.Await(kindConfiguration)
		p.directory = newDirectory(set.Configuration, p.log)
	}
}

func (p *Process) complain(err error) {
	if err != nil {
		p.refused.Add(1)
		p.told.warn(p.log, "record", "records passed over", zap.Error(err))
	}
}

// How often the origin says how far it hears discovery, if that has changed: a version a second, and at once that it does not hear it.
const (
	lookEveryList = 100 * time.Millisecond
	tellEveryList = int64(time.Second)
)

// tellList has every node know how far the origin hears discovery.
func (p *Process) tellList(ctx context.Context) {
	ticks := time.NewTicker(lookEveryList)
	defer ticks.Stop()
	var stands standing
	var told List
	for at := int64(0); ; {
		now := p.server.set.Clock()
		is := List{p.watch.had.Load(), stands.look(now, p.watch.word.Load())}
		if is.Version > 0 && (is.Stands != told.Stands || is != told && now-at >= tellEveryList) {
			p.server.Do(func(now int64) {
				_, err := p.origin.Put(now, ScopeOrigin, KeyList, distribution.ClassConfiguration, is.body())
				p.complain(err)
			})
			told, at = is, now
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// configure looks at the directory once in a while.
func (p *Process) configure(ctx context.Context) {
	ticks := time.NewTicker(time.Duration(p.config.Origin.EveryNs))
	defer ticks.Stop()
	for read := false; ; {
		changes, whole := p.directory.look()
		if len(changes) > 0 || whole && !read {
			p.apply(changes, whole)
			read = read || whole
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// applySlice is how many records are put between two looks of others at the feed.
const applySlice = 512

func (p *Process) apply(changes []change, whole bool) {
	for rest := changes; len(rest) > 0; {
		slice := rest[:min(applySlice, len(rest))]
		rest = rest[len(slice):]
		p.server.Do(func(now int64) {
			for _, c := range slice {
				if r := c.record; r.Deleted {
					p.origin.Remove(now, r.Scope, r.Key)
				} else if _, err := p.origin.Put(now, r.Scope, r.Key, r.Class, r.Body); err != nil {
					p.complain(err)
				}
			}
		})
	}
	if whole {
		p.server.Do(func(now int64) { p.origin.Replace(now, kindConfiguration, nil) })
	}
}

// Address is where subscribers connect.
func (p *Process) Address() string { return p.listener.Addr().String() }

// Signals hears what the platform tells the process, from the call on.
func Signals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	return signals
}

// Run serves until SIGTERM or SIGINT.
func (p *Process) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var parts sync.WaitGroup
	if p.client != nil {
		parts.Go(func() { p.client.Run(ctx) })
	}
	if p.watch != nil {
		parts.Go(func() { p.watch.run(ctx) })
		parts.Go(func() { p.tellList(ctx) })
	}
	if p.directory != nil {
		parts.Go(func() { p.configure(ctx) })
	}
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(p.listener) }()
	p.log.Info("serving", zap.String("listen", p.Address()))
	for {
		select {
		case err := <-served:
			return fmt.Errorf("the listener ended: %w", err)
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.counters("asked for")
				continue
			}
			p.log.Info("stopping", zap.Stringer("signal", s))
			p.listener.Close()
			cancel()
			limit, done := context.WithTimeout(context.Background(), closeWithin)
			defer done()
			if err := p.server.Close(limit); err != nil {
				p.log.Warn("stops with subscribers open", zap.Error(err))
			}
			parts.Wait()
			p.counters("at exit")
			return nil
		}
	}
}

func (p *Process) counters(why string) {
	var stats distribution.Stats
	var age int64
	var known bool
	p.server.Do(func(now int64) {
		stats = p.core.Stats()
		age, known = p.core.Age(now)
	})
	if !known {
		age = -1e9
	}
	fields := []zap.Field{zap.Float64("age s", float64(age)/1e9), zap.Any("records", stats), zap.Any("server", p.server.Stats())}
	if p.client != nil {
		fields = append(fields, zap.Any("client", p.client.Stats()))
	}
	if w := p.watch; w != nil {
		fields = append(fields, zap.Int64("list calls", w.calls.Load()), zap.Int64("list calls failed", w.failed.Load()), zap.Int64("list lines", w.lines.Load()),
			zap.Int64("list entries passed over", w.passed.Load()))
	}
	if d := p.directory; d != nil {
		fields = append(fields, zap.Int64("files read", d.read.Load()), zap.Int64("files passed over", d.bad.Load()))
	}
	if p.origin != nil {
		fields = append(fields, zap.Int64("records refused", p.refused.Load()))
	}
	p.log.Info("counters "+why, fields...)
}
