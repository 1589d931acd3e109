package node

// Detects a second copy of a response that comes after the cooldown of its connection (upstreampool.go): the response
// to the next request then equals the one before it on the connection to the byte. Equal responses are usual where an
// endpoint answers many requests alike, so they count as a copy only if no other recent response was equal.

import (
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	copyWindow          = time.Second // after a response, in which a copy of it is looked for
	maxRecentResponses  = 64
	minRecentResponses  = 3 // with fewer it is not known yet whether responses differ
	copyWaitDivisor     = 2 // the response behind a possible copy is awaited for 1/copyWaitDivisor of the time left
	maxCopyWait         = 5 * time.Second
	copyCheckPause      = time.Minute // after a false alarm, so that no more than one response in it is delayed
	maxEqualRecentCount = 1           // the response before it on the same connection
)

// errRepeatedRejection means that a rejection may be a second copy of the one before it on the connection, so that the
// request may have run.
var errRepeatedRejection = errors.New("rejection may be a copy of the one before it")

// responseDigest identifies the bytes of a response's head and body; 0: none.
type responseDigest uint64

func digestResponse(head responseDigest, body []byte) responseDigest {
	digest := xxhash.NewWithSeed(uint64(head))
	_, _ = digest.Write(body) // can't fail
	return responseDigest(digest.Sum64())
}

// recentResponses holds the digests of the last responses on all connections. It is safe for concurrent use.
type recentResponses struct {
	mu          sync.Mutex
	digests     []responseDigest
	next        int       // index of the oldest one, once there are maxRecentResponses
	pausedUntil time.Time // no response is taken for a copy until then
}

func (r *recentResponses) add(digest responseDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.digests) < maxRecentResponses {
		r.digests = append(r.digests, digest)
		return
	}
	r.digests[r.next] = digest
	r.next = (r.next + 1) % maxRecentResponses
}

// isUnusual reports whether a response that equals the one before it on its connection equals no other recent one.
func (r *recentResponses) isUnusual(digest responseDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.digests) < minRecentResponses || time.Now().Before(r.pausedUntil) {
		return false
	}
	count := 0
	for first := r.digests; slices.Contains(first, digest); count++ {
		first = first[slices.Index(first, digest)+1:]
	}
	return count <= maxEqualRecentCount
}

// falseAlarm records that a response was no copy although it looked like one: endpoints answer alike here.
func (r *recentResponses) falseAlarm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil = time.Now().Add(copyCheckPause)
}

// mayBeCopy reports whether a complete response may be a second copy of the one before it on the connection.
func (t *roundTrip) mayBeCopy(digest responseDigest) bool {
	conn := t.conn
	return conn.lastDigest == digest && time.Since(conn.lastResponseAt) < copyWindow &&
		t.upstreams.recentResponses.isUnusual(digest)
}

// recordResponse records a complete response for the check of the next one.
func (t *roundTrip) recordResponse(digest responseDigest) {
	t.conn.lastDigest = digest
	t.conn.lastResponseAt = time.Now()
	t.upstreams.recentResponses.add(digest)
}

// readBehindCopy waits for another response behind one that may be a copy. If there is none within a part of the time
// left, the first one was not a copy and found is false. The connection can't be reused in either case.
func (t *roundTrip) readBehindCopy(copied upstreamReply) (behind upstreamReply, found bool, err error) {
	until := time.Now().Add(min(time.Until(t.deadline)/copyWaitDivisor, maxCopyWait))
	if err := t.attempt.setDeadline(t.conn.SetReadDeadline, until); err != nil {
		return upstreamReply{}, false, err
	}
	head, m, err := t.conn.readResponseHead(t.attempt.request.method)
	if errors.Is(err, os.ErrDeadlineExceeded) && !t.attempt.isCanceled() && len(t.conn.buffered()) == 0 {
		t.upstreams.recentResponses.falseAlarm()
		return upstreamReply{}, false, nil
	}
	if err != nil {
		return upstreamReply{}, false, err
	}
	t.upstreams.node.counters.add(responseCopiesDiscarded)
	if err := t.attempt.setDeadline(t.conn.SetReadDeadline, t.deadline); err != nil {
		return upstreamReply{}, false, err
	}
	return upstreamReply{Response: head, message: m, stage: copied.stage, uploadTime: copied.uploadTime}, true, nil
}
