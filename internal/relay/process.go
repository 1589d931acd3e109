package relay

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"

	"go.uber.org/zap"
)

const (
	closeTimeout = 2 * time.Second
	maxFreshAge  = 4 * time.Second // a relay that knows of nothing newer is behind, as its greetings say
	signalBuffer = 16

	// Without limits.subscribers: 8,192 subscribers, and as many more that connect at once.
	defaultProcessConnections = 10_000
	defaultProcessHellos      = 8192
	spareConnections          = 16
)

// Process is an origin or a relay with its sources, its server and its counters.
type Process struct {
	config   *Config
	log      *zap.Logger
	clock    func() int64
	listener net.Listener
	server   *Server
	relay    *distribution.Relay
	warnings warnLimiter

	// Of an origin.
	origin    *distribution.Origin
	watch     *discoveryWatch  // nil: no endpoints
	directory *configDirectory // nil: no configuration
	refused   atomic.Int64     // records that the origin refused

	client *Client // of a relay
}

// NewProcess returns a process that listens; nothing else runs before Run. An error says that the origin's epoch
// can't be stored, a scope is invalid or the address can't be listened on.
func NewProcess(config *Config, log *zap.Logger) (*Process, error) {
	p := &Process{
		config: config,
		log:    log.With(zap.String("name", config.Name), zap.String("role", config.Role)),
		clock:  NewClock(),
	}
	if err := p.newRelay(); err != nil {
		return nil, err
	}
	p.server = NewServer(p.relay, p.serverConfig(), p.log)
	if p.origin != nil {
		p.openSources(config.Origin)
	} else {
		p.client = NewClient(ClientConfig{
			Name:      config.Name,
			Upstreams: config.Upstream,
			Clock:     p.clock,
			OnState:   p.onClientState,
		}, &relaySink{server: p.server, relay: p.relay}, p.log)
	}
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = listener
	return p, nil
}

// newRelay makes the relay, or the origin with its relay.
func (p *Process) newRelay() error {
	limits := distribution.Limits{
		Records:     p.config.Limits.Records,
		Bytes:       p.config.Limits.Bytes,
		Subscribers: p.config.Limits.Subscribers,
	}
	if p.config.Origin == nil {
		p.relay = distribution.NewRelay(limits)
		return p.relay.Follow(Selectors(WithOrigin(p.config.Scopes)))
	}
	epoch, err := nextEpoch(p.config.Origin.State, time.Now().UnixNano())
	if err != nil {
		return err
	}
	p.origin = distribution.NewOrigin(epoch, limits)
	p.relay = p.origin.Relay()
	p.log.Info("origin", zap.Uint64("epoch", epoch))
	return nil
}

func (p *Process) serverConfig() ServerConfig {
	config := ServerConfig{
		BytesPerSecond:   p.config.BytesPerSecond,
		MaxConnections:   defaultProcessConnections,
		MaxPendingHellos: defaultProcessHellos,
		Clock:            p.clock,
		Fresh:            func() bool { return p.isFresh(p.clock()) },
	}
	if n := p.config.Limits.Subscribers; n > 0 {
		config.MaxConnections = n + n/4 + spareConnections
		config.MaxPendingHellos = n + spareConnections // all of a region's nodes may connect at once
	}
	return config
}

// isFresh reports whether the relay is complete and not behind. The server's lock is held.
func (p *Process) isFresh(now int64) bool {
	age, known := p.relay.Age(now)
	return known && age < int64(maxFreshAge)
}

func (p *Process) onClientState(state ClientState) {
	if state.Connected {
		p.log.Info("upstream connected", zap.String("upstream", state.Upstream))
		return
	}
	p.warnings.warn(p.log, "left "+state.Upstream, "upstream left",
		zap.String("upstream", state.Upstream), zap.String("reason", state.Reason))
}

// openSources opens an origin's sources, and has it await both before it claims to be complete.
func (p *Process) openSources(config *OriginConfig) {
	if config.Discovery != "" {
		p.origin.Await(KindEndpoint)
		p.watch = p.newDiscoveryWatch(config)
	}
	if config.Configuration != "" {
		p.origin.Await(kindConfiguration)
		p.directory = newConfigDirectory(config.Configuration, p.log)
	}
}

