package node

// This file owns the shell of the memory: the store under it, the writing beside all else, and the start from what it holds. What is
// trusted is internal/nodestate's. A disk that is full, hangs or lies must cost memory, never service: nobody waits for it but the
// start, and that for openWithin at most.

import (
	"encoding/json"
	"errors"
	"fawnglade/internal/estimates"
	"fawnglade/internal/members"
	"fawnglade/internal/nodestate"
	"fawnglade/internal/store"
	"fawnglade/policy"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	openTimeout       = 2 * time.Second
	batchDelay        = 10 * time.Millisecond // changes that come together go into one batch
	estimatesInterval = 5 * time.Second
	reopenInterval    = 5 * time.Second
	storeDir          = "memory"
)

// persistence is nil where the node was given no directory.
type persistence struct {
	node *Node
	dir  string

	mu      sync.Mutex
	memory  *nodestate.Memory
	trusted nodestate.Trusted
	opened  *store.Store // as it was opened; nil: it was not. Of run alone
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}

	written, failed atomic.Int64 // batches
	since           atomic.Int64 // when a write that is under way began; 0: none
	broken          atomic.Pointer[string]
}

// openPersistence reads what a directory holds. What can't be read, or not in time, leaves the node without memory, which is told.
func openPersistence(n *Node) *persistence {
	if n.config.state == "" {
		return nil
	}
	s := &persistence{node: n, dir: filepath.Join(n.config.state, storeDir), wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	type opened struct {
		store  *store.Store
		memory *nodestate.Memory
		err    error
	}
	came := make(chan opened, 1)
	go func() {
		at, m, err := s.open()
		came <- opened{at, m, err}
	}()
	var o opened
	select {
	case o = <-came:
	case <-time.After(openTimeout):
		o.err = fmt.Errorf("not open within %v", openTimeout)
		go func() { // whenever it comes, it is let go, so that a later try can have it
			if late := <-came; late.store != nil {
				late.store.Close()
			}
		}()
	}
	if o.err != nil {
		s.recordFailure("no memory of before", o.err)
		o.memory = nodestate.Read(func(func(string, []byte)) {})
	}
	now := n.clock.nanos()
	s.memory = o.memory
	s.trusted = s.memory.Trust(now)
	s.memory.Begin(now)
	n.log.Info("memory", zap.Uint64("epoch", s.memory.Epoch()), zap.Int("servers", len(s.trusted.Servers)), zap.Int("unreadable", s.memory.Bad()),
		zap.Float64("learned counts", s.trusted.Part), zap.Strings("not trusted", s.trusted.Notes))
	s.opened = o.store
	return s
}

// run begins the writing. It asks the loop and the view of the others, so it comes once all parts are in place.
func (s *persistence) run() {
	if s != nil {
		go s.writeLoop(s.opened)
	}
}

func (s *persistence) open() (*store.Store, *nodestate.Memory, error) {
	files, err := s.node.config.files(s.dir, true)
	if err != nil {
		return nil, nil, err
	}
	at, recovery, err := store.OpenDirectory(files, store.Options{})
	if err != nil {
		return nil, nil, err
	}
	if recovery.TruncatedBytes > 0 {
		s.node.log.Warn("memory: a tail that a crash had cut off was dropped", zap.Int64("bytes", recovery.TruncatedBytes))
	}
	var failed error
	m := nodestate.Read(func(each func(string, []byte)) {
		snap := at.Snapshot()
		defer snap.Release()
		failed = snap.Each("", func(key string, value []byte) bool { each(key, value); return true })
	})
	if failed != nil {
		at.Close()
		return nil, nil, failed
	}
	return at, m, nil
}

func (s *persistence) recordFailure(what string, err error) {
	text := what + ": " + err.Error()
	s.broken.Store(&text)
	s.node.log.Warn("memory", zap.String("what", what), zap.Error(err))
}

// writeLoop puts changes on the disk, one batch at a time. After a failure it opens the store anew once in a while, and writes all.
func (s *persistence) writeLoop(at *store.Store) {
	defer close(s.done)
	defer func() {
		if at != nil {
			at.Close()
		}
	}()
	learn := time.NewTicker(estimatesInterval)
	defer learn.Stop()
	retry := time.NewTicker(reopenInterval)
	defer retry.Stop()
	s.wakeWriter()
	for last := false; !last; {
		select {
		case <-s.stop:
			last = true
		case <-s.wake:
			time.Sleep(batchDelay)
		case <-learn.C:
			s.collectEstimates()
			continue
		case <-retry.C:
			if at != nil {
				continue
			}
			var found *nodestate.Memory
			var err error
			if at, found, err = s.open(); err != nil {
				s.recordFailure("still not open", err)
				continue
			}
			s.mu.Lock()
			s.memory.Follow(found)
			s.mu.Unlock()
		}
		if at == nil {
			continue
		}
		s.mu.Lock()
		changes := s.memory.Changes()
		s.mu.Unlock()
		if len(changes) == 0 {
			continue
		}
		var batch store.Batch
		for _, c := range changes {
			if c.Value == nil {
				batch.Delete(c.Key)
			} else {
				batch.Put(c.Key, c.Value)
			}
		}
		s.since.Store(s.node.clock.nanos())
		err := at.Apply(&batch)
		s.since.Store(0)
		if err != nil {
			s.failed.Add(1)
			s.recordFailure("a write failed", err)
			s.mu.Lock()
			s.memory.Again(changes)
			s.mu.Unlock()
			if errors.Is(err, store.ErrReadOnly) {
				at.Close()
				at = nil
			}
			continue
		}
		s.written.Add(1)
		s.broken.Store(nil)
	}
}

func (s *persistence) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// collectEstimates has the loop say what the decisions have learned, when it comes to it, and the view who started when.
func (s *persistence) collectEstimates() {
	var starts map[string]uint64
	if s.node.members.query(func(m *members.Members, _ int64) { starts = m.Starts() }) == nil {
		s.mu.Lock()
		s.memory.Members(s.node.clock.nanos(), starts)
		s.mu.Unlock()
	}
	select {
	case s.node.loop.events <- func() {
		text := s.node.loop.encodeEstimates()
		s.mu.Lock()
		s.memory.Learned(s.node.clock.nanos(), text)
		s.mu.Unlock()
		s.wakeWriter()
	}:
	default: // it has its hands full
	}
}

// known is the list to begin with: what was told when, and is taken for cold. Nothing where there is no memory.
func (s *persistence) known() []endpointEntry {
	if s == nil {
		return nil
	}
	return s.node.entriesOf(s.trusted.Servers)
}

// version is the highest of the list that is remembered; 0: none.
func (s *persistence) version() int64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Version()
}

