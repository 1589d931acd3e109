package node

import (
	"runtime"
	"runtime/debug"
)

// How a node's file descriptors and memory are divided. Config.Limits holds for the node, so while a hot restart has
// two processes running each takes half. A Divisor
// constant gives one in so many of an amount, a Percent constant so many hundredths of it.
const (
	defaultDescriptors = 1024
	minDescriptors     = 32 // with fewer a node can't serve

	// ownDescriptors are standard files, poller, listeners with a connection each, discovery, overrides, state,
	// gossip and the runtime.
	ownDescriptors         = 24
	spareDescriptorDivisor = 16 // of all descriptors, to answer clients that there is no room for
	activeClientDivisor    = 4  // of all descriptors, for clients with a request; clients hold a third at most
	upstreamDivisor        = 3  // of what is left, for upstreams: clients keep their connections while idle

	bodyMemoryDivisor = 8 // of the memory, for bodies in flight; connections' buffers need as much
	defaultBodyMemory = 64 << 20
	heapLimitPercent  = 60  // of the memory
	gcPercent         = 400 // the heap is small, its collection takes time from requests
	bytesPerMiB       = 1 << 20
	minOwnDescriptors = 4 // beside half of the descriptors, where those are few
	lentSlotDivisor   = 2 // of what clients have more than upstreams, for slots that may be lent (frontend.go)
)

// divideLimits sets the limits of connections and memory. It is called at the start, and whenever the node's other
// process comes or goes.
func (n *Node) divideLimits() {
	processes := n.hotRestart.processes()
	n.divideDescriptors(processes)
	n.divideMemory(processes)
}

func (n *Node) divideDescriptors(processes int) {
	total := n.config.Limits.Sockets
	if total == 0 {
		total = defaultDescriptors
	}
	available := total / processes
	spare := available / spareDescriptorDivisor
	admin := min(maxAdminConns, available/adminConnDivisor)
	divisible := available - min(ownDescriptors, available/2+minOwnDescriptors) - spare - admin
	upstreamConns := max(divisible/upstreamDivisor, 1)
	clientConns := max(divisible-upstreamConns, 1)
	n.upstreams.setLimit(upstreamConns)
	n.admin.setLimit(admin)
	n.frontend.setLimits(clientConns, spare, total/activeClientDivisor)
	// frontend.go has the rule of lent slots.
	n.frontend.maxSlotsLentToUpstreams.Store(int64(clientConns-upstreamConns) / lentSlotDivisor)
}

func (n *Node) divideMemory(processes int) {
	bodyBytes := int64(defaultBodyMemory)
	if mb := n.config.Limits.MemoryMB; mb > 0 {
		bodyBytes = mb * bytesPerMiB / bodyMemoryDivisor
		debug.SetMemoryLimit(mb * bytesPerMiB * heapLimitPercent / 100 / int64(processes))
	}
	n.maxBufferedBytes.Store(bodyBytes / int64(processes))
}

// limitRuntime keeps the runtime within the machine's share that the node was given.
func (n *Node) limitRuntime() {
	if cores := n.config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	debug.SetGCPercent(gcPercent)
}
