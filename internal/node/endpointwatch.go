package node

// This file owns the watch of the list: it opens one anew that falls silent, calls again when told to and moves when its address does.
// The calls that are out for a watch are internal/discovery's, the form of a list internal/endpointlist's. It must never decide when to call after a call has failed, but for the longest that the page allows;
// where nobody asks for calls it makes them by itself.

import (
	"context"
	"errors"
	"fawnglade/internal/discovery"
	"fawnglade/internal/endpointlist"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	listConnectTimeout = time.Second
	listHeadTimeout    = 3 * time.Second         // a call that waits so long has another beside it, not in its place: calls are worked in turn
	listSilenceTimeout = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	maxRetryInterval   = 200 * time.Millisecond  // between calls, where nobody asks for them
	minRetryInterval   = 20 * time.Millisecond
	drainGraceShare    = 4 // of the time within which sends have to stop, if that is less
	// What a watch that has fallen silent misses counts as told 6 s later. The call that opens it anew has another beside it this soon,
	// so that it still comes in time.
	reopenHeadTimeout = 2 * time.Second
	// What discovery has counts as told 6 s after it could be reached, whoever chooses the waits and whatever is wrong with its list.
	maxPollGap          = 2 * time.Second
	maxOversizedBackoff = 4 * time.Second // between calls for a list that can't be held: each costs discovery all of it
)

type endpointWatch struct {
	node             *Node
	version          int64
	versionAddress   string // the address that told the version
	callRequests     chan struct{}
	silenceTimeout   time.Duration // after which a watch is taken to be dead
	headTimeout      time.Duration // after which a call that has not been answered has another beside it
	retryInterval    time.Duration // between calls, where nobody asks for them
	oversizedBackoff time.Duration // the last wait for a list that can be held; 0: the last one could be
	firstHeard       chan struct{} // closed once the first call has brought a line, or has failed
	once             sync.Once
	reopening        bool         // this call opens a watch anew that had fallen silent
	lastHeard        atomic.Int64 // when the watch last said anything; 0: none stands

	mu             sync.Mutex
	address        string
	addressContext context.Context // done once the address is another
	cancelAddress  context.CancelFunc
	paused         bool // relays tell the list
}

func newEndpointWatch(n *Node) *endpointWatch {
	d := &endpointWatch{
		node: n, address: n.config.Discovery, callRequests: make(chan struct{}, 1), silenceTimeout: listSilenceTimeout, headTimeout: listHeadTimeout,
		retryInterval: maxRetryInterval, firstHeard: make(chan struct{}),
	}
	if within := time.Duration(n.settings.DrainGrace); within > 0 {
		d.retryInterval = max(min(d.retryInterval, within/drainGraceShare), minRetryInterval)
	}
	d.addressContext, d.cancelAddress = context.WithCancel(context.Background())
	d.versionAddress = d.address
	return d
}

// move leaves the old address for another at once. The version goes with it: what one place has told says nothing of
// how another counts, so the next call asks for the whole list.
func (d *endpointWatch) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.address == address {
		return
	}
	d.address = address
	d.reopen()
}

func (d *endpointWatch) current() (string, context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address, d.addressContext
}

// pause leaves the watch while relays tell the list, or takes it up again, after the version that it had.
func (d *endpointWatch) pause(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = on
	d.reopen()
}

// reopen leaves the place that was, and calls the one that is, unless relays tell the list.
func (d *endpointWatch) reopen() {
	if d.cancelAddress(); !d.paused {
		d.addressContext, d.cancelAddress = context.WithCancel(context.Background())
		d.requestCall()
	}
}

// requestCall asks for a watch; one that is already asked for is enough.
func (d *endpointWatch) requestCall() {
	select {
	case d.callRequests <- struct{}{}:
	default:
	}
}

