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

// The verdict of a phase: the records of every node against the truth, byte by byte, and every change against the nodes
// that follow its scope. Times are figures, and no part of the verdict.

// settlePoll is how often the nodes are compared while a phase settles.
const settlePoll = 250 * time.Millisecond

// settle waits until all nodes hold what is true, and enters those that do not within the size's timeout.
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

// wrongNodes returns those of some nodes that do not hold what is true, with the difference of one of them.
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

// difference describes the first difference of a node's records from what is true; empty if there is none.
func (r *run) difference(h *hollowNode) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	wanted := 0
	for _, scope := range h.scopes {
		wanted += r.expected.present[scope]
	}
	held, difference := 0, ""
	scope, follows := "", false // records come scope by scope
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

// recordDifference compares one record of a node; empty if it is right.
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

// addDeliveries enters which changes from a number on came to the nodes, and when.
func (r *run) addDeliveries(figures *Phase, first int) {
	figures.Changes = len(r.changes) - first
	removedBy := map[recordKey]int32{} // number of the change
	for n := first; n < len(r.changes); n++ {
		if c := &r.changes[n]; c.Removed {
			removedBy[recordKey{c.Scope, c.Key}] = int32(n)
		}
	}
	delays := make([][]float64, figures.Changes) // by change, of the nodes that it came to
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

// collectDeliveries enters the counts of one node, returns its deliveries of changes from a number on, each once, and
// forgets them.
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

// checkRemoval enters the removal of a record that is present: no removed endpoint comes back under its name, so it
// always was.
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

// expectedDeliveries enters how many of a change's deliveries came, and returns how many should have; those that a
// later change of the record replaced should not.
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

// addDelays enters the median and the worst of all changes.
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

// finiteDelay returns -1 for what never held.
func finiteDelay(seconds float64) float64 {
	if math.IsInf(seconds, 1) {
		return -1
	}
	return seconds
}

// addClients enters what the nodes' clients did since the given counts.
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

// addTraffic enters the bytes of a node, the mean and of the worst one in its worst seconds, which may have begun
// before the phase.
func (r *run) addTraffic(figures *Phase, bytes int64) {
	figures.BytesPerSecond = float64(bytes) / figures.Seconds / float64(len(r.nodes.all))
	for _, h := range r.nodes.all {
		for i := 1; i < len(h.byteSamples); i++ {
			sum := h.byteSamples[i] - h.byteSamples[max(0, i-worstWindow)]
			figures.WorstBytesPerSecond = max(figures.WorstBytesPerSecond, float64(sum)/worstWindow)
		}
	}
}

// addProcesses enters what the processes used since a moment, from their start if that was later.
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
