package node

// This file owns the watch of the list: it opens one anew that falls silent, calls again when told to and moves when its address does.
// The calls that are out for a watch are internal/discovery's, the form of a list internal/endpointlist's. It must never decide when to call after a call has failed, but for the longest that the page allows;
// where nobody asks for calls it makes them by itself.

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fawnglade/internal/discovery"
	"fawnglade/internal/endpointlist"
)

const (
	listConnect = time.Second
	listHead    = 3 * time.Second         // a call that waits so long has another beside it, not in its place: calls are worked in turn
	listSilence = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	longestWait = 200 * time.Millisecond  // between calls, where nobody asks for them
	leastWait   = 20 * time.Millisecond
	waitPart    = 4 // of the time within which sends have to stop, if that is less
	// What a watch that has fallen silent misses counts as told 6 s later. The call that opens it anew has another beside it this soon,
	// so that it still comes in time.
	listHeadAnew = 2 * time.Second
	// What discovery has counts as told 6 s after it could be reached, whoever chooses the waits and whatever is wrong with its list.
	mostApart = 2 * time.Second
	mostLong  = 4 * time.Second // between calls for a list that can't be held: each costs discovery all of it
)

type endpointWatch struct {
	node    *Node
	version int64
	of      string // the address that told the version
	calls   chan struct{}
	silence time.Duration // after which a watch is taken to be dead
	head    time.Duration // after which a call that has not been answered has another beside it
	wait    time.Duration // between calls, where nobody asks for them
	long    time.Duration // the last wait for a list that can be held; 0: the last one could be
	heard   chan struct{} // closed once the first call has brought a line, or has failed
	once    sync.Once
	anew    bool         // this call opens a watch anew that had fallen silent
	word    atomic.Int64 // when the watch last said anything; 0: none stands

	mu      sync.Mutex
	address string
	place   context.Context // done once the address is another
	leave   context.CancelFunc
	paused  bool // relays tell the list
}

func newEndpointWatch(n *Node) *endpointWatch {
	d := &endpointWatch{node: n, address: n.config.Discovery, calls: make(chan struct{}, 1), silence: listSilence, head: listHead,
		wait: longestWait, heard: make(chan struct{})}
	if within := time.Duration(n.settings.DrainGrace); within > 0 {
		d.wait = max(min(d.wait, within/waitPart), leastWait)
	}
	d.place, d.leave = context.WithCancel(context.Background())
	d.of = d.address
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
	d.open()
}

func (d *endpointWatch) where() (string, context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address, d.place
}

// pause leaves the watch while relays tell the list, or takes it up again, after the version that it had.
func (d *endpointWatch) pause(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = on
	d.open()
}

// open leaves the place that was, and calls the one that is, unless relays tell the list.
func (d *endpointWatch) open() {
	if d.leave(); !d.paused {
		d.place, d.leave = context.WithCancel(context.Background())
		d.call()
	}
}

// call asks for a watch; one that is already asked for is enough.
func (d *endpointWatch) call() {
	select {
	case d.calls <- struct{}{}:
	default:
	}
}

// run has one watch after another opened. One that stood and fell silent is followed by the next at once: the list that discovery has
// may count as told whether or not a watch is open.
func (d *endpointWatch) run() {
	if !d.node.settings.Policy.MustPollList {
		d.call() // the decisions expect to be told unasked
	}
	for range d.calls {
		began := time.Now()
		address, place := d.where()
		if place.Err() != nil {
			continue // relays tell the list; whoever ends that calls
		}
		stood, err := d.watch(address, place)
		if place.Err() != nil {
			// Guards against a watch that was left being told as one that failed, which would put off the next call.
			if now, _ := d.where(); now != address {
				d.node.log.Info("watch of the list left for another address", zap.String("from", address))
			}
			d.anew = false
			continue
		}
		d.node.counters.add(listCallsFailed)
		d.once.Do(func() { close(d.heard) })
		wait := d.wait
		silent, tooLong := errors.Is(err, os.ErrDeadlineExceeded), (*endpointlist.TooLongError)(nil)
		if errors.As(err, &tooLong) {
			if d.long == 0 {
				d.node.log.Error("the list can't be held, the one from before is kept", zap.Error(err))
			}
			d.long = min(max(2*d.long, longestWait), mostLong)
			wait = d.long
		} else {
			d.node.log.Warn("watch of the list ended", zap.Error(err), zap.Duration("lasted", time.Since(began)))
		}
		switch d.anew = stood && silent; {
		case d.anew:
			wait = 0
		case tooLong != nil:
		case d.node.settings.Policy.MustPollList:
			d.node.loop.enter(d.node.loop.listFailed)
			wait = mostApart
		case silent:
			wait = 0
		}
		select {
		case <-time.After(wait):
			d.call()
		case <-d.calls: // the decisions ask sooner, or the address is another
			d.call()
		}
	}
}

// watch follows the list until it ends, and returns why, and whether it had begun.
func (d *endpointWatch) watch(address string, place context.Context) (stood bool, err error) {
	defer d.node.caught("discovery", func() { err = errors.New("panic") })
	if d.of != address {
		d.of, d.version = address, 0
	}
	how := discovery.Call{Address: address, Head: watchHead(address, d.version), Connect: listConnect, First: d.head, Gap: d.head, Again: d.wait,
		Silence: d.silence, Called: func() { d.node.counters.add(listCalls) }, Failed: func() { d.node.counters.add(listCallsFailed) },
		Said: func() { d.word.Store(d.node.clock.now()) }}
	if d.anew {
		how.First = min(d.head, listHeadAnew)
	}
	said, err := how.Answered(place)
	if err != nil {
		return false, err
	}
	defer d.word.Store(0)
	defer said.Close()
	for lines := endpointlist.New(said, d.node.lists); ; {
		entries, l, err := d.node.list(lines.Next)
		if err != nil {
			if said.Ended() == nil {
				d.node.counters.add(listLinesPassedOver) // what it told is lost, so the next call has to bring it again
			}
			return true, err // what had come of a line is nothing
		}
		d.line(entries, l)
	}
}

// line takes in one line of the watch.
func (d *endpointWatch) line(entries []entry, l endpointlist.Update) {
	d.version = l.Version
	d.node.counters.add(listLines)
	if d.long > 0 {
		d.long = 0
		d.node.log.Info("the list can be held again", zap.Int("entries", len(entries)))
	}
	d.node.told(entries, l.Version, l.Complete)
}

// list reads a line. An entry that makes no sense is passed over; the others still count.
func (n *Node) list(read func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error)) (entries []entry, l endpointlist.Update, err error) {
	l, err = read(func() { entries = nil }, func(in endpointlist.Entry) error {
		e, err := entryOf(in, n.settings.Zones)
		if err == nil {
			entries = append(entries, e)
		}
		return err
	})
	if err != nil {
		return nil, l, err
	}
	if l.Skipped > 0 {
		n.counters[listLinesPassedOver].Add(int64(l.Skipped))
		n.log.Warn("entry of the list passed over", zap.Int("entries", l.Skipped), zap.Error(l.FirstErr))
	}
	return entries, l, nil
}

// listOf reads a list that is there whole.
func (n *Node) listOf(text []byte) (entries []entry, version int64, whole bool, err error) {
	entries, l, err := n.list(func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error) {
		return endpointlist.Parse(text, n.lists, begin, take)
	})
	return entries, l.Version, l.Complete, err
}
