package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Startup, in this order: apply the initial endpoint list, inherit the estimates of an earlier process, start the
// goroutines, wait for the first list of discovery if that pushes the list (firstlist.go), and serve clients.

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

// becomeReady serves clients once the endpoint list is known to be current, or can't be awaited any longer. It returns
// early if a shutdown begins. The membership of a predecessor runs until this process serves; otherwise the membership
// starts before the wait.
func (n *Node) becomeReady() {
	if !n.hotRestart.hasPredecessor() {
		n.members.launch()
	}
	n.awaitFirstList()
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
	n.hotRestart.followPredecessor()
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
	n.members.launch()
	n.log.Info("serving", zap.String("name", n.config.Name), zap.String("listen", n.config.Listen),
		zap.Stringer("first list", n.endpointWatch.firstList.current()),
		zap.Duration("since the start", time.Since(n.clock.start)))
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
