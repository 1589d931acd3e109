package node

// This file owns the one connection to discovery: it watches the list, notices when the watch falls silent and opens it anew,
// calls again when told to and moves when its address does. It must never decide when to call after a call has failed; where
// nobody asks for calls it makes them by itself.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	listConnect = time.Second
	listHead    = 3 * time.Second         // discovery works through calls in turn
	listSilence = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	longestLine = 4 << 20
	longestWait = 200 * time.Millisecond // between calls, where nobody asks for them
	leastWait   = 20 * time.Millisecond
	waitPart    = 4 // of the time within which sends have to stop, if that is less
	// What a watch that has fallen silent misses counts as told 6 s later. The call that opens it anew gives up this soon, so that
	// another still comes in time.
	listHeadAnew = 2 * time.Second
)

type discovery struct {
	node    *Node
	version int64
	of      context.Context // the place that told the version
	calls   chan struct{}
	silence time.Duration // after which a watch is taken to be dead
	head    time.Duration // within which a call has to be answered
	wait    time.Duration // between calls, where nobody asks for them
	heard   chan struct{} // closed once the first call has brought a line, or has failed
	once    sync.Once
	anew    bool         // this call opens a watch anew that had fallen silent
	word    atomic.Int64 // when the watch last said anything; 0: none stands

	mu      sync.Mutex
	address string
	place   context.Context // done once the address is another
	leave   context.CancelFunc
}

func newDiscovery(n *Node) *discovery {
	d := &discovery{node: n, address: n.config.Discovery, calls: make(chan struct{}, 1), silence: listSilence, head: listHead,
		wait: longestWait, heard: make(chan struct{})}
	if within := time.Duration(n.settings.StopWithin); within > 0 {
		d.wait = max(min(d.wait, within/waitPart), leastWait)
	}
	d.place, d.leave = context.WithCancel(context.Background())
	d.of = d.place
	return d
}

// move leaves the old address for another at once. The version goes with it: what one place has told says nothing of
// how another counts, so the next call asks for the whole list.
func (d *discovery) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.address == address {
		return
	}
	d.leave()
	d.address = address
	d.place, d.leave = context.WithCancel(context.Background())
	d.call()
}

func (d *discovery) where() (string, context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address, d.place
}

// call asks for a watch; one that is already asked for is enough.
func (d *discovery) call() {
	select {
	case d.calls <- struct{}{}:
	default:
	}
}

// run makes one call after another. One whose watch stood and fell silent, or that got no head, is followed by the next at once: the
// list that discovery has may count as told whether or not a watch is open, and a call that waits is answered as soon as it can be.
func (d *discovery) run() {
	if !d.node.settings.Policy.MustAsk {
		d.call() // the decisions expect to be told unasked
	}
	for range d.calls {
		began := time.Now()
		address, place := d.where()
		stood, err := d.watch(address, place)
		if place.Err() != nil {
			// Guards against a watch that was left being told as one that failed, which would put off the next call.
			d.node.log.Info("watch of the list left for another address", zap.String("from", address))
			d.anew = false
			continue
		}
		d.node.counters.add(listCallsFailed)
		d.node.log.Warn("watch of the list ended", zap.Error(err), zap.Duration("lasted", time.Since(began)))
		d.once.Do(func() { close(d.heard) })
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		if d.anew = stood && silent; d.anew {
			d.call()
			continue
		}
		if d.node.settings.Policy.MustAsk {
			d.node.loop.enter(d.node.loop.listFailed)
			continue
		}
		if silent {
			d.call()
			continue
		}
		select {
		case <-time.After(d.wait):
			d.call()
		case <-place.Done():
		}
	}
}

// watch follows the list until it ends, and returns why, and whether it had begun.
func (d *discovery) watch(address string, place context.Context) (stood bool, err error) {
	defer d.node.caught("discovery", func() { err = errors.New("panic") })
	d.node.counters.add(listCalls)
	dialer := net.Dialer{Timeout: listConnect}
	c, err := dialer.DialContext(place, "tcp", address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(place, func() { c.Close() })()
	if d.of != place {
		d.of, d.version = place, 0
	}
	head := d.head
	if d.anew {
		head = min(head, listHeadAnew)
	}
	c.SetDeadline(time.Now().Add(head))
	if _, err := c.Write([]byte(watchHead(address, d.version))); err != nil {
		return false, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, err
	}
	if r.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", r.Status)
	}
	defer d.word.Store(0)
	said := &words{d: d, c: c, body: r.Body}
	for lines := json.NewDecoder(said); ; said.size = 0 {
		var line json.RawMessage
		if err = lines.Decode(&line); err == nil {
			err = d.line(line)
		} else if broken := (*json.SyntaxError)(nil); !errors.As(err, &broken) {
			return true, err // what had come of a line is nothing
		}
		if err != nil {
			// What it told is lost, so the next call has to bring it again.
			d.node.counters.add(listLinesPassedOver)
			return true, err
		}
	}
}

// words reads what a watch says, and notices when it falls silent. A line is a whole value, however it is broken: lists may come
// indented, and a half of one that a reset leaves behind is none.
type words struct {
	d    *discovery
	c    net.Conn
	body io.Reader
	size int // since the last whole line
}

func (w *words) Read(p []byte) (int, error) {
	if w.size > longestLine {
		return 0, bufio.ErrTooLong
	}
	w.c.SetReadDeadline(time.Now().Add(w.d.silence))
	n, err := w.body.Read(p)
	if w.size += n; n > 0 {
		w.d.word.Store(w.d.node.clock.now())
	}
	return n, err
}

// line takes in one line of the watch. An entry that makes no sense is passed over; the others still count.
func (d *discovery) line(text []byte) error {
	entries, version, whole, err := d.node.listOf(text)
	if err != nil {
		return err
	}
	d.version = version
	d.node.counters.add(listLines)
	entries = d.node.state.listed(entries, version, whole)
	if d.node.hearing == nil {
		d.node.loop.enterList(entries, whole)
	} else {
		d.node.hearing.listed(entries, version, whole)
	}
	d.node.listed.Store(true)
	d.once.Do(func() { close(d.heard) })
	return nil
}

func (n *Node) listOf(text []byte) (entries []entry, version int64, whole bool, err error) {
	var in listLine
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, 0, false, err
	}
	if in.Version == nil {
		return nil, 0, false, errors.New("a list without a version")
	}
	for _, one := range in.Entries {
		e, err := entryOf(one, n.settings.Zones)
		if err != nil {
			n.counters.add(listLinesPassedOver)
			n.log.Warn("entry of the list passed over", zap.Error(err))
			continue
		}
		entries = append(entries, e)
	}
	// A server is not taken off the list because its entry could not be read.
	return entries, *in.Version, in.Whole && len(entries) == len(in.Entries), nil
}
