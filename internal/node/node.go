// Package node is one real node: the decisions of package policy on sockets.
package node

// This file owns a node's configuration, its start and its end. It must never take part in a request.

import (
	"context"
	"encoding/json"
	"errors"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/features"
	"fawnglade/internal/settings"
	"fawnglade/internal/store"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	acceptAfterTerm         = 450 * time.Millisecond // after SIGTERM, as connections go on coming for a while
	acceptAfterTermReplaced = 700 * time.Millisecond // where a successor takes the new ones, idle connections stay so long
	// The platform kills a process no sooner than the longest deadline, but at most this, and killedAfter behind SIGTERM.
	maxDrain             = 3 * time.Second
	killDelay            = 700 * time.Millisecond
	answerMargin         = 150 * time.Millisecond // before that all that has no answer is given up: what a kill finds is lost
	exitMargin           = 40 * time.Millisecond  // and so long before it the process ends
	ownDescriptors       = 24                     // standard files, poller, listeners and those at them, discovery, orders, state, peers, the runtime
	minDescriptors       = 32                     // descriptors with which a node can do anything
	spareDescriptorShare = 16                     // a sixteenth of the descriptors is kept to tell clients that there is no room
	activeClientShare    = 4                      // clients hold a third of the descriptors at most, so a quarter leaves them room
	upstreamShare        = 3                      // a third of the others is for servers: clients keep theirs while they ask nothing
	bodyMemoryShare      = 8                      // an eighth of the memory is for bodies; connections' buffers need the like
	defaultBodyMemory    = 64 << 20
)

// Config is what a node is told at its start.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	News struct { // between nodes, where the settings allow messages
		Listen string   `json:"listen"`
		Peers  []string `json:"peers"`
	} `json:"news"`
	Console  string          `json:"console"` // where operators call; $NODE_CONSOLE goes before it
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	path      string
	dir       string // for small files that outlive a process
	inherited string // $NODE_INHERITED_FD
	seed      uint64
	decoded   settings.Settings
	state     string // the directory of the memory; empty: none
	files     func(path string, write bool) (store.Directory, error)
	features  *features.Features // nil: nothing beyond the platform's protocol
}

// State has the node keep a memory in a directory, and its orders too.
func (c *Config) State(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	c.state, c.dir, c.files = dir, dir, store.SystemDirectory
	return nil
}

// Features reads the file of what this node does beyond the platform's protocol.
func (c *Config) Features(path string) (err error) {
	c.features, err = features.Read(path, c.Name)
	return err
}

// ReadConfig reads and checks a configuration.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{path: path, dir: os.TempDir(), inherited: os.Getenv(envInherited)}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if console := os.Getenv(envConsole); console != "" {
		c.Console = console
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig checks a configuration's text.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{dir: os.TempDir()}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, err
	}
	return c, c.check()
}

func (c *Config) check() (err error) {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: expected an address and a port, got %q", name, address)
		}
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: expected up to 16 hexadecimal digits, got %q", c.Seed)
	}
	if c.Limits.Sockets != 0 && c.Limits.Sockets < minDescriptors {
		return fmt.Errorf("limits.sockets: expected at least %d, got %d", minDescriptors, c.Limits.Sockets)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		return errors.New("limits: expected numbers above 0")
	}
	if len(c.Settings) == 0 {
		return errors.New("settings: expected an object, got none")
	}
	if c.decoded, err = settings.FromJSON(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.decoded.ConnectTimeout == 0 || c.decoded.IdleTimeout == 0 {
		return errors.New("settings: limits.connect_timeout_us, limits.idle_close_us: expected times, got none")
	}
	if p := c.decoded.Policy; p.NodeCount > 1 && p.NodeIndex >= p.NodeCount {
		return fmt.Errorf("settings: position: expected a number below group_size, which is %d, got %d", p.NodeCount, p.NodeIndex)
	}
	if err := c.checkNews(); err != nil {
		return err
	}
	return c.checkConsole()
}

