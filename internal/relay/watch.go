package relay

// This file owns an origin's watch of discovery, in the platform's protocol. It must never take a call that failed, or a watch that
// fell silent, for a list.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"fawnglade/internal/distribution"
	"fawnglade/internal/listing"
)

const (
	watchConnect = time.Second
	watchHead    = 6 * time.Second         // discovery works through calls in turn
	watchSilence = 3200 * time.Millisecond // an empty line comes every 2 s while nothing changes
	leastPause   = 200 * time.Millisecond  // between calls
	mostPause    = 2 * time.Second         // a change is told 6 s after discovery can be reached: pause, connect and head leave room
	pathList     = "/v1/endpoints"
)

// watch follows the list until the context is done.
type watch struct {
	address string
	limits  listing.Limits
	silence time.Duration
	log     *zap.Logger
	told    rarely
	record  func(listing.Entry) (distribution.Record, error)
	take    func(told []distribution.Record, whole, first bool)

	version                      int64
	calls, failed, lines, passed counter
}

func (w *watch) run(ctx context.Context) {
	for pause := leastPause; ctx.Err() == nil; {
		w.calls.Add(1)
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

// once makes a call and follows it until it ends; it tells whether a line came.
func (w *watch) once(ctx context.Context) (stood bool, err error) {
	dialer := net.Dialer{Timeout: watchConnect}
	c, err := dialer.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(watchHead))
	if _, err := fmt.Fprintf(c, "GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, w.version, w.address); err != nil {
		return false, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, err
	}
	if answer.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", answer.Status)
	}
	lines := listing.New(&living{c, answer.Body, w.silence}, w.limits)
	for first := w.version == 0; ; first = false {
		var told []distribution.Record
		line, err := lines.Next(func() { told = told[:0] }, func(e listing.Entry) error {
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
		if line.Passed > 0 {
			w.passed.Add(int64(line.Passed))
			w.told.warn(w.log, "entry", "entries of the list passed over", zap.Int("entries", line.Passed), zap.Error(line.First))
		}
		w.take(told, line.Whole, first)
		w.version, stood = line.Version, true
		w.lines.Add(1)
	}
}

// living is a watch's body; without a byte for a while it ends.
type living struct {
	c       net.Conn
	body    io.Reader
	silence time.Duration
}

func (l *living) Read(p []byte) (int, error) {
	l.c.SetDeadline(time.Now().Add(l.silence))
	return l.body.Read(p)
}
