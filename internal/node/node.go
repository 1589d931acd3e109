// Package node runs package policy on network sockets: it accepts requests from clients, sends attempts to upstreams,
// watches the endpoint list, exchanges messages with other nodes, persists state and serves the admin API.
package node

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"fawnglade/internal/endpointlist"
	"fawnglade/internal/settings"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Node is one node of the proxy. New creates it, Run serves until the node has shut down.
type Node struct {
	config           *Config
	settings         *settings.Settings
	log              *zap.Logger
	clock            clock
	counters         counters
	diagnostics      *diagnostics
	serving          atomic.Bool // the endpoint list has been applied; requests before that are rejected
	shuttingDown     atomic.Bool
	lifecycle        sync.Mutex    // held while the node begins to serve or to shut down
	shutdownBegan    chan struct{} // closed by beginShutdown
	memory           memoryBudget  // for messages
	streamedRequests atomic.Int64  // unanswered requests whose body is streamed
	requestLimiter   *rate.Limiter // shared by the connections that send more than their own rate
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
	members       *memberAgent       // nil if disabled
	listGossip    *listGossip        // nil if disabled
	relays        *relaySubscription // nil if disabled
	persistence   *persistence       // nil without a state directory

	initialList initialList   // set by start, then owned by listGossip
	hasList     atomic.Bool   // an endpoint list has been received or was available at the start
	inherited   *restartState // received from the previous process; nil unless this is a hot restart
}

// New creates a node and opens its sockets. Nothing is served before Run.
func New(config *Config, log *zap.Logger) (*Node, error) {
	parsed := &config.parsedSettings
	n := &Node{
		config: config, settings: parsed, log: log, clock: newClock(), diagnostics: newDiagnostics(log),
		shutdownBegan:  make(chan struct{}),
		requestLimiter: newSharedRequestLimiter(config.Limits.Cores),
		listLimits:     endpointlist.LimitsFor(config.Limits.MemoryMB * bytesPerMiB),
		classIndex:     indexByName(parsed.Classes), tenantIndex: indexByName(parsed.Tenants),
	}
	n.overrides = newOverrides(n)
	n.persistence = openPersistence(n)
	n.loop = newEventLoop(n)
	n.upstreams = newUpstreams(n)
	n.endpointWatch = newEndpointWatch(n)
	var err error
	if n.relays, err = newRelaySubscription(n); err != nil {
		return nil, err
	}
	if err = n.openSockets(); err != nil {
		return nil, err
	}
	n.listGossip = newListGossip(n)
	n.hotRestart = newHotRestart(n)
	n.inherited = n.hotRestart.connectPredecessor()
	n.divideLimits()
	return n, nil
}

// openSockets opens the sockets for clients, the admin API, gossip and membership. If one fails it closes the others.
func (n *Node) openSockets() (err error) {
	var opened []func()
	defer func() {
		if err != nil {
			for _, closeSocket := range opened {
				closeSocket()
			}
		}
	}()
	listener, err := n.listenForClients()
	if err != nil {
		return err
	}
	opened = append(opened, func() { listener.Close() })
	if n.admin, err = newAdminServer(n); err != nil {
		return err
	}
	opened = append(opened, n.admin.close)
	if n.gossiper, err = newGossiper(n); err != nil {
		return err
	}
	opened = append(opened, n.gossiper.close)
	if n.members, err = newMemberAgent(n); err != nil {
		return fmt.Errorf("members.listen: %w", err)
	}
	n.frontend = newFrontend(n, listener)
	return nil
}

// bind opens a listening TCP socket.
func bind(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// listenForClients returns the listener inherited from the platform if there is one, else it opens one.
func (n *Node) listenForClients() (net.Listener, error) {
	if n.config.inheritedFD == "" {
		return bind(n.config.Listen)
	}
	fd, err := strconv.Atoi(n.config.inheritedFD)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), envInherited)
	defer file.Close() // the listener has its own duplicate of the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envInherited, err)
	}
	if bound := listener.Addr().String(); bound != n.config.Listen {
		n.log.Warn("inherited socket is bound to another address than the configured listen; using the inherited socket",
			zap.String("bound", bound), zap.String("listen", n.config.Listen))
	}
	return listener, nil
}

// notReadyReason returns why the node is not ready for new clients, as reported by the admin API, or an empty string if
// it is ready.
func (n *Node) notReadyReason() string {
	switch {
	case n.shuttingDown.Load():
		return "stopping"
	case n.overrides.drained():
		return "drained"
	case !n.hasList.Load():
		return "no list of servers yet: none is persisted, and none has been received"
	case !n.serving.Load():
		return "starting"
	}
	return ""
}

// closesClientConns reports whether client connections are closed after their next response.
func (n *Node) closesClientConns() bool {
	return n.shuttingDown.Load() || n.overrides.drained() || n.hotRestart.hasServingSuccessor()
}

func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}
