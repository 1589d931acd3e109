package node

// What the process uses of its limits, for diagnostics.

import (
	"fmt"
	"os"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"
)

const (
	highMemoryPercent     = 80 // of MemoryMB, from which on the usage is logged
	resourceCheckInterval = time.Second
)

// Metrics of package runtime/metrics.
const (
	heapMetric   = "/memory/classes/heap/objects:bytes"
	stacksMetric = "/memory/classes/heap/stacks:bytes"
)

// resourceUsage is what the process uses at a moment.
type resourceUsage struct {
	residentBytes, heapBytes, stackBytes int64 // 0: unknown
	bufferedBytes                        int64 // reserved for messages
	clientConns, activeClientConns       int
	upstreamConns                        int
}

func (n *Node) resourceUsage() resourceUsage {
	usage := resourceUsage{
		residentBytes:     residentBytes(),
		bufferedBytes:     n.memory.reserved.Load(),
		clientConns:       n.frontend.openCount(),
		activeClientConns: int(n.frontend.activeConns.Load()),
		upstreamConns:     n.upstreams.openCount(),
	}
	samples := []metrics.Sample{{Name: heapMetric}, {Name: stacksMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() == metrics.KindUint64 {
		usage.heapBytes = int64(samples[0].Value.Uint64())
	}
	if samples[1].Value.Kind() == metrics.KindUint64 {
		usage.stackBytes = int64(samples[1].Value.Uint64())
	}
	return usage
}

// residentBytes returns the resident memory of the process, or 0 if it is unknown.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

func (u resourceUsage) fields() []zap.Field {
	return []zap.Field{
		zap.Int64("resident bytes", u.residentBytes), zap.Int64("heap bytes", u.heapBytes),
		zap.Int64("stack bytes", u.stackBytes), zap.Int64("buffered bytes", u.bufferedBytes),
		zap.Int("client connections", u.clientConns), zap.Int("active client connections", u.activeClientConns),
		zap.Int("upstream connections", u.upstreamConns),
	}
}

// watchMemory logs the usage while the resident memory is high. It never returns.
func (n *Node) watchMemory() {
	limit := n.config.Limits.MemoryMB * bytesPerMiB * highMemoryPercent / 100
	if limit == 0 {
		return
	}
	for range time.Tick(resourceCheckInterval) {
		if residentBytes() > limit {
			n.diagnostics.record(diagnosticHighMemory, n.resourceUsage().fields)
		}
	}
}

// openCount returns the number of open client connections.
func (f *frontend) openCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// openCount returns the number of upstream connections that are open or being opened.
func (u *upstreams) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}