func (c *Config) checkConsole() error {
	if c.Console != "" {
		at, err := netip.ParseAddrPort(c.Console)
		if err != nil {
			return fmt.Errorf("console: expected an address and a port, got %q", c.Console)
		}
		if at == netip.MustParseAddrPort(c.Listen) && at.Port() != 0 {
			return fmt.Errorf("console: expected another address than listen, got %q for both", c.Console)
		}
	}
	if c.inherited == "" {
		return nil
	}
	fd, err := strconv.ParseUint(c.inherited, 10, 31)
	if err != nil {
		return fmt.Errorf("%s: expected a descriptor's number, got %q", envInherited, c.inherited)
	}
	listens, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return fmt.Errorf("%s: expected a listening socket, got descriptor %d, which is none", envInherited, fd)
	}
	return nil
}

// Node is one node and what its parts share.
type Node struct {
	config           *Config
	settings         *settings.Settings
	log              *zap.Logger
	clock            clock
	counters         counters
	serving          atomic.Bool // list, orders and loop are in place
	stopping         atomic.Bool
	bufferedBytes    atomic.Int64 // bytes of bodies of requests without an answer
	maxBufferedBytes atomic.Int64
	listLimits       endpointlist.Limits
	classIndex       map[string]int
	tenantIndex      map[string]int

	loop          *eventLoop
	frontend      *frontend
	upstreams     *upstreams
	endpointWatch *endpointWatch
	gossiper      *gossiper
	admin         *adminServer
	overrides     *overrides
	hotRestart    *hotRestart
	members       *memberAgent       // nil: off
	listGossip    *listGossip        // nil: off
	relays        *relaySubscription // nil: off
	initialList   initialList        // of start, then of hearing
	hasList       atomic.Bool        // some list has come, or was there
	persistence   *persistence       // nil: no memory
	predecessor   *restartState      // what the process before has told; nil at a plain start
}

// New makes a node that listens; nothing runs before Run.
func New(config *Config, log *zap.Logger) (*Node, error) {
	n := &Node{
		config: config, settings: &config.decoded, log: log, clock: clock{time.Now()}, listLimits: endpointlist.LimitsFor(config.Limits.MemoryMB << 20),
		classIndex: indexOf(config.decoded.Classes), tenantIndex: indexOf(config.decoded.Tenants),
	}
	n.overrides = newOverrides(n)
	n.persistence = openPersistence(n)
	n.loop, n.upstreams, n.endpointWatch = newEventLoop(n), newUpstreams(n), newEndpointWatch(n)
	var err error
	if n.relays, err = newRelaySubscription(n); err != nil {
		return nil, err
	}
	listener, err := n.listener()
	if err != nil {
		return nil, err
	}
	if n.admin, err = newAdminServer(n); err != nil {
		listener.Close()
		return nil, err
	}
	if n.gossiper, err = newGossiper(n); err != nil {
		n.admin.close()
		listener.Close()
		return nil, err
	}
	if n.members, err = newMemberAgent(n); err != nil {
		n.gossiper.close()
		n.admin.close()
		listener.Close()
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	n.listGossip = newListGossip(n)
	n.frontend = newFrontend(n, listener)
	n.hotRestart = newHotRestart(n)
	n.predecessor = n.hotRestart.connectPredecessor()
	n.divideLimits()
	return n, nil
}

// divideLimits shares out the limits: to rules and limits a node is one, however many processes it has at the moment.
func (n *Node) divideLimits() {
	processes := n.hotRestart.processes()
	all := n.config.Limits.Sockets
	if all == 0 {
		all = 1024
	}
	sockets := all / processes
	spare := sockets / spareDescriptorShare
	callers := min(maxAdminConns, sockets/adminConnShare)
	rest := sockets - min(ownDescriptors, sockets/2+4) - spare - callers
	toServers := max(rest/upstreamShare, 1)
	toClients := max(rest-toServers, 1)
	n.upstreams.setLimit(toServers)
	n.admin.setLimit(callers)
	n.frontend.setLimits(toClients, spare, all/activeClientShare)
	n.frontend.maxLentSlots.Store(int64(toClients-toServers) / 2) // each attempt has a client that waits for it
	held := int64(defaultBodyMemory)
	if mb := n.config.Limits.MemoryMB; mb > 0 {
		held = mb << 20 / bodyMemoryShare
		debug.SetMemoryLimit(mb << 20 * 6 / 10 / int64(processes))
	}
	n.maxBufferedBytes.Store(held / int64(processes))
}

// bind opens a listening socket.
func bind(address string) (net.Listener, error) {
	how := net.ListenConfig{KeepAlive: -1}
	how.SetMultipathTCP(false)
	return how.Listen(context.Background(), "tcp", address)
}

// listener is where clients connect: the socket that the platform holds, else one of this process.
func (n *Node) listener() (net.Listener, error) {
	if n.config.inherited == "" {
		return bind(n.config.Listen)
	}
	fd, err := strconv.Atoi(n.config.inherited)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), envInherited)
	defer file.Close() // the listener has a descriptor of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envInherited, err)
	}
	if at := listener.Addr().String(); at != n.config.Listen {
		n.log.Warn("the inherited socket is bound elsewhere than listen says", zap.String("bound", at), zap.String("listen", n.config.Listen))
	}
	return listener, nil
}

