package node

// Recent request IDs: an ID is sent once only (the deployment's contract), so one that comes again must not run again,
// also after its client has left and its attempts have ended, and at the other process of a hot restart.

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fawnglade/policy"
)

const (
	recentRequestsPerMiB = 512 // of the memory
	minRecentRequests    = 4 << 10
	maxRecentRequests    = 64 << 10
	recentQueueLength    = 4096 // changes that wait to be written to the other process
)

// requestDigest stands for a request ID.
type requestDigest uint64

func digestRequestID(id policy.RequestID) requestDigest {
	return requestDigest(xxhash.Sum64String(string(id)))
}

// recentRequests remembers the IDs of requests that may have run and are not idempotent: at least the latest capacity of
// them. It is owned by the event loop.
type recentRequests struct {
	capacity          int
	current, previous map[requestDigest]struct{}
	listeners         []chan recentChange // of the node's other processes
}

// recentChange is an ID that was added or, as its request provably never ran, removed.
type recentChange struct {
	id      requestDigest
	removed bool
}

// The lines that carry a recentChange between the processes of a node.
const (
	recentAddedLine   = "added %016x\n"
	recentRemovedLine = "removed %016x\n"
	maxRecentLine     = 64 // bytes
)

func (c recentChange) line() string {
	if c.removed {
		return fmt.Sprintf(recentRemovedLine, uint64(c.id))
	}
	return fmt.Sprintf(recentAddedLine, uint64(c.id))
}

// parseRecentChange parses a line.
func parseRecentChange(line string) (recentChange, error) {
	var id uint64
	if _, err := fmt.Sscanf(line, recentAddedLine, &id); err == nil {
		return recentChange{id: requestDigest(id)}, nil
	}
	_, err := fmt.Sscanf(line, recentRemovedLine, &id)
	return recentChange{requestDigest(id), true}, err
}

// newRecentRequests returns an empty memory whose size goes by that of the node, in MiB; 0: unlimited.
func newRecentRequests(memoryMB int64) *recentRequests {
	capacity := maxRecentRequests
	if memoryMB > 0 {
		capacity = int(min(max(memoryMB*recentRequestsPerMiB, minRecentRequests), maxRecentRequests))
	}
	return &recentRequests{capacity: capacity, current: map[requestDigest]struct{}{}}
}

func (r *recentRequests) contains(id requestDigest) bool {
	if _, found := r.current[id]; found {
		return true
	}
	_, found := r.previous[id]
	return found
}

// add adds an ID of this process, and tells the others.
func (r *recentRequests) add(id requestDigest) { r.change(recentChange{id: id}) }

// remove removes an ID of this process whose request never ran, and tells the others.
func (r *recentRequests) remove(id requestDigest) { r.change(recentChange{id, true}) }

func (r *recentRequests) change(change recentChange) {
	r.apply(change)
	for _, listener := range r.listeners {
		select {
		case listener <- change:
		default: // the other process has not read for long
		}
	}
}

// apply applies a change, which may come from another process.
func (r *recentRequests) apply(change recentChange) {
	if change.removed {
		delete(r.current, change.id)
		delete(r.previous, change.id)
		return
	}
	if len(r.current) >= r.capacity {
		r.previous = r.current
		r.current = make(map[requestDigest]struct{}, r.capacity)
	}
	r.current[change.id] = struct{}{}
}

// all returns the remembered IDs.
func (r *recentRequests) all() []requestDigest {
	ids := make([]requestDigest, 0, len(r.current)+len(r.previous))
	for _, generation := range []map[requestDigest]struct{}{r.previous, r.current} {
		for id := range generation {
			ids = append(ids, id)
		}
	}
	return ids
}

// listen returns a channel that receives the changes from now on.
func (r *recentRequests) listen() chan recentChange {
	changes := make(chan recentChange, recentQueueLength)
	r.listeners = append(r.listeners, changes)
	return changes
}

// stopListening ends a channel of listen.
func (r *recentRequests) stopListening(changes <-chan recentChange) {
	r.listeners = slices.DeleteFunc(r.listeners, func(listener chan recentChange) bool {
		if listener != changes {
			return false
		}
		close(listener)
		return true
	})
}

// mayNotRunAgain reports whether the request's class is one whose IDs are remembered.
func (l *eventLoop) mayNotRunAgain(request *pendingRequest) bool {
	return l.node.settings.Policy.Classes[request.request.Class].Idempotency != policy.Idempotent
}

// recordFirstAttempt remembers a request that may run from now on.
func (l *eventLoop) recordFirstAttempt(request *pendingRequest) {
	if l.mayNotRunAgain(request) {
		l.recent.add(digestRequestID(request.request.ID))
	}
}

// recordIfNeverRan forgets a request that has ended if none of its attempts may have run.
func (l *eventLoop) recordIfNeverRan(request *pendingRequest) {
	if len(request.attempts) == 0 || !l.mayNotRunAgain(request) {
		return
	}
	for _, attempt := range request.attempts {
		if !attempt.notExecuted {
			return
		}
	}
	l.recent.remove(digestRequestID(request.request.ID))
}
