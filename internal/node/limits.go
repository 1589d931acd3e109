package node

import (
	"runtime"
	"runtime/debug"
)

// How a node's file descriptors and memory are divided. Config.Limits applies to the whole node, so during a hot
// restart each of its two processes gets half. A constant with the suffix Divisor is the denominator of a fraction, 1/n
// of an amount; one with the suffix Percent is a percentage.
const (
	defaultDescriptors = 1024
	minDescriptors     = 32 // a node can't serve with fewer

	// ownDescriptors are reserved for standard streams, the poller, listeners with one connection each, discovery,
	// overrides, persisted state, gossip and the runtime.
	ownDescriptors         = 24
	spareDescriptorDivisor = 16 // of all descriptors, to reject clients over capacity
	activeClientDivisor    = 4  // of all descriptors: soft limit of used client connections; clients hold a third at most
	upstreamDivisor        = 3  // of the rest, for upstreams: clients need more, as they keep idle connections

	bodyMemoryDivisor = 12 // of the memory, for messages (memorybudget.go)
	defaultBodyMemory = 64 << 20
	heapLimitPercent  = 66  // of MemoryMB, for the heap and stacks; the program takes some 9 MiB more
	gcPercent         = 400 // GOGC: the heap is small, and collecting it takes CPU time from requests
	bytesPerMiB       = 1 << 20
	minOwnDescriptors = 4 // ownDescriptors is capped at half of the descriptors plus this
	lentSlotDivisor   = 2 // of the client slots in excess of the upstream slots: lent until both are equal (frontend.go)
)

// divideLimits sets the connection and memory limits. It is called at the start, and whenever the node's other process
// starts or ends.
func (n *Node) divideLimits() {
	processes := n.hotRestart.processCount()
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
	// Slot lending is described in frontend.go.
	n.frontend.maxSlotsLentToUpstreams.Store(int64(clientConns-upstreamConns) / lentSlotDivisor)
}

func (n *Node) divideMemory(processes int) {
	bodyBytes := int64(defaultBodyMemory)
	if mb := n.config.Limits.MemoryMB; mb > 0 {
		bodyBytes = mb * bytesPerMiB / bodyMemoryDivisor
		debug.SetMemoryLimit(mb * bytesPerMiB * heapLimitPercent / 100 / int64(processes))
	}
	n.memory.limit.Store(bodyBytes / int64(processes))
}

// limitRuntime applies the node's limits to the Go runtime.
func (n *Node) limitRuntime() {
	if cores := n.config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	debug.SetGCPercent(gcPercent)
}