// before tells whether a list is newer than all that is remembered.
func (s *persistence) before(version int64) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return version > s.memory.Version()
}

// beside adds to what is remembered the servers that only an older list knows, unless they were removed since.
func (s *persistence) beside(remembered, entries []endpointEntry, version int64) []endpointEntry {
	known := map[string]bool{}
	for _, e := range remembered {
		known[e.name] = true
	}
	out := slices.Clone(remembered)
	for _, e := range s.applyMemory(entries, version, nil) {
		if !known[e.name] && e.State != policy.StateRemoved {
			out = append(out, e)
		}
	}
	return out
}

// inherit begins with what the decisions had learned, by its age.
func (s *persistence) inherit() {
	if s == nil || s.trusted.Learned == nil {
		return
	}
	l := s.node.loop
	var all estimates.Snapshot
	if err := json.Unmarshal(s.trusted.Learned, &all); err != nil || !all.Valid(len(s.node.settings.Classes)) {
		s.node.log.Warn("memory: what was learned makes no sense", zap.Error(err))
		return
	}
	all.Decay(s.trusted.Part)
	l.handle(nil, func() { l.balancer.Inherit(&all) })
}

// listed lays what is remembered over lines of the list, and remembers them.
func (s *persistence) listed(entries []endpointEntry, version int64, whole bool) []endpointEntry {
	if s == nil {
		return entries
	}
	out := s.applyMemory(entries, version, func(lines []nodestate.Server) { s.memory.Listed(s.node.clock.nanos(), lines, version, whole) })
	s.wakeWriter()
	return out
}