// notReady tells why the node takes no new clients now, in a word; nothing if it does.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.overrides.drained():
		return "drained"
	case !n.serving.Load():
		return "starting"
	case !n.hasList.Load():
		return "no list of servers yet: none is remembered, and nobody has told one"
	}
	return ""
}

// closesConnections tells whether connections of clients end with their next answer.
func (n *Node) closesConnections() bool {
	return n.stopping.Load() || n.overrides.drained() || n.hotRestart.hasYielded()
}

func indexOf(names []string) map[string]int {
	of := map[string]int{}
	for i, name := range names {
		of[name] = i
	}
	return of
}

// limitRuntime keeps the runtime within the machine's share that the node was given.
func (n *Node) limitRuntime() {
	if cores := n.config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	debug.SetGCPercent(400) // the heap is small; its collection takes time from requests
}

// knownList is the list that the node had last: the one of the process before, else the configuration's.
func (n *Node) knownList() initialList {
	if n.predecessor != nil {
		n.overrides.rememberNames(n.predecessor.Listed...)
		if entries, version, _, err := n.parseList(n.predecessor.List); err == nil {
			return initialList{entries, version, false} // discovery is asked for the whole list
		}
		n.counters.add(hotRestartsIgnored)
		n.log.Warn("the list of the process before passed over")
	}
	remembered := initialList{n.persistence.known(), n.persistence.version(), false}
	n.overrides.rememberNames(names(remembered.entries)...)
	if len(n.config.Known) == 0 {
		return remembered
	}
	entries, version, whole, err := n.parseList(n.config.Known)
	if err != nil {
		n.log.Warn("known list passed over", zap.Error(err))
		return remembered
	}
	if len(remembered.entries) > 0 && !n.persistence.before(version) {
		remembered.entries = n.persistence.beside(remembered.entries, entries, version)
		return remembered // discovery is asked for the whole list
	}
	n.endpointWatch.version = version
	return initialList{n.persistence.listed(entries, version, whole), version, true}
}

// start sets the parts to work, beginning with the list that the node had last. Clients are taken once all else is in place:
// beside another process they come from the first moment.
func (n *Node) start() {
	n.loop.now = n.clock.now()
	n.initialList = n.knownList()
	n.hasList.Store(n.initialList.watchResumes || len(n.initialList.entries) > 0 || n.predecessor != nil)
	n.loop.listUpdated(n.initialList.entries, true)
	if n.predecessor != nil {
		n.loop.inherit(n.predecessor.Learned)
	} else {
		n.persistence.inherit()
	}
	go n.loop.run()
	n.persistence.run()
	go n.overrides.watch()
	go n.admin.run()
	go n.frontend.closeIdleWhileDrained()
	go n.endpointWatch.run()
	go n.relays.Run(context.Background())
	go n.gossiper.sendLoop()
	if !n.settings.Policy.MustPollList && n.predecessor == nil {
		// What is pushed counts as told from the first moment of a new process, so it is heard before the first request.
		select {
		case <-n.endpointWatch.firstHeard:
		case <-time.After(listConnectTimeout):
		}
	}
	inPlace := make(chan struct{})
	n.loop.post(func() { close(inPlace) })
	<-inPlace
	go n.frontend.accept()
	n.serving.Store(true)
	n.hotRestart.announceServing()
	if n.members != nil {
		go n.members.run()
	}
	n.log.Info("serving", zap.String("name", n.config.Name), zap.String("listen", n.config.Listen))
}