func (p *Process) newDiscoveryWatch(config *OriginConfig) *discoveryWatch {
	hosts := endpointRecords{}
	return &discoveryWatch{
		address:        config.Discovery,
		limits:         endpointlist.LimitsFor(int64(p.config.Limits.Bytes)),
		silenceTimeout: watchSilenceTimeout,
		clock:          p.clock,
		log:            p.log,
		toRecord: func(entry endpointlist.Entry) (distribution.Record, error) {
			return newEndpointRecord(&config.Scope, entry)
		},
		apply: func(event watchEvent) {
			p.server.Do(func(now int64) { p.warnRefused(hosts.apply(now, p.origin, event)) })
		},
	}
}

// warnRefused counts and logs that the origin refused records, if err says so.
func (p *Process) warnRefused(err error) {
	if err != nil {
		p.refused.Add(1)
		p.warnings.warn(p.log, "record", "records refused", zap.Error(err))
	}
}

// Address returns where subscribers connect.
func (p *Process) Address() string { return p.listener.Addr().String() }

// Signals returns a channel of the signals that Run handles: SIGTERM, SIGINT and SIGUSR1, from the call on. SIGPIPE is
// ignored.
func Signals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	return signals
}

// Run serves until SIGTERM or SIGINT, and logs the counters at SIGUSR1. An error says that the listener has failed.
func (p *Process) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tasks := p.start(ctx)
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(p.listener) }()
	p.log.Info("serving", zap.String("listen", p.Address()))
	for {
		select {
		case err := <-served:
			return fmt.Errorf("the listener ended: %w", err)
		case received := <-signals:
			if received == syscall.SIGUSR1 {
				p.logCounters("asked for")
				continue
			}
			p.log.Info("stopping", zap.Stringer("signal", received))
			p.stop(cancel, tasks)
			return nil
		}
	}
}

// start starts the client of a relay, or the sources of an origin.
func (p *Process) start(ctx context.Context) *sync.WaitGroup {
	tasks := &sync.WaitGroup{}
	if p.client != nil {
		tasks.Go(func() { p.client.Run(ctx) })
	}
	if p.watch != nil {
		tasks.Go(func() { p.watch.run(ctx) })
		tasks.Go(func() { p.publishDiscoveryState(ctx) })
	}
	if p.directory != nil {
		tasks.Go(func() { p.watchDirectory(ctx) })
	}
	return tasks
}

// stop closes the listener, all connections and what start has started, in this order.
func (p *Process) stop(cancel context.CancelFunc, tasks *sync.WaitGroup) {
	p.listener.Close()
	cancel()
	closeCtx, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	if err := p.server.Close(closeCtx); err != nil {
		p.log.Warn("stops with subscribers open", zap.Error(err))
	}
	tasks.Wait()
	p.logCounters("at exit")
}

// unknownAge stands in the log for an age that is not known.
const unknownAge = -time.Second

func (p *Process) logCounters(when string) {
	var stats distribution.Stats
	age := unknownAge
	p.server.Do(func(now int64) {
		stats = p.relay.Stats()
		if ageNs, known := p.relay.Age(now); known {
			age = time.Duration(ageNs)
		}
	})
	fields := []zap.Field{
		zap.Float64("age s", float64(age)/float64(time.Second)),
		zap.Any("records", stats),
		zap.Any("server", p.server.Stats()),
	}
	if p.client != nil {
		fields = append(fields, zap.Any("client", p.client.Stats()))
	}
	if w := p.watch; w != nil {
		fields = append(fields,
			zap.Int64("list watches", w.calls.Load()),
			zap.Int64("list watches failed", w.failed.Load()),
			zap.Int64("list updates", w.events.Load()),
			zap.Int64("list entries skipped", w.skipped.Load()))
	}
	if d := p.directory; d != nil {
		fields = append(fields,
			zap.Int64("files read", d.filesRead.Load()),
			zap.Int64("files skipped", d.filesSkipped.Load()))
	}
	if p.origin != nil {
		fields = append(fields, zap.Int64("records refused", p.refused.Load()))
	}
	p.log.Info("counters "+when, fields...)
}