// applyMemory lays what is remembered over lines of a list, and has something done with them as they then are.
func (s *persistence) applyMemory(entries []endpointEntry, version int64, do func([]nodestate.Server)) []endpointEntry {
	return s.applyBy(entries, do, func(lines []nodestate.Server) []nodestate.Server { return s.memory.Over(lines, version) })
}

// applyToGossiped lays what is remembered over what another node has told.
func (s *persistence) applyToGossiped(entries []endpointEntry, version int64) []endpointEntry {
	if s == nil {
		return entries
	}
	return s.applyBy(entries, nil, func(lines []nodestate.Server) []nodestate.Server { return s.memory.OverOthers(lines, version) })
}

func (s *persistence) applyBy(entries []endpointEntry, do func([]nodestate.Server), by func([]nodestate.Server) []nodestate.Server) []endpointEntry {
	lines := make([]nodestate.Server, len(entries))
	for i, e := range entries {
		lines[i] = nodestate.Server{
			Name: e.name, Address: e.address, Zone: e.zone(s.node.settings.Zones), Pod: e.Pod, Weight: e.Weight, Started: int64(e.StartedAt),
			State: [...]nodestate.State{policy.StateActive: nodestate.Up, policy.StateDraining: nodestate.Draining, policy.StateRemoved: nodestate.Removed}[e.State],
		}
	}
	s.mu.Lock()
	over := by(lines)
	if do != nil {
		do(over)
	}
	s.mu.Unlock()
	out := slices.Clone(entries)
	for i := range out {
		if over[i].State != lines[i].State {
			out[i].State = endpointState(over[i].State)
		}
	}
	return out
}

func endpointState(m nodestate.State) policy.EndpointState {
	return [...]policy.EndpointState{nodestate.Up: policy.StateActive, nodestate.Draining: policy.StateDraining, nodestate.Removed: policy.StateRemoved}[m]
}

func (n *Node) entriesOf(servers []nodestate.Server) []endpointEntry {
	out := make([]endpointEntry, len(servers))
	for i, m := range servers {
		out[i] = endpointEntry{name: m.Name, address: m.Address, EndpointInfo: policy.EndpointInfo{
			ID: endpointID(m.Name), Zone: zoneIndex(m.Zone, n.settings.Zones),
			Pod: m.Pod, Weight: m.Weight, StartedAt: policy.Time(m.Started), State: endpointState(m.State),
		}}
	}
	return out
}

// starts are when other nodes started, as this one knew before.
func (s *persistence) starts() map[string]uint64 {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Starts()
}

// noteLaterStart hears from the others when they last knew this node to start.
func (s *persistence) noteLaterStart(start uint64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	found := s.memory.Older(start)
	s.mu.Unlock()
	if found {
		s.node.log.Warn("memory: an older copy, as others knew a later start of this node; the list goes before it")
	}
}

// statusJSON tells how the memory does, for who asks.
func (s *persistence) statusJSON() string {
	s.mu.Lock()
	v := struct {
		Epoch   uint64   `json:"epoch"`
		Servers int      `json:"servers"`
		Older   bool     `json:"older_copy"`
		Notes   []string `json:"not_trusted,omitempty"`
		Written int64    `json:"batches_written"`
		Failed  int64    `json:"batches_failed"`
		Waiting float64  `json:"write_under_way_s"`
		Broken  string   `json:"broken,omitempty"`
	}{s.memory.Epoch(), s.memory.Servers(), s.memory.IsOlder(), s.trusted.Notes, s.written.Load(), s.failed.Load(), 0, ""}
	s.mu.Unlock()
	if since := s.since.Load(); since > 0 {
		v.Waiting = float64(s.node.clock.nanos()-since) / 1e9
	}
	if b := s.broken.Load(); b != nil {
		v.Broken = *b
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// end writes what is left, and waits for it no longer than a moment.
func (s *persistence) end() {
	if s == nil {
		return
	}
	close(s.stop)
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}
