package node

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/discovery"
	"fawnglade/internal/endpointlist"

	"go.uber.org/zap"
)

// The watch of the endpoint list at discovery. A watch that has fallen silent is followed by a call at once, one that
// failed by a call after a backoff, or sooner if the decisions ask for one: where the platform has nodes poll, they do
// (policy.Effects.WatchEndpoints). Package discovery has the rules of the calls for one watch.
//
// By the contract with discovery a change of the list counts as known to a node 6 s after the node could have reached
// discovery, whether or not it has called: "the list binds" from then on. The times below keep calls within that.

const (
	listConnectTimeout = time.Second
	// listParallelCallDelay is how long a call waits for its answer before another is opened beside it. It is not given up:
	// discovery answers calls in turn.
	listParallelCallDelay = 3 * time.Second
	// listSilenceTimeout ends a watch. Discovery sends an empty line every 2 s while nothing changes.
	listSilenceTimeout = 3200 * time.Millisecond
	// maxRetryInterval and minRetryInterval bound the time between calls where the list is pushed.
	maxRetryInterval  = 200 * time.Millisecond
	minRetryInterval  = 20 * time.Millisecond
	drainGraceDivisor = 4 // of the time within which sends to a drained endpoint have to stop, if that is less
	// reopenParallelCallDelay is listParallelCallDelay for the first call after a silence: what a silent watch has missed binds 6 s
	// later.
	reopenParallelCallDelay = 2 * time.Second
	// maxPollGap bounds the time between calls where nodes poll: a list binds 6 s after discovery could be reached.
	maxPollGap = 2 * time.Second
	// maxOversizedBackoff bounds the time between calls for a list that is too long to be held: each costs discovery
	// the complete list.
	maxOversizedBackoff = 4 * time.Second
)

var errWatchPanicked = errors.New("panic")

// endpointWatch holds the connection to discovery. Fields without a mutex belong to run's goroutine.
type endpointWatch struct {
	node               *Node
	version            int64         // of the list; the next call asks for what came after it
	versionAddress     string        // the address that sent the version
	callRequests       chan struct{} // holds one request for a call
	silenceTimeout     time.Duration
	parallelCallDelay  time.Duration
	retryInterval      time.Duration
	oversizedBackoff   time.Duration // the last backoff for a list that is too long; 0: the last list was not
	reopensSilentWatch bool          // the next call reopens a watch that has fallen silent
	firstEvent         chan struct{} // closed once a watch event has come or the first call has failed
	firstEventOnce     sync.Once
	lastReceivedAt     atomic.Int64 // when the watch last received anything, Unix nanoseconds; 0: none is open

	mu      sync.Mutex
	address string
	ctx     context.Context // done when the address changes or the watch is paused
	cancel  context.CancelFunc
	paused  bool // the list comes from relays
}

