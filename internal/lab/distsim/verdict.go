package distsim

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"
)

// The verdict of a phase compares the records of every node with the expected state, byte by byte, and the deliveries
// of every change with the nodes that follow its scope. Times are reported, but do not affect the verdict.

// settlePoll is the interval at which nodes are compared with the expected state while a phase settles.
const settlePoll = 250 * time.Millisecond

// settle waits until all nodes have the expected records, and reports those that do not within Size.SettleTimeout.
func (r *run) settle(ctx context.Context, figures *Phase) {
	end := time.Now().Add(r.size.SettleTimeout)
	for wrong := r.nodes.all; ; {
		var example string
		wrong, example = r.wrongNodes(wrong)
		if len(wrong) == 0 {
			return
		}
		if time.Now().After(end) || sleep(ctx, settlePoll) != nil {
			figures.WrongNodes, figures.Example = len(wrong), example
			return
		}
	}
}

// wrongNodes returns the nodes that do not have the expected records, and the difference of one of them as an example.
func (r *run) wrongNodes(nodes []*hollowNode) (wrong []*hollowNode, example string) {
	var mu sync.Mutex
	forEachNode(nodes, func(h *hollowNode) {
		difference := r.difference(h)
		if difference == "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		wrong = append(wrong, h)
		example = difference
	})
	return wrong, example
}

// difference describes the first difference between a node's records and the expected state; empty if there is none.
func (r *run) difference(h *hollowNode) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	wanted := 0
	for _, scope := range h.scopes {
		wanted += r.expected.present[scope]
	}
	held, difference := 0, ""
	scope, follows := "", false // Each visits the records scope by scope
	var records map[string]*expectedRecord
	h.subscriber.Each(func(c distribution.Record) {
		if c.Deleted {
			return
		}
		held++
		if c.Scope != scope {
			scope, records = c.Scope, r.expected.scopes[c.Scope]
			_, follows = slices.BinarySearch(h.scopes, c.Scope)
		}
		if difference == "" {
			difference = recordDifference(h.index, &c, follows, records[c.Key])
		}
	})
	if difference == "" && held != wanted {
		return fmt.Sprintf("node %d has %d records of %d", h.index, held, wanted)
	}
	return difference
}

// recordDifference describes how a record of a node differs from the expected one; empty if it does not.
func recordDifference(node int, held *distribution.Record, follows bool, want *expectedRecord) string {
	switch {
	case !follows:
		return fmt.Sprintf("node %d has %s of %s, which it does not follow", node, held.Key, held.Scope)
	case want == nil || want.removed:
		return fmt.Sprintf("node %d has %s of %s, which is gone", node, held.Key, held.Scope)
	case want.body != string(held.Body):
		return fmt.Sprintf("node %d has %s of %s as %s, and it is %s", node, held.Key, held.Scope, held.Body, want.body)
	}
	return ""
}

// addDeliveries adds the figures of the deliveries of all changes from number first on.
func (r *run) addDeliveries(figures *Phase, first int) {
	figures.Changes = len(r.changes) - first
	removedBy := map[recordKey]int32{} // number of the change
	for n := first; n < len(r.changes); n++ {
		if c := &r.changes[n]; c.Removed {
			removedBy[recordKey{c.Scope, c.Key}] = int32(n)
		}
	}
	delays := make([][]float64, figures.Changes) // by change, of the nodes that received it
	for _, h := range r.nodes.all {
		for _, d := range r.collectDeliveries(figures, h, removedBy, first) {
			i := int(d.number) - first
			delays[i] = append(delays[i], float64(int64(d.atUs)*1000-r.changes[d.number].sentAt)/1e9)
		}
	}
	var changes []Delays
	for i, changeDelays := range delays {
		if expected := r.expectedDeliveries(figures, first+i, len(changeDelays)); expected > 0 {
			changes = append(changes, delaysOf(changeDelays, expected))
		}
	}
	figures.addDelays(changes)
}

// collectDeliveries adds the counts of one node to the figures, and returns its deliveries of changes from number first
// on, without duplicates. It resets what the node recorded.
func (r *run) collectDeliveries(figures *Phase, h *hollowNode, removedBy map[recordKey]int32, first int) []delivery {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, removed := range h.removals {
		if n, ok := removedBy[removed.recordKey]; ok {
			h.deliveries = append(h.deliveries, delivery{n, removed.atUs})
		}
		r.checkRemoval(figures, h.index, removed.recordKey)
	}
	var deliveries []delivery
	seen := map[int32]bool{}
	for _, d := range h.deliveries {
		if int(d.number) < first {
			continue
		}
		if seen[d.number] {
			figures.Duplicates++
			continue
		}
		seen[d.number] = true
		deliveries = append(deliveries, d)
	}
	figures.Resurrected += h.resurrected
	figures.InvalidFrames += h.invalidFrames
	h.resurrected, h.invalidFrames, h.deliveries, h.removals = 0, 0, nil, nil
	return deliveries
}

