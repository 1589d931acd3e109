package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fawnglade/internal/discovery"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"

	"go.uber.org/zap"
)

const (
	watchConnectTimeout = time.Second
	// watchResponseTimeout is how long a request waits for a response before another request is sent. The first one is
	// kept open, since discovery processes requests in order.
	watchResponseTimeout = 3 * time.Second
	// watchSilenceTimeout is how long a watch may send nothing. Discovery sends an empty line every 2 s while nothing
	// changes.
	watchSilenceTimeout = 3200 * time.Millisecond
	// minBackoff and maxBackoff bound the wait between requests. A change must reach nodes within 6 s of discovery
	// becoming reachable; backoff, connecting and the response together have to stay below that.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	pathList   = "/v1/endpoints"
)

// discoveryWatch is an origin's watch of the endpoint list in discovery. A failed request or a watch that times out
// leaves the list unchanged.
type discoveryWatch struct {
	address        string
	limits         endpointlist.Limits
	silenceTimeout time.Duration
	clock          func() int64
	log            *zap.Logger
	warnings       warnLimiter
	toRecord       func(endpointlist.Entry) (distribution.Record, error)
	apply          func(watchEvent)

	version        int64        // of the list received last; used only by the goroutine of run
	appliedVersion atomic.Int64 // of the list that the origin has
	lastReceivedNs atomic.Int64 // when the watch last sent anything; 0 if not connected

	calls, failed, events, skipped atomic.Int64
}

// run watches the list until the context is done.
func (w *discoveryWatch) run(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; {
		received, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		w.failed.Add(1)
		w.warnings.warn(w.log, "watch", "endpoint watch ended; keeping the current list and retrying", zap.Error(err))
		backoff = min(2*backoff, maxBackoff)
		if received {
			backoff = minBackoff
		}
		timer := time.NewTimer(backoff/2 + time.Duration(rand.Int64N(int64(backoff/2))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// follow opens a watch and applies its events until it ends. received reports whether there was at least one event.
func (w *discoveryWatch) follow(ctx context.Context) (received bool, err error) {
	call := discovery.Call{
		Address:        w.address,
		Request:        w.request(),
		ConnectTimeout: watchConnectTimeout,
		FirstGap:       watchResponseTimeout,
		Gap:            watchResponseTimeout,
		RetryInterval:  minBackoff,
		SilenceTimeout: w.silenceTimeout,
		OnCall:         func() { w.calls.Add(1) },
		OnFailure:      func() { w.failed.Add(1) },
		OnData:         func() { w.lastReceivedNs.Store(w.clock()) },
	}
	body, err := call.Open(ctx)
	if err != nil {
		return false, err
	}
	defer w.lastReceivedNs.Store(0)
	defer body.Close()
	lines := endpointlist.NewReader(body, w.limits)
	for first := w.version == 0; ; first = false {
		err := w.receiveEvent(lines, first)
		if errors.Is(err, io.EOF) && !received {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return received, err
		}
		received = true
	}
}

// request returns the HTTP request for the changes of the list since w.version, or for the complete list if that is 0.
func (w *discoveryWatch) request() string {
	return fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, w.version, w.address)
}

// receiveEvent reads one line of the watch and applies it. first says that the line answers a request for the complete
// list.
func (w *discoveryWatch) receiveEvent(lines *endpointlist.Reader, first bool) error {
	var records []distribution.Record
	line, err := lines.Next(func() { records = records[:0] }, func(entry endpointlist.Entry) error {
		record, err := w.toRecord(entry)
		if err == nil {
			records = append(records, record)
		}
		return err
	})
	if err != nil {
		return err
	}
	if line.Skipped > 0 {
		w.skipped.Add(int64(line.Skipped))
		w.warnings.warn(w.log, "entry", "entries of the endpoint list skipped",
			zap.Int("entries", line.Skipped), zap.Error(line.FirstErr))
	}
	w.apply(watchEvent{records: records, complete: line.Complete, first: first})
	w.version = line.Version
	w.appliedVersion.Store(line.Version)
	w.events.Add(1)
	return nil
}

// connectionGraceNs is how long an origin has no watch before it reports that it is disconnected: a watch that ends is
// usually opened again at once. This grace, watchSilenceTimeout, the delay of the hops below and a node's own request
// must add up to less than 6 s, within which a change has to arrive.
const connectionGraceNs = int64(500e6)

// connectionGrace tracks whether a watch is connected, or was within connectionGraceNs.
type connectionGrace struct{ lastConnectedNs int64 }

// connected reports whether the watch counts as connected. lastReceivedNs is when the watch last sent anything; 0 if it
// is not connected now.
func (g *connectionGrace) connected(now, lastReceivedNs int64) bool {
	if lastReceivedNs != 0 {
		g.lastConnectedNs = now
	}
	return g.lastConnectedNs != 0 && now-g.lastConnectedNs < connectionGraceNs
}
