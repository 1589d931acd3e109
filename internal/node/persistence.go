package node

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/members"
	"fawnglade/internal/nodestate"
	"fawnglade/internal/store"

	"go.uber.org/zap"
)

// The state that a node persists: the endpoint list, the estimates of the decisions and the starts of other nodes.
// Package nodestate decides what of it is trusted after a start; this file opens the store and writes to it. A disk
// that is full, hangs or corrupts data costs the state, never service: only the start waits for it, for openTimeout.

const (
	openTimeout       = 2 * time.Second
	batchDelay        = 10 * time.Millisecond // changes that come together go into one batch
	estimatesInterval = 5 * time.Second       // between writes of the estimates
	reopenInterval    = 5 * time.Second       // between attempts to open a store that failed
	lastWriteTimeout  = time.Second           // at shutdown
	storeDir          = "memory"              // as earlier builds named it, whose state is there
)

var errOpenTimeout = fmt.Errorf("not open within %v", openTimeout)

// persistence holds the persisted state and its store. It is nil where the node has no state directory; its methods
// may then be called all the same.
type persistence struct {
	node *Node
	dir  string

	mu    sync.Mutex // guards state
	state *nodestate.State

	recovered nodestate.Recovered // what the start goes by
	opened    openedStore         // of the start, then of the write loop
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}

	writtenBatches, failedBatches atomic.Int64           // batches
	writeStarted                  atomic.Int64           // when the write under way began, Unix nanoseconds; 0: none is
	lastError                     atomic.Pointer[string] // nil once a write has succeeded
}

// openedStore is a store and the state that was found in it.
type openedStore struct {
	store *store.Store // nil: not open
	state *nodestate.State
}

