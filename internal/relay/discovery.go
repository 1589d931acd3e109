package relay

// This file owns an origin's watch of discovery, in the platform's protocol. It must never take a call that failed, or a watch that
// fell silent, for a list.

import (
	"context"
	"errors"
	"fawnglade/internal/discovery"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	watchConnectTimeout  = time.Second
	watchResponseTimeout = 3 * time.Second         // a call that waits so long has another beside it, not in its place: calls are worked in turn
	watchSilenceTimeout  = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	minBackoff           = 200 * time.Millisecond  // between calls
	maxBackoff           = 2 * time.Second         // a change is told 6 s after discovery can be reached: pause, connect and head leave room
	pathList             = "/v1/endpoints"
)

// watch follows the list until the context is done.
type discoveryWatch struct {
	address        string
	limits         endpointlist.Limits
	silenceTimeout time.Duration
	log            *zap.Logger
	warnings       warnLimiter
	toRecord       func(endpointlist.Entry) (distribution.Record, error)
	apply          func(told []distribution.Record, whole, first bool)

	version                       int64   // of run alone
	appliedVersion                counter // the version that the origin has, once it has it
	heardAtNs                     counter // when the watch last said anything, by the server's clock; 0: none stands
	calls, failed, lines, skipped counter
	clock                         func() int64
}

func (w *discoveryWatch) run(ctx context.Context) {
	for pause := minBackoff; ctx.Err() == nil; {
		stood, err := w.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		w.failed.Add(1)
		w.warnings.warn(w.log, "watch", "watch of the list ended; what it told stays", zap.Error(err))
		if pause = min(2*pause, maxBackoff); stood {
			pause = minBackoff
		}
		timer := time.NewTimer(pause/2 + time.Duration(rand.Int64N(int64(pause/2))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// once opens a watch and follows it until it ends; it tells whether a line came.
func (w *discoveryWatch) followOnce(ctx context.Context) (stood bool, err error) {
	how := discovery.Call{
		Address: w.address, Request: fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, w.version, w.address),
		ConnectTimeout: watchConnectTimeout, FirstGap: watchResponseTimeout, Gap: watchResponseTimeout, RetryInterval: minBackoff, SilenceTimeout: w.silenceTimeout, OnCall: func() { w.calls.Add(1) },
		OnFailure: func() { w.failed.Add(1) }, OnData: func() { w.heardAtNs.Store(w.clock()) },
	}
	said, err := how.Open(ctx)
	if err != nil {
		return false, err
	}
	defer w.heardAtNs.Store(0)
	defer said.Close()
	lines := endpointlist.NewReader(said, w.limits)
	for first := w.version == 0; ; first = false {
		var told []distribution.Record
		line, err := lines.Next(func() { told = told[:0] }, func(e endpointlist.Entry) error {
			r, err := w.toRecord(e)
			if err == nil {
				told = append(told, r)
			}
			return err
		})
		if errors.Is(err, io.EOF) && !stood {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return stood, err
		}
		if line.Skipped > 0 {
			w.skipped.Add(int64(line.Skipped))
			w.warnings.warn(w.log, "entry", "entries of the list passed over", zap.Int("entries", line.Skipped), zap.Error(line.FirstErr))
		}
		w.apply(told, line.Complete, first)
		w.version, stood = line.Version, true
		w.appliedVersion.Store(line.Version)
		w.lines.Add(1)
	}
}

// standing tells whether a watch stands, or has a moment ago.
type connectionGrace struct{ lastHeardNs int64 }

// graceNs is how long an origin is without a watch before it says so: one that ends is most often opened anew at once. With the silence
// by which a watch is found dead, the ways below and a node's own call it has to come within the 6 s of a change.
const connectionGraceNs = int64(500e6)

func (s *connectionGrace) connected(now, word int64) bool {
	if word != 0 {
		s.lastHeardNs = now
	}
	return s.lastHeardNs != 0 && now-s.lastHeardNs < connectionGraceNs
}
