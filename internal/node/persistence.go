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

// The state that a node persists: the endpoint list, the balancer's estimates and the starts of other nodes. Package
// nodestate decides which of it is trusted after a start; this file opens the store and writes to it. If the disk is
// full, hangs or corrupts data, the node loses its state but keeps serving: only a start waits for the disk, for at
// most openTimeout.

const (
	openTimeout       = 2 * time.Second
	batchDelay        = 10 * time.Millisecond // delay in which further changes join the batch
	estimatesInterval = 5 * time.Second       // between writes of the estimates
	reopenInterval    = 5 * time.Second       // between attempts to open a store that failed
	lastWriteTimeout  = time.Second           // of the last batch at shutdown
	storeDir          = "memory"              // as in earlier builds, so that their state is found
)

var errOpenTimeout = fmt.Errorf("store did not open within %v", openTimeout)

// persistence holds the persisted state and its store. It is nil where the node has no state directory; the methods
// used by a start, by list updates, by the membership and at shutdown may then still be called.
type persistence struct {
	node *Node
	dir  string

	mu    sync.Mutex // guards state
	state *nodestate.State

	recovered nodestate.Recovered // state that the node starts with
	opened    openedStore         // used by the start, then by the write loop only
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}

	writtenBatches, failedBatches atomic.Int64
	writeStarted                  atomic.Int64           // start of the write in progress, Unix nanoseconds; 0: none
	lastError                     atomic.Pointer[string] // nil: none since the last successful write
}

// openedStore is a store with the state that was read from it.
type openedStore struct {
	store *store.Store // nil: not open
	state *nodestate.State
}

// openPersistence reads the state directory. If reading fails or exceeds openTimeout, the node starts without its
// state.
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
		p.recordError("no memory of before", err) // the admin API returns this text, and tools match it
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

// openInTime opens the store within openTimeout. A store that opens later is closed, so that the write loop can open it
// again.
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
		p.node.log.Warn("persisted state: dropped a truncated record at the end of the log",
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
		p.node.log.Warn("persisted state: closing the store failed", zap.Error(err))
	}
}

// recordError logs an error and stores it for the admin API.
func (p *persistence) recordError(operation string, err error) {
	text := operation + ": " + err.Error()
	p.lastError.Store(&text)
	p.node.log.Warn("persisted state: store operation failed", zap.String("what", operation), zap.Error(err))
}

// startWriteLoop starts the write loop. The loop queries the event loop and the membership, so it must be started after
// both exist.
func (p *persistence) startWriteLoop() {
	if p != nil {
		go p.writeLoop()
	}
}

// writeLoop writes changes to the store, one batch at a time. After a failure that closes the store it tries to open it
// every reopenInterval and then writes the complete state.
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

// reopen opens the store again and reports whether that succeeded.
func (p *persistence) reopen() bool {
	opened, err := p.open()
	if err != nil {
		p.recordError("opening the store again failed", err)
		return false
	}
	p.opened = opened
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.MergeStored(opened.state)
	return true
}

// writeChanges writes the changes since the last batch. Changes of a failed batch are written again with the next one.
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

// collectEstimates queries the membership for the starts of other nodes and the event loop for the estimates. If the
// loop's queue is full, the estimates wait for the next interval.
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

// close writes the remaining changes, for at most lastWriteTimeout.
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