// run has one watch after another opened. One that stood and fell silent is followed by the next at once: the list that discovery has
// may count as told whether or not a watch is open.
func (d *endpointWatch) run() {
	if !d.node.settings.Policy.MustPollList {
		d.requestCall() // the decisions expect to be told unasked
	}
	for range d.callRequests {
		began := time.Now()
		address, place := d.current()
		if place.Err() != nil {
			continue // relays tell the list; whoever ends that calls
		}
		stood, err := d.watch(address, place)
		if place.Err() != nil {
			// Guards against a watch that was left being told as one that failed, which would put off the next call.
			if now, _ := d.current(); now != address {
				d.node.log.Info("watch of the list left for another address", zap.String("from", address))
			}
			d.reopening = false
			continue
		}
		d.node.counters.add(listWatchesFailed)
		d.once.Do(func() { close(d.firstHeard) })
		wait := d.retryInterval
		silent, tooLong := errors.Is(err, os.ErrDeadlineExceeded), (*endpointlist.TooLongError)(nil)
		if errors.As(err, &tooLong) {
			if d.oversizedBackoff == 0 {
				d.node.log.Error("the list can't be held, the one from before is kept", zap.Error(err))
			}
			d.oversizedBackoff = min(max(2*d.oversizedBackoff, maxRetryInterval), maxOversizedBackoff)
			wait = d.oversizedBackoff
		} else {
			d.node.log.Warn("watch of the list ended", zap.Error(err), zap.Duration("lasted", time.Since(began)))
		}
		switch d.reopening = stood && silent; {
		case d.reopening:
			wait = 0
		case tooLong != nil:
		case d.node.settings.Policy.MustPollList:
			d.node.loop.post(d.node.loop.endpointWatchFailed)
			wait = maxPollGap
		case silent:
			wait = 0
		}
		select {
		case <-time.After(wait):
			d.requestCall()
		case <-d.callRequests: // the decisions ask sooner, or the address is another
			d.requestCall()
		}
	}
}

// watch follows the list until it ends, and returns why, and whether it had begun.
func (d *endpointWatch) watch(address string, place context.Context) (stood bool, err error) {
	defer d.node.recoverPanic("discovery", func() { err = errors.New("panic") })
	if d.versionAddress != address {
		d.versionAddress, d.version = address, 0
	}
	how := discovery.Call{
		Address: address, Head: watchHead(address, d.version), Connect: listConnectTimeout, First: d.headTimeout, Gap: d.headTimeout, Again: d.retryInterval,
		Silence: d.silenceTimeout, Called: func() { d.node.counters.add(listWatches) }, Failed: func() { d.node.counters.add(listWatchesFailed) },
		Said: func() { d.lastHeard.Store(d.node.clock.nanos()) },
	}
	if d.reopening {
		how.First = min(d.headTimeout, reopenHeadTimeout)
	}
	said, err := how.Answered(place)
	if err != nil {
		return false, err
	}
	defer d.lastHeard.Store(0)
	defer said.Close()
	for lines := endpointlist.New(said, d.node.listLimits); ; {
		entries, l, err := d.node.readList(lines.Next)
		if err != nil {
			if said.Ended() == nil {
				d.node.counters.add(listEntriesSkipped) // what it told is lost, so the next call has to bring it again
			}
			return true, err // what had come of a line is nothing
		}
		d.applyUpdate(entries, l)
	}
}

// applyUpdate takes in one line of the watch.
func (d *endpointWatch) applyUpdate(entries []endpointEntry, l endpointlist.Update) {
	d.version = l.Version
	d.node.counters.add(listUpdates)
	if d.oversizedBackoff > 0 {
		d.oversizedBackoff = 0
		d.node.log.Info("the list can be held again", zap.Int("entries", len(entries)))
	}
	d.node.discoveryUpdated(entries, l.Version, l.Complete)
}

// readList reads a line. An entry that makes no sense is passed over; the others still count.
func (n *Node) readList(read func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error)) (entries []endpointEntry, l endpointlist.Update, err error) {
	l, err = read(func() { entries = nil }, func(in endpointlist.Entry) error {
		e, err := entryFrom(in, n.settings.Zones)
		if err == nil {
			entries = append(entries, e)
		}
		return err
	})
	if err != nil {
		return nil, l, err
	}
	if l.Skipped > 0 {
		n.counters[listEntriesSkipped].Add(int64(l.Skipped))
		n.log.Warn("entry of the list passed over", zap.Int("entries", l.Skipped), zap.Error(l.FirstErr))
	}
	return entries, l, nil
}

// parseList reads a list that is there whole.
func (n *Node) parseList(text []byte) (entries []endpointEntry, version int64, whole bool, err error) {
	entries, l, err := n.readList(func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error) {
		return endpointlist.Parse(text, n.listLimits, begin, take)
	})
	return entries, l.Version, l.Complete, err
}