// Signals hears what the platform tells the process, from the call on: before it a signal ends the process where it is, a start
// with requests already in the machine as well.
func Signals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run serves until SIGTERM or SIGINT has been followed to its end. The other signals are heard on through that, and another of
// these changes nothing.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.limitRuntime()
	n.start()
	sweep := time.NewTicker(time.Second)
	var stopped chan struct{} // closed at the end, once there has been such a signal
	for {
		select {
		case <-sweep.C:
			n.upstreams.closeExpired()
		case <-stopped:
			n.members.end()
			n.persistence.end()
			n.gossiper.close()
			n.admin.close()
			n.hotRestart.end()
			n.counters.log(n.log, "at exit")
			return nil
		case s := <-signals:
			switch {
			case s == syscall.SIGUSR1:
				n.counters.log(n.log, "asked for")
			case s == syscall.SIGHUP:
				n.reload()
			case stopped == nil:
				stopped = make(chan struct{})
				n.members.leave()
				go func() {
					n.stop()
					close(stopped)
				}()
			}
		}
	}
}

// reload takes in the configuration's file as it is now. Only the address of discovery can change while the node runs;
// what else has is named, so that nobody takes it for heard. A bad file changes nothing.
func (n *Node) reload() {
	c, err := ReadConfig(n.config.path)
	if err != nil {
		n.counters.add(configReloadsRejected)
		n.log.Error("configuration passed over, the old one kept", zap.Error(err))
		return
	}
	n.counters.add(configReloads)
	var later []string
	for name, same := range map[string]bool{
		"listen": c.Listen == n.config.Listen, "limits": c.Limits == n.config.Limits,
		"settings": reflect.DeepEqual(c.decoded, n.config.decoded), "news": reflect.DeepEqual(c.News, n.config.News),
		"console": c.Console == n.config.Console,
	} {
		if !same {
			later = append(later, name)
		}
	}
	n.log.Info("configuration read again", zap.String("discovery", c.Discovery), zap.Strings("only after a restart", later))
	n.endpointWatch.move(c.Discovery)
}

// stop goes on taking for a while, then closes what is idle and waits until every request taken has its answer. What is left shortly
// before the platform may kill the process is given up.
func (n *Node) stop() {
	n.log.Info("stopping")
	killed := time.Now().Add(min(time.Duration(slices.Max(n.settings.Deadlines)), maxDrain) + killDelay)
	n.stopping.Store(true)
	if n.hotRestart.hasYielded() {
		time.Sleep(min(acceptAfterTermReplaced, time.Until(killed)-2*answerMargin))
	} else {
		time.Sleep(acceptAfterTerm)
	}
	n.frontend.drainAndClose(killed.Add(-answerMargin))
	n.hotRestart.close()
	if n.awaitClients(killed.Add(-answerMargin)) {
		return
	}
	n.log.Warn("stops with tasks or connections open: what has no answer is given up")
	n.loop.post(n.loop.giveUpAll)
	n.awaitClients(killed.Add(-exitMargin))
	n.frontend.abortStreams()
}

// awaitClients waits until no client is left, or until a time, and tells which.
func (n *Node) awaitClients(by time.Time) bool {
	for ; time.Now().Before(by); time.Sleep(10 * time.Millisecond) {
		if n.frontend.evictAllIdle() == 0 {
			return true
		}
	}
	return false
}
