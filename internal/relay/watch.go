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
	watchConnect = time.Second
	watchHead    = 3 * time.Second         // a call that waits so long has another beside it, not in its place: calls are worked in turn
	watchSilence = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	leastPause   = 200 * time.Millisecond  // between calls
	mostPause    = 2 * time.Second         // a change is told 6 s after discovery can be reached: pause, connect and head leave room
	pathList     = "/v1/endpoints"
)

// watch follows the list until the context is done.
type watch struct {
	address string
	limits  endpointlist.Limits
	silence time.Duration
	log     *zap.Logger
	told    rarely
	record  func(endpointlist.Entry) (distribution.Record, error)
	take    func(told []distribution.Record, whole, first bool)

	version                      int64   // of run alone
	had                          counter // the version that the origin has, once it has it
	word                         counter // when the watch last said anything, by the server's clock; 0: none stands
	calls, failed, lines, passed counter
	clock                        func() int64
}

func (w *watch) run(ctx context.Context) {
	for pause := leastPause; ctx.Err() == nil; {
		stood, err := w.once(ctx)
		if ctx.Err() != nil {
			return
		}
		w.failed.Add(1)
		w.told.warn(w.log, "watch", "watch of the list ended; what it told stays", zap.Error(err))
		if pause = min(2*pause, mostPause); stood {
			pause = leastPause
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
func (w *watch) once(ctx context.Context) (stood bool, err error) {
	how := discovery.Call{
		Address: w.address, Head: fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, w.version, w.address),
		Connect: watchConnect, First: watchHead, Gap: watchHead, Again: leastPause, Silence: w.silence, Called: func() { w.calls.Add(1) },
		Failed: func() { w.failed.Add(1) }, Said: func() { w.word.Store(w.clock()) },
	}
	said, err := how.Answered(ctx)
	if err != nil {
		return false, err
	}
	defer w.word.Store(0)
	defer said.Close()
	lines := endpointlist.New(said, w.limits)
	for first := w.version == 0; ; first = false {
		var told []distribution.Record
		line, err := lines.Next(func() { told = told[:0] }, func(e endpointlist.Entry) error {
			r, err := w.record(e)
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
			w.passed.Add(int64(line.Skipped))
			w.told.warn(w.log, "entry", "entries of the list passed over", zap.Int("entries", line.Skipped), zap.Error(line.FirstErr))
		}
		w.take(told, line.Complete, first)
		w.version, stood = line.Version, true
		w.had.Store(line.Version)
		w.lines.Add(1)
	}
}

// standing tells whether a watch stands, or has a moment ago.
type standing struct{ since int64 }

// graceNs is how long an origin is without a watch before it says so: one that ends is most often opened anew at once. With the silence
// by which a watch is found dead, the ways below and a node's own call it has to come within the 6 s of a change.
const graceNs = int64(500e6)

func (s *standing) look(now, word int64) bool {
	if word != 0 {
		s.since = now
	}
	return s.since != 0 && now-s.since < graceNs
}