// checkRemoval counts the removal of a record that exists as wrong. Removed endpoints never return under the same name,
// so a record that exists now was never removed.
func (r *run) checkRemoval(figures *Phase, node int, key recordKey) {
	record := r.expected.scopes[key.scope][key.key]
	if record == nil || record.removed {
		return
	}
	figures.WrongRemovals++
	if figures.Example == "" {
		figures.Example = fmt.Sprintf("node %d was told that %s of %s is gone", node, key.key, key.scope)
	}
}

// expectedDeliveries adds the received and missing deliveries of a change to the figures, and returns the number of
// expected ones. Deliveries that a later change of the record superseded are not expected.
func (r *run) expectedDeliveries(figures *Phase, change, delivered int) int {
	followers := r.followers[r.changes[change].Scope]
	if followers == 0 {
		return 0
	}
	figures.Deliveries += delivered
	if delivered >= followers {
		return followers
	}
	if _, superseded := r.expected.successor[change]; superseded {
		figures.Superseded += followers - delivered
		return delivered
	}
	figures.Missing += followers - delivered
	return followers
}

// addDelays sets the median and the maximum over all changes.
func (p *Phase) addDelays(changes []Delays) {
	if len(changes) == 0 {
		return
	}
	for _, field := range []func(*Delays) *float64{
		func(d *Delays) *float64 { return &d.P50 },
		func(d *Delays) *float64 { return &d.P99 },
		func(d *Delays) *float64 { return &d.All },
	} {
		var values []float64
		for i := range changes {
			value := *field(&changes[i])
			if value < 0 {
				value = math.Inf(1)
			}
			values = append(values, value)
		}
		slices.Sort(values)
		*field(&p.MedianChange) = finiteDelay(values[len(values)/2])
		*field(&p.WorstChange) = finiteDelay(values[len(values)-1])
	}
}

// finiteDelay replaces +Inf, for a condition that was never met, by -1.
func finiteDelay(seconds float64) float64 {
	if math.IsInf(seconds, 1) {
		return -1
	}
	return seconds
}

// addClients sets the counters of the nodes' clients since the given values.
func (r *run) addClients(figures *Phase, before relay.ClientStats) {
	after := r.clientStats()
	figures.Connects = int(after.Connects - before.Connects)
	figures.Failbacks = int(after.Failbacks - before.Failbacks)
	figures.Leaves = LeaveCounts{
		Silent:  int(after.Silent - before.Silent),
		Closed:  int(after.Closed - before.Closed),
		Lagging: int(after.Lagging - before.Lagging),
		Invalid: int(after.Invalid - before.Invalid),
	}
}

// addTraffic sets the mean byte rate of the nodes and the highest rate of any node over worstWindow. That window may
// begin before the phase.
func (r *run) addTraffic(figures *Phase, bytes int64) {
	figures.BytesPerSecond = float64(bytes) / figures.Seconds / float64(len(r.nodes.all))
	for _, h := range r.nodes.all {
		for i := 1; i < len(h.byteSamples); i++ {
			sum := h.byteSamples[i] - h.byteSamples[max(0, i-worstWindow)]
			figures.WorstBytesPerSecond = max(figures.WorstBytesPerSecond, float64(sum)/worstWindow)
		}
	}
}

// addProcesses sets the resource usage of the processes since the given values; of those started later, since their
// start.
func (r *run) addProcesses(figures *Phase, before usage) {
	percent := func(pid int) float64 {
		return 100 * float64(processorTime(pid)-before.processor[pid]) / 1e9 / figures.Seconds
	}
	megabytes := func(pid int) float64 { return float64(residentMemory(pid)) / (1 << 20) }
	origin := r.processes.origin.Process.Pid
	figures.OriginCPU, figures.OriginMB = percent(origin), megabytes(origin)
	running := r.processes.running()
	for _, p := range running {
		cpu := percent(p.process.PID())
		figures.RelayCPU += cpu / float64(len(running))
		figures.RelayWorstCPU = max(figures.RelayWorstCPU, cpu)
		figures.RelayMB = max(figures.RelayMB, megabytes(p.process.PID()))
	}
}
