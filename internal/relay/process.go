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
	closeTimeout = 2 * time.Second
	maxFreshAge  = 4 * time.Second // an upstream that has told nothing for so long is behind, as greetings say
)

func fileStampOf(info fs.FileInfo) fileStamp {
	s := fileStamp{size: info.Size(), modifiedNs: info.ModTime().UnixNano()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		s.inode = sys.Ino
	}
	return s
}

// Process is one origin or one relay.
type Process struct {
	config   *Config
	log      *zap.Logger
	listener net.Listener
	server   *Server
	relay    *distribution.Relay

	origin    *distribution.Origin // of an origin
	watch     *discoveryWatch
	directory *configDirectory
	refused   counter // records that the origin did not take
	warnings  warnLimiter

	client *Client // of a relay
}

// NewProcess makes one that listens; nothing runs before Run.
func NewProcess(config *Config, log *zap.Logger) (*Process, error) {
	p := &Process{config: config, log: log.With(zap.String("name", config.Name), zap.String("role", config.Role))}
	limits := distribution.Limits{Records: config.Limits.Records, Bytes: config.Limits.Bytes, Subscribers: config.Limits.Subscribers}
	set := ServerConfig{BytesPerSecond: config.BytesPerSecond, Clock: NewClock()}
	if n := config.Limits.Subscribers; n > 0 {
		set.MaxConnections, set.MaxPendingHellos = n+n/4+16, n+16 // all of a region's nodes may come at once
	} else {
		set.MaxConnections, set.MaxPendingHellos = 10_000, 8192
	}
	if config.Origin != nil {
		epoch, err := nextEpoch(config.Origin.State, time.Now().UnixNano())
		if err != nil {
			return nil, err
		}
		p.origin = distribution.NewOrigin(epoch, limits)
		p.relay = p.origin.Relay()
		p.log.Info("origin", zap.Uint64("epoch", epoch))
	} else {
		p.relay = distribution.NewRelay(limits)
		if err := p.relay.Follow(Selectors(WithOrigin(config.Scopes))); err != nil {
			return nil, err
		}
	}
	set.Fresh = func() bool { return p.isFresh(set.Clock()) }
	p.server = NewServer(p.relay, set, p.log)
	if p.origin != nil {
		p.openSources()
	} else {
		p.client = NewClient(ClientConfig{Name: config.Name, Upstreams: config.Upstream, Clock: set.Clock, OnState: p.onClientState},
			&relaySink{server: p.server, relay: p.relay}, p.log)
	}
	how := net.ListenConfig{KeepAlive: -1}
	listener, err := how.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = listener
	return p, nil
}

func (p *Process) isFresh(now int64) bool {
	age, known := p.relay.Age(now)
	return known && age < int64(maxFreshAge)
}

func (p *Process) onClientState(s ClientState) {
	if s.Connected {
		p.log.Info("follows", zap.String("upstream", s.Upstream))
	} else {
		p.warnings.warn(p.log, "left "+s.Upstream, "left", zap.String("upstream", s.Upstream), zap.String("why", s.Reason))
	}
}

// truth makes what an origin's truth comes from, and has it wait for all of it.
func (p *Process) openSources() {
	set := p.config.Origin
	if set.Discovery != "" {
		p.origin.Await(KindEndpoint)
		hosts := newEndpointRecords(&set.ScopeRule)
		p.watch = &discoveryWatch{
			address: set.Discovery, limits: endpointlist.LimitsFor(int64(p.config.Limits.Bytes)), silenceTimeout: watchSilenceTimeout, clock: p.server.config.Clock, log: p.log, toRecord: hosts.record,
			apply: func(told []distribution.Record, whole, first bool) {
				p.server.Do(func(now int64) { p.warnRefused(hosts.apply(now, p.origin, told, whole, first)) })
			},
		}
	}
	if set.Configuration != "" {
		p.origin.Await(kindConfiguration)
		p.directory = newConfigDirectory(set.Configuration, p.log)
	}
}

func (p *Process) warnRefused(err error) {
	if err != nil {
		p.refused.Add(1)
		p.warnings.warn(p.log, "record", "records passed over", zap.Error(err))
	}
}

// How often the origin says how far it hears discovery, if that has changed: a version a second, and at once that it does not hear it.
const (
	stateCheckInterval     = 100 * time.Millisecond
	statePublishIntervalNs = int64(time.Second)
)

// tellList has every node know how far the origin hears discovery.
func (p *Process) publishDiscoveryState(ctx context.Context) {
	ticks := time.NewTicker(stateCheckInterval)
	defer ticks.Stop()
	var stands connectionGrace
	var told DiscoveryState
	for at := int64(0); ; {
		now := p.server.config.Clock()
		is := DiscoveryState{p.watch.appliedVersion.Load(), stands.connected(now, p.watch.heardAtNs.Load())}
		if is.Version > 0 && (is.Connected != told.Connected || is != told && now-at >= statePublishIntervalNs) {
			p.server.Do(func(now int64) {
				_, err := p.origin.Put(now, ScopeOrigin, KeyDiscovery, distribution.ClassConfiguration, is.body())
				p.warnRefused(err)
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
func (p *Process) watchDirectory(ctx context.Context) {
	ticks := time.NewTicker(time.Duration(p.config.Origin.PollIntervalNs))
	defer ticks.Stop()
	for read := false; ; {
		changes, whole := p.directory.scan()
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
const applyBatchRecords = 512

func (p *Process) apply(changes []change, whole bool) {
	for rest := changes; len(rest) > 0; {
		slice := rest[:min(applyBatchRecords, len(rest))]
		rest = rest[len(slice):]
		p.server.Do(func(now int64) {
			for _, c := range slice {
				if r := c.record; r.Deleted {
					p.origin.Remove(now, r.Scope, r.Key)
				} else if _, err := p.origin.Put(now, r.Scope, r.Key, r.Class, r.Body); err != nil {
					p.warnRefused(err)
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
		parts.Go(func() { p.publishDiscoveryState(ctx) })
	}
	if p.directory != nil {
		parts.Go(func() { p.watchDirectory(ctx) })
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
				p.logCounters("asked for")
				continue
			}
			p.log.Info("stopping", zap.Stringer("signal", s))
			p.listener.Close()
			cancel()
			limit, done := context.WithTimeout(context.Background(), closeTimeout)
			defer done()
			if err := p.server.Close(limit); err != nil {
				p.log.Warn("stops with subscribers open", zap.Error(err))
			}
			parts.Wait()
			p.logCounters("at exit")
			return nil
		}
	}
}

func (p *Process) logCounters(why string) {
	var stats distribution.Stats
	var age int64
	var known bool
	p.server.Do(func(now int64) {
		stats = p.relay.Stats()
		age, known = p.relay.Age(now)
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
			zap.Int64("list entries passed over", w.skipped.Load()))
	}
	if d := p.directory; d != nil {
		fields = append(fields, zap.Int64("files read", d.filesRead.Load()), zap.Int64("files passed over", d.invalid.Load()))
	}
	if p.origin != nil {
		fields = append(fields, zap.Int64("records refused", p.refused.Load()))
	}
	p.log.Info("counters "+why, fields...)
}
