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

// The watch of the endpoint list at discovery. A silent watch is reopened at once. After a failed watch the next call
// follows after a backoff, or earlier if the balancer requests one, as it does where the platform has nodes poll
// (policy.Effects.WatchEndpoints). Package discovery makes the calls that open one watch.
//
// The contract with discovery says that a change of the list is binding for a node 6 s after the node could have
// reached discovery, whether or not it has called. The delays below keep calls within that time.

const (
	listConnectTimeout = time.Second
	// listParallelCallDelay is how long a call waits for its response before a second call is made in parallel. The
	// first is not closed: discovery answers calls in order, so a new call would go to the end of its queue.
	listParallelCallDelay = 3 * time.Second
	// listSilenceTimeout closes a watch that receives nothing. Discovery sends an empty line every 2 s while the list
	// does not change.
	listSilenceTimeout = 3200 * time.Millisecond
	// maxRetryInterval and minRetryInterval bound the delay between calls where discovery pushes the list.
	maxRetryInterval  = 200 * time.Millisecond
	minRetryInterval  = 20 * time.Millisecond
	drainGraceDivisor = 4 // retry interval = drain grace / drainGraceDivisor, within the bounds above
	// reopenParallelCallDelay replaces listParallelCallDelay for the first call after a silent watch: a change that the
	// silent watch missed is binding 6 s after it.
	reopenParallelCallDelay = 2 * time.Second
	// startParallelCallDelay replaces listParallelCallDelay while a process waits for its first list: if the first call
	// was lost, the second has about half of the wait left to be answered.
	startParallelCallDelay = 2500 * time.Millisecond
	// thirdCallDelayRatio is how long such a process leaves the second call waiting before a third one closes it, in
	// multiples of listParallelCallDelay: until the wait is over.
	thirdCallDelayRatio = 4. / 3
	// maxPollGap bounds the time between calls where nodes poll: a list is binding 6 s after discovery could be
	// reached.
	maxPollGap = 2 * time.Second
	// maxOversizedBackoff bounds the delay between calls for a list that exceeds the limits: each call makes discovery
	// send the complete list.
	maxOversizedBackoff = 4 * time.Second
)

var errWatchPanicked = errors.New("panic")

// endpointWatch holds the connection to discovery. Fields above mu, except for channels and atomics, are used by run's
// goroutine only.
type endpointWatch struct {
	node               *Node
	version            int64         // of the last update; the next call requests later changes
	versionAddress     string        // the discovery address that the version came from
	callRequests       chan struct{} // buffers one request for a call
	silenceTimeout     time.Duration
	parallelCallDelay  time.Duration
	retryInterval      time.Duration
	oversizedBackoff   time.Duration // last backoff for a list that exceeds the limits; 0: the last list did not
	reopensSilentWatch bool          // whether the next call reopens a silent watch
	firstList          *firstList
	lastReceivedAt     atomic.Int64 // when the open watch last received data, Unix nanoseconds; 0: none is open

	mu      sync.Mutex
	address string
	ctx     context.Context // done when the address changes or the watch is paused
	cancel  context.CancelFunc
	paused  bool // while the list comes from relays
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
		firstList:         newFirstList(),
	}
	if grace := time.Duration(n.settings.DrainGrace); grace > 0 {
		w.retryInterval = max(min(w.retryInterval, grace/drainGraceDivisor), minRetryInterval)
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// setAddress closes the current watch and opens one at another address. List versions of different addresses can't be
// compared, so the next call requests the complete list.
func (w *endpointWatch) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.address = address
	w.reopen()
}

// pause closes the watch while the list comes from relays, or resumes it from the version it had.
func (w *endpointWatch) pause(paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = paused
	w.reopen()
}

// reopen closes the watch and, unless it is paused, requests a new one. The caller holds mu.
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

// requestCall requests a call to discovery. Requests are merged until run makes the call.
func (w *endpointWatch) requestCall() {
	select {
	case w.callRequests <- struct{}{}:
	default:
	}
}

// run opens watches, one at a time, until the process ends.
func (w *endpointWatch) run() {
	if !w.node.settings.Policy.MustPollList {
		w.requestCall()
	}
	for range w.callRequests {
		address, ctx := w.current()
		if ctx.Err() == nil { // otherwise the watch is paused, and resuming it requests a call
			w.watchUntilFailure(ctx, address)
		}
	}
}

// watchUntilFailure reads one watch until it fails and then requests the next: after a backoff, or as soon as another
// call is requested.
func (w *endpointWatch) watchUntilFailure(ctx context.Context, address string) {
	began := time.Now()
	opened, err := w.watch(ctx, address)
	if ctx.Err() != nil { // closed by reopen: not a failure
		if current, _ := w.current(); current != address {
			w.node.log.Info("endpoint watch closed: the discovery address has changed", zap.String("from", address))
		}
		w.reopensSilentWatch = false
		w.firstList.callClosed()
		return
	}
	w.node.counters.add(listWatchesFailed)
	w.firstList.callFailed(began, opened)
	select {
	case <-time.After(w.backoff(opened, err, time.Since(began))):
	case <-w.callRequests:
	}
	w.requestCall()
}

// backoff returns the delay before the next call after a watch that ended with an error.
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
		w.node.log.Error("endpoint list exceeds the limits; keeping the previous list", zap.Error(err))
	}
	w.oversizedBackoff = min(max(2*w.oversizedBackoff, maxRetryInterval), maxOversizedBackoff)
	w.firstList.settle(firstListTooLong)
}

// watch opens a watch and applies its updates until it fails. It returns whether the watch was open and the error.
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
	if w.version > 0 && w.firstList.current() == firstListMissing {
		reader.Notify(w.firstList.emptyLineReceived, w.firstList.lineStarted)
		defer w.firstList.lineStarted()
	}
	for {
		update, err := w.node.readList(reader.Next)
		if err != nil {
			if stream.Err() == nil { // the update was received but is unusable: the next call requests it again
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
	switch {
	case w.reopensSilentWatch:
		call.FirstGap = min(w.parallelCallDelay, reopenParallelCallDelay)
	case w.awaitsFirstList():
		call.FirstGap = min(w.parallelCallDelay, startParallelCallDelay)
		call.SecondGap = time.Duration(thirdCallDelayRatio * float64(w.parallelCallDelay))
	}
	return call
}

// awaitsFirstList reports whether the process needs discovery's list to be ready in time.
func (w *endpointWatch) awaitsFirstList() bool {
	return !w.node.settings.Policy.MustPollList && w.firstList.current() == firstListMissing
}

// updateReceived applies one update received on the watch.
func (w *endpointWatch) updateReceived(update listUpdate) {
	w.version = update.version
	w.node.counters.add(listUpdates)
	if w.oversizedBackoff > 0 {
		w.oversizedBackoff = 0
		w.node.log.Info("endpoint list is within the limits again", zap.Int("entries", len(update.entries)))
	}
	w.node.discoveryUpdated(update.entries, update.version, update.complete)
}
