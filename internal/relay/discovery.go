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
	// watchResponseTimeout is how long a request waits before another is sent beside it, not in its place: discovery
	// works requests in turn.
	watchResponseTimeout = 3 * time.Second
	// watchSilenceTimeout is how long a watch may send nothing: an empty line comes every 2 s while nothing changes.
	watchSilenceTimeout = 3200 * time.Millisecond
	// minBackoff and maxBackoff bound the wait between requests. A change has to reach nodes within 6 s of discovery
	// being reachable: backoff, connecting and the response leave room for that.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	pathList   = "/v1/endpoints"
)

// discoveryWatch is an origin's watch of discovery's list. A request that failed, or a watch that fell silent, is
// never taken for a list.
type discoveryWatch struct {
	address        string
	limits         endpointlist.Limits
	silenceTimeout time.Duration
	clock          func() int64
	log            *zap.Logger
	warnings       warnLimiter
	toRecord       func(endpointlist.Entry) (distribution.Record, error)
	apply          func(watchEvent)

	version        int64        // of the list; run's alone
	appliedVersion atomic.Int64 // of the list that the origin has
	lastReceivedNs atomic.Int64 // when the watch last sent anything; 0: not connected

	calls, failed, events, skipped atomic.Int64
}

// run follows the list until the context is done.
func (w *discoveryWatch) run(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; {
		received, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		w.failed.Add(1)
		w.warnings.warn(w.log, "watch", "endpoint watch ended; the list stays as it is", zap.Error(err))
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

// follow opens a watch and follows it until it ends. received: it sent at least one event.
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

// request returns the request for the list, or for what has changed in it since the origin's version.
func (w *discoveryWatch) request() string {
	return fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, w.version, w.address)
}

// receiveEvent reads one line of the list and applies it. first: it answers a request for the complete list.
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

// connectionGraceNs is how long an origin is without a watch before it reports that: one that ends is most often
// opened again at once. With watchSilenceTimeout, the hops below and a node's own request, a change has to arrive
// within 6 s.
const connectionGraceNs = int64(500e6)

// connectionGrace tells whether a watch is connected, or was a moment ago.
type connectionGrace struct{ lastConnectedNs int64 }

// connected takes in when the watch last sent anything; 0: it is not connected.
func (g *connectionGrace) connected(now, heardAtNs int64) bool {
	if heardAtNs != 0 {
		g.lastConnectedNs = now
	}
	return g.lastConnectedNs != 0 && now-g.lastConnectedNs < connectionGraceNs
}
