package node

// This file owns the one connection to discovery: it watches the list, notices when the watch falls silent, calls
// again when told to and moves when its address does. It must never decide when to call; where nobody asks for calls
// it makes them by itself.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
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
	firstWait   = 200 * time.Millisecond
	longestWait = 3 * time.Second
)

type discovery struct {
	node    *Node
	version int64
	of      context.Context // the place that told the version
	calls   chan struct{}
	silence time.Duration // after which a watch is taken to be dead
	word    atomic.Int64  // when the watch last said anything; 0: none stands

	mu      sync.Mutex
	address string
	place   context.Context // done once the address is another
	leave   context.CancelFunc
}

func newDiscovery(n *Node) *discovery {
	d := &discovery{node: n, address: n.config.Discovery, calls: make(chan struct{}, 1), silence: listSilence}
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

func (d *discovery) run() {
	wait := firstWait
	if !d.node.settings.Policy.MustAsk {
		d.call() // the decisions expect to be told unasked
	}
	for range d.calls {
		began, version := time.Now(), d.version
		address, place := d.where()
		err := d.watch(address, place)
		if place.Err() != nil {
			// Guards against a watch that was left being told as one that failed, which would put off the next call.
			d.node.log.Info("watch of the list left for another address", zap.String("from", address))
			continue
		}
		d.node.counters.add(listCallsFailed)
		d.node.log.Warn("watch of the list ended", zap.Error(err), zap.Duration("lasted", time.Since(began)))
		if d.node.settings.Policy.MustAsk {
			d.node.loop.enter(d.node.loop.listFailed)
			continue
		}
		if wait = min(2*wait, longestWait); d.version != version {
			wait = firstWait
		}
		select {
		case <-time.After(wait):
			d.call()
		case <-place.Done():
		}
	}
}

// watch follows the list until it ends, and returns why.
func (d *discovery) watch(address string, place context.Context) (err error) {
	defer d.node.caught("discovery", func() { err = errors.New("panic") })
	d.node.counters.add(listCalls)
	dialer := net.Dialer{Timeout: listConnect}
	c, err := dialer.DialContext(place, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(place, func() { c.Close() })()
	if d.of != place {
		d.of, d.version = place, 0
	}
	c.SetDeadline(time.Now().Add(listHead))
	if _, err := c.Write([]byte(watchHead(address, d.version))); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", r.Status)
	}
	defer d.word.Store(0)
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, longestLine)
	for {
		c.SetReadDeadline(time.Now().Add(d.silence))
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return err
			}
			return errors.New("the watch ended")
		}
		d.word.Store(d.node.clock.now())
		if len(lines.Bytes()) > 0 {
			if err := d.line(lines.Bytes()); err != nil {
				// What it told is lost, so the next call has to bring it again.
				d.node.counters.add(listLinesPassedOver)
				return err
			}
		}
	}
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