func newEndpointWatch(n *Node) *endpointWatch {
	w := &endpointWatch{
		node:              n,
		address:           n.config.Discovery,
		versionAddress:    n.config.Discovery,
		callRequests:      make(chan struct{}, 1),
		silenceTimeout:    listSilenceTimeout,
		parallelCallDelay: listParallelCallDelay,
		retryInterval:     maxRetryInterval,
		firstEvent:        make(chan struct{}),
	}
	if grace := time.Duration(n.settings.DrainGrace); grace > 0 {
		w.retryInterval = max(min(w.retryInterval, grace/drainGraceDivisor), minRetryInterval)
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// move leaves the address for another at once. Versions of different addresses can't be compared, so the next call
// asks for the complete list.
func (w *endpointWatch) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	w.reopen()
}

// pause closes the watch while the list comes from relays, or resumes it after the version that it had.
func (w *endpointWatch) pause(paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = paused
	w.reopen()
}

// reopen closes the watch, and asks for another unless it is paused; mu is held.
func (w *endpointWatch) reopen() {
	w.cancel()
	if !w.paused {
		w.ctx, w.cancel = context.WithCancel(context.Background())
		w.requestCall()
	}
}

func (w *endpointWatch) current() (address string, ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address, w.ctx
}

// requestCall asks for a watch; requests before it is called for count as one.
func (w *endpointWatch) requestCall() {
	select {
	case w.callRequests <- struct{}{}:
	default:
	}
}

// markFirstEvent lets a start that waits for the first event go on.
func (w *endpointWatch) markFirstEvent() { w.firstEventOnce.Do(func() { close(w.firstEvent) }) }

// run opens one watch after another until the process ends.
func (w *endpointWatch) run() {
	if !w.node.settings.Policy.MustPollList {
		w.requestCall()
	}
	for range w.callRequests {
		address, ctx := w.current()
		if ctx.Err() == nil { // else the watch is paused, and its resumption asks for a call
			w.watchUntilFailure(ctx, address)
		}
	}
}

// watchUntilFailure follows one watch and asks for the next: after a backoff, or as soon as anybody else asks.
func (w *endpointWatch) watchUntilFailure(ctx context.Context, address string) {
	began := time.Now()
	opened, err := w.watch(ctx, address)
	if ctx.Err() != nil { // closed on purpose, which is no failure
		if current, _ := w.current(); current != address {
			w.node.log.Info("endpoint watch moved to another address", zap.String("from", address))
		}
		w.reopensSilentWatch = false
		return
	}
	w.node.counters.add(listWatchesFailed)
	w.markFirstEvent()
	select {
	case <-time.After(w.backoff(opened, err, time.Since(began))):
	case <-w.callRequests:
	}
	w.requestCall()
}

// backoff takes in why a watch has failed, and returns how long to wait before the next call.
func (w *endpointWatch) backoff(opened bool, err error, lasted time.Duration) time.Duration {
	var tooLong *endpointlist.TooLongError
	oversized := errors.As(err, &tooLong)
	if oversized {
		w.growOversizedBackoff(err)
	} else {
		w.node.log.Warn("endpoint watch ended", zap.Error(err), zap.Duration("lasted", lasted))
	}
	silent := errors.Is(err, os.ErrDeadlineExceeded)
	w.reopensSilentWatch = opened && silent
	switch {
	case w.reopensSilentWatch:
		return 0
	case oversized:
		return w.oversizedBackoff
	case w.node.settings.Policy.MustPollList:
		w.node.loop.post(w.node.loop.endpointWatchFailed)
		return maxPollGap
	case silent:
		return 0
	}
	return w.retryInterval
}

func (w *endpointWatch) growOversizedBackoff(err error) {
	if w.oversizedBackoff == 0 {
		w.node.log.Error("endpoint list too long, the old one kept", zap.Error(err))
	}
	w.oversizedBackoff = min(max(2*w.oversizedBackoff, maxRetryInterval), maxOversizedBackoff)
}

// watch follows the list until the watch fails, and returns why and whether it had been open.
func (w *endpointWatch) watch(ctx context.Context, address string) (opened bool, err error) {
	defer w.node.recoverPanic("discovery", func() { err = errWatchPanicked })
	if w.versionAddress != address {
		w.versionAddress, w.version = address, 0
	}
	call := w.call(address)
	stream, err := call.Open(ctx)
	if err != nil {
		return false, err
	}
	defer w.lastReceivedAt.Store(0)
	defer stream.Close()
	reader := endpointlist.NewReader(stream, w.node.listLimits)
	for {
		update, err := w.node.readList(reader.Next)
		if err != nil {
			if stream.Err() == nil { // the update came but is lost: the next call has to bring it again
				w.node.counters.add(listEntriesSkipped)
			}
			return true, err
		}
		w.updateReceived(update)
	}
}

func (w *endpointWatch) call(address string) discovery.Call {
	call := discovery.Call{
		Address:        address,
		Request:        watchHead(address, w.version),
		ConnectTimeout: listConnectTimeout,
		FirstGap:       w.parallelCallDelay,
		Gap:            w.parallelCallDelay,
		RetryInterval:  w.retryInterval,
		SilenceTimeout: w.silenceTimeout,
		OnCall:         func() { w.node.counters.add(listWatches) },
		OnFailure:      func() { w.node.counters.add(listWatchesFailed) },
		OnData:         func() { w.lastReceivedAt.Store(w.node.clock.nanos()) },
	}
	if w.reopensSilentWatch {
		call.FirstGap = min(w.parallelCallDelay, reopenParallelCallDelay)
	}
	return call
}

// updateReceived takes in one event of the watch.
func (w *endpointWatch) updateReceived(update listUpdate) {
	w.version = update.version
	w.node.counters.add(listUpdates)
	if w.oversizedBackoff > 0 {
		w.oversizedBackoff = 0
		w.node.log.Info("endpoint list can be held again", zap.Int("entries", len(update.entries)))
	}
	w.node.discoveryUpdated(update.entries, update.version, update.complete)
}
