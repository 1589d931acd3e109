package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// startAcceptDelay is how long a starting process leaves connections in the listen backlog, so that their requests need
// not be rejected if discovery answers soon.
const startAcceptDelay = 200 * time.Millisecond

// Startup, in this order: apply the initial endpoint list, inherit the estimates of an earlier process, start the
// goroutines, wait for the first watch event if the discovery service pushes the list, and accept clients. During a hot
// restart clients are accepted without waiting for the watch event.

// start starts the node and returns once it serves.
func (n *Node) start() {
	n.startComponents()
	n.becomeReady()
}

// startComponents starts everything but serving clients.
func (n *Node) startComponents() {
	n.loop.now = n.clock.now()
	n.initialList = n.chooseInitialList()
	n.hasList.Store(n.initialList.watchResumes || len(n.initialList.entries) > 0 || n.inherited != nil)
	n.loop.endpointsUpdated(n.initialList.entries, true)
	n.inheritEstimates()
	n.startGoroutines()
}

// becomeReady waits for the first event of the watch and then serves clients. It returns early if a shutdown begins.
func (n *Node) becomeReady() {
	n.awaitFirstWatchEvent()
	n.awaitLoop()
	n.serveClients()
}

// inheritEstimates loads the estimates of the previous process during a hot restart, else the persisted ones.
func (n *Node) inheritEstimates() {
	if n.inherited != nil {
		n.loop.inheritPredecessorEstimates(n.inherited.Estimates)
	} else {
		n.persistence.restoreEstimates()
	}
}

func (n *Node) startGoroutines() {
	go n.loop.run()
	go n.diagnostics.run()
	go n.watchMemory()
	n.persistence.startWriteLoop()
	go n.overrides.watch(time.Tick(overridesPollInterval))
	go n.admin.run()
	go n.frontend.closeIdleWhileDrained()
	go n.endpointWatch.run()
	go n.relays.Run(context.Background())
	go n.gossiper.sendLoop()
}

// awaitFirstWatchEvent waits up to listConnectTimeout until the watch has returned an event or failed. A pushed list is
// binding from the start of the process, so it is applied before the first request.
func (n *Node) awaitFirstWatchEvent() {
	if n.settings.Policy.MustPollList || n.inherited != nil {
		return
	}
	timeout := time.NewTimer(listConnectTimeout)
	defer timeout.Stop()
	accept := time.NewTimer(startAcceptDelay)
	defer accept.Stop()
	for {
		select {
		case <-n.endpointWatch.firstEvent:
			return
		case <-n.shutdownBegan:
			return
		case <-timeout.C:
			return
		case <-accept.C:
			// Requests are rejected, as they would otherwise wait in the listen backlog beyond their deadlines.
			n.frontend.startAccepting()
		}
	}
}

// awaitLoop waits until the event loop has handled all events queued so far.
func (n *Node) awaitLoop() {
	handled := make(chan struct{})
	n.loop.post(func() { close(handled) })
	<-handled
}

// serveClients accepts clients and admits their requests, unless a shutdown has begun.
func (n *Node) serveClients() {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	if n.shutdownHasBegun() {
		return
	}
	n.serving.Store(true)
	n.frontend.startAccepting()
	n.hotRestart.announceServing()
	if n.members != nil {
		go n.members.run()
	}
	n.log.Info("serving", zap.String("name", n.config.Name), zap.String("listen", n.config.Listen))
}

// shutdownHasBegun reports whether beginShutdown was called.
func (n *Node) shutdownHasBegun() bool {
	select {
	case <-n.shutdownBegan:
		return true
	default:
		return false
	}
}