// openPersistence reads the state directory. If it can't be read, or not in time, the node starts without its state.
func openPersistence(n *Node) *persistence {
	if n.config.stateDir == "" {
		return nil
	}
	p := &persistence{
		node: n,
		dir:  filepath.Join(n.config.stateDir, storeDir),
		wake: make(chan struct{}, 1),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	opened, err := p.openInTime()
	if err != nil {
		p.recordError("no memory of before", err) // the admin API shows this text, so it stays
		opened.state = nodestate.Load(func(func(string, []byte)) {})
	}
	now := n.clock.nanos()
	p.opened, p.state = opened, opened.state
	p.recovered = p.state.Recover(now)
	p.state.RecordStart(now)
	n.log.Info("persisted state recovered", zap.Uint64("epoch", p.state.Epoch()),
		zap.Int("endpoints", len(p.recovered.Endpoints)), zap.Int("unreadable values", p.state.UnreadableValues()),
		zap.Float64("weight of estimates", p.recovered.EstimatesWeight), zap.Strings("not trusted", p.recovered.NotTrusted))
	return p
}

// openInTime opens the store within openTimeout. One that opens later is closed, so that the write loop can reopen it.
func (p *persistence) openInTime() (openedStore, error) {
	type result struct {
		opened openedStore
		err    error
	}
	results := make(chan result, 1)
	go func() {
		opened, err := p.open()
		results <- result{opened, err}
	}()
	select {
	case r := <-results:
		return r.opened, r.err
	case <-time.After(openTimeout):
		go func() {
			if late := <-results; late.opened.store != nil {
				p.closeStore(late.opened.store)
			}
		}()
		return openedStore{}, errOpenTimeout
	}
}

func (p *persistence) open() (openedStore, error) {
	files, err := p.node.config.openFiles(p.dir, true)
	if err != nil {
		return openedStore{}, err
	}
	opened, recovery, err := store.OpenDirectory(files, store.Options{})
	if err != nil {
		return openedStore{}, err
	}
	if recovery.TruncatedBytes > 0 {
		p.node.log.Warn("persisted state: a tail that a crash had cut off was dropped",
			zap.Int64("bytes", recovery.TruncatedBytes))
	}
	var readErr error
	state := nodestate.Load(func(each func(string, []byte)) {
		snapshot := opened.Snapshot()
		defer snapshot.Release()
		readErr = snapshot.Each("", func(key string, value []byte) bool {
			each(key, value)
			return true
		})
	})
	if readErr != nil {
		p.closeStore(opened)
		return openedStore{}, readErr
	}
	return openedStore{opened, state}, nil
}

func (p *persistence) closeStore(s *store.Store) {
	if err := s.Close(); err != nil {
		p.node.log.Warn("persisted state: the store did not close cleanly", zap.Error(err))
	}
}

// recordError logs an error and keeps it for the admin API.
func (p *persistence) recordError(what string, err error) {
	text := what + ": " + err.Error()
	p.lastError.Store(&text)
	p.node.log.Warn("persisted state: the store fails", zap.String("what", what), zap.Error(err))
}

// run begins to write. The write loop queries the event loop and the members, so it starts once these are in place.
func (p *persistence) startWriteLoop() {
	if p != nil {
		go p.writeLoop()
	}
}

// writeLoop writes changes to the store, one batch at a time. After a failure it opens the store anew every
// reopenInterval and writes everything.
func (p *persistence) writeLoop() {
	defer close(p.done)
	defer func() {
		if p.opened.store != nil {
			p.closeStore(p.opened.store)
		}
	}()
	estimates := time.NewTicker(estimatesInterval)
	defer estimates.Stop()
	reopen := time.NewTicker(reopenInterval)
	defer reopen.Stop()
	p.wakeWriter()
	for {
		select {
		case <-p.stop:
			p.writeChanges()
			return
		case <-p.wake:
			time.Sleep(batchDelay)
			p.writeChanges()
		case <-estimates.C:
			p.collectEstimates()
		case <-reopen.C:
			if p.opened.store == nil && p.reopen() {
				p.writeChanges()
			}
		}
	}
}

// reopen opens a store that has failed, and reports whether it is open.
func (p *persistence) reopen() bool {
	opened, err := p.open()
	if err != nil {
		p.recordError("still not open", err)
		return false
	}
	p.opened = opened
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.MergeStored(opened.state)
	return true
}

// writeChanges writes what has changed since the last batch. Changes of a batch that fails are written again.
func (p *persistence) writeChanges() {
	if p.opened.store == nil {
		return
	}
	p.mu.Lock()
	changes := p.state.Changes()
	p.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	p.writeStarted.Store(p.node.clock.nanos())
	err := p.opened.store.Apply(batchOf(changes))
	p.writeStarted.Store(0)
	if err == nil {
		p.writtenBatches.Add(1)
		p.lastError.Store(nil)
		return
	}
	p.failedBatches.Add(1)
	p.recordError("a write failed", err)
	p.mu.Lock()
	p.state.MarkChanged(changes)
	p.mu.Unlock()
	if errors.Is(err, store.ErrReadOnly) {
		p.closeStore(p.opened.store)
		p.opened.store = nil
	}
}

func batchOf(changes []nodestate.Change) *store.Batch {
	var batch store.Batch
	for _, change := range changes {
		if change.Value == nil {
			batch.Delete(change.Key)
		} else {
			batch.Put(change.Key, change.Value)
		}
	}
	return &batch
}

func (p *persistence) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// collectEstimates asks the members when other nodes started, and the loop for the estimates. A full loop is not
// waited for: the next interval is soon enough.
func (p *persistence) collectEstimates() {
	var starts map[string]uint64
	if p.node.members.query(func(m *members.Members, _ int64) { starts = m.KnownStartsMs() }) == nil {
		p.mu.Lock()
		p.state.RecordMemberStarts(p.node.clock.nanos(), starts)
		p.mu.Unlock()
	}
	p.node.loop.tryPost(func() {
		text := p.node.loop.encodeEstimates()
		p.mu.Lock()
		p.state.RecordEstimates(p.node.clock.nanos(), text)
		p.mu.Unlock()
		p.wakeWriter()
	})
}

// close writes what is left, within lastWriteTimeout.
func (p *persistence) close() {
	if p == nil {
		return
	}
	close(p.stop)
	select {
	case <-p.done:
	case <-time.After(lastWriteTimeout):
	}
}
