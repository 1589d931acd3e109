package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// The start, in order: the endpoint list to begin with, the estimates of an earlier process, the goroutines, the first
// watch event where lists are pushed, and clients last. Beside another process of the node they come at once.

func (n *Node) start() {
	n.loop.now = n.clock.now()
	n.initialList = n.chooseInitialList()
	n.hasList.Store(n.initialList.watchResumes || len(n.initialList.entries) > 0 || n.inherited != nil)
	n.loop.endpointsUpdated(n.initialList.entries, true)
	n.inheritEstimates()
	n.startGoroutines()
	n.awaitFirstWatchEvent()
	n.awaitLoop()
	n.serveClients()
}

// inheritEstimates takes over the estimates of the process before, else the persisted ones.
func (n *Node) inheritEstimates() {
	if n.inherited != nil {
		n.loop.inherit(n.inherited.Estimates)
	} else {
		n.persistence.inheritEstimates()
	}
}

func (n *Node) startGoroutines() {
	go n.loop.run()
	n.persistence.run()
	go n.overrides.watch(time.Tick(overridesPollInterval))
	go n.admin.run()
	go n.frontend.closeIdleWhileDrained()
	go n.endpointWatch.run()
	go n.relays.Run(context.Background())
	go n.gossiper.sendLoop()
}

// awaitFirstWatchEvent waits, for listConnectTimeout at most, until the watch has brought an event or has failed. A
// pushed list binds from the first moment of a process, so it is taken in before the first request.
func (n *Node) awaitFirstWatchEvent() {
	if n.settings.Policy.MustPollList || n.inherited != nil {
		return
	}
	select {
	case <-n.endpointWatch.firstEvent:
	case <-time.After(listConnectTimeout):
	}
}

// awaitLoop waits until the loop has handled all events so far.
func (n *Node) awaitLoop() {
	handled := make(chan struct{})
	n.loop.post(func() { close(handled) })
	<-handled
}

func (n *Node) serveClients() {
	go n.frontend.acceptLoop()
	n.serving.Store(true)
	n.hotRestart.announceServing()
	if n.members != nil {
		go n.members.run()
	}
	n.log.Info("serving", zap.String("name", n.config.Name), zap.String("listen", n.config.Listen))
}
