package node

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/policy"

	"go.uber.org/zap"
)

// Overrides are set by operators: which endpoints are disabled, and whether the node is drained. They persist in one
// file, which both processes of a hot restart read and replace. The file name ends with .orders, as in earlier builds,
// so that their overrides survive an upgrade. The operator gets a confirmation only once a change is in the file. From
// then on attempts obey it; the balancer gets it with the next event that the loop handles, as an endpoint that is
// draining.

const (
	overridesPollInterval = 50 * time.Millisecond // maximum delay until a change by the other process is read
	overridesLockTimeout  = 400 * time.Millisecond
	maxKnownNames         = 1 << 18 // names that have ever been on the list
)

var errTooManyOverrides = fmt.Errorf("too many overrides: at most %d endpoints may have one", maxOverrides)

// endpointOverride is the override of one endpoint. enabledAt is 0 while the endpoint is disabled. Once it is enabled
// the entry is kept while the endpoint may be in slow start, because it may have been restarted in the meantime.
type endpointOverride struct{ disabledAt, enabledAt policy.Time }

// overrideSet is the set of all overrides. A published set is immutable: changes replace it.
type overrideSet struct {
	drained     bool
	endpoints   map[string]endpointOverride // by name
	disabledIDs map[policy.EndpointID]bool  // endpoints disabled now; set by publish
}

func (o *overrideSet) clone() *overrideSet {
	return &overrideSet{drained: o.drained, endpoints: maps.Clone(o.endpoints)}
}

// disable disables an endpoint and returns the admin API's response.
func (o *overrideSet) disable(name string, now policy.Time) string {
	if entry, exists := o.endpoints[name]; !exists || entry.enabledAt != 0 {
		o.endpoints[name] = endpointOverride{disabledAt: now}
	}
	return name + " is out"
}

// enable enables a disabled endpoint again and returns the admin API's response.
func (o *overrideSet) enable(name string, now policy.Time) string {
	if entry, exists := o.endpoints[name]; exists && entry.enabledAt == 0 {
		o.endpoints[name] = endpointOverride{entry.disabledAt, now}
	}
	return name + " may serve"
}

// prune deletes the entries of endpoints that were enabled long enough ago to have finished slow start.
func (o *overrideSet) prune(now policy.Time, slowStart time.Duration) {
	maps.DeleteFunc(o.endpoints, func(_ string, entry endpointOverride) bool {
		return entry.enabledAt != 0 && now.Sub(entry.enabledAt) > 2*slowStart
	})
}

// apply returns an entry of the list as the balancer should see it.
func (o *overrideSet) apply(e endpointEntry) endpointEntry {
	override, exists := o.endpoints[e.name]
	if !exists || e.State == policy.StateRemoved {
		return e
	}
	if override.enabledAt == 0 {
		e.State = policy.StateDraining
	} else if e.StartedAt < override.disabledAt {
		// Guards against a list that does not yet show that the endpoint was restarted while disabled.
		e.StartedAt = override.enabledAt
	}
	return e
}

// mergeMissing adds the previous overrides that a damaged file no longer contains: damage must neither enable an
// endpoint nor end a drain.
func (o *overrideSet) mergeMissing(previous *overrideSet) {
	o.drained = o.drained || previous.drained
	for name, entry := range previous.endpoints {
		if _, exists := o.endpoints[name]; !exists {
			o.endpoints[name] = entry
		}
	}
}

// overrides holds the file's path and the current set. Its methods are safe for concurrent use unless they say
// otherwise.
type overrides struct {
	node *Node
	path string

	current  atomic.Pointer[overrideSet]
	changeMu sync.Mutex  // serializes changes, so that only one at a time has the lock file open
	mu       sync.Mutex  // guards fileInfo and the replacement of current
	fileInfo os.FileInfo // of the file when it was last read or written
	known    knownNames
	changed  chan struct{} // notifies watch of a change by this process

	entries map[string]*endpointEntry // the list without overrides, by name; event loop only
	applied *overrideSet              // the set last applied to the balancer; event loop only
	posted  *overrideSet              // the set that the event loop was last notified of; watch only
}

// newOverrides reads the overrides file. An unreadable file is logged and ignored; the node still starts.
func newOverrides(n *Node) *overrides {
	o := &overrides{
		node:    n,
		path:    filepath.Join(n.config.filesDir, n.fileName(".orders")),
		changed: make(chan struct{}, 1),
		entries: map[string]*endpointEntry{},
	}
	o.known.set = map[string]bool{}
	o.publish(&overrideSet{endpoints: map[string]endpointOverride{}})
	o.applied = o.current.Load()
	o.reload()
	o.posted = o.current.Load()
	return o
}

// fileName returns the name of one of this node's files in a directory that other nodes may share.
func (n *Node) fileName(suffix string) string {
	h := fnv.New64a()
	h.Write([]byte(n.config.Name + "\n" + n.config.Listen))
	return fmt.Sprintf("fawnglade-%016x%s", h.Sum64(), suffix)
}

// identity identifies the node in its files and between its processes.
func (n *Node) identity() string { return strconv.Quote(n.config.Name) + " " + n.config.Listen }

// isDisabled reports whether an endpoint is disabled. It is called immediately before an attempt is written.
func (o *overrides) isDisabled(id policy.EndpointID) bool { return o.current.Load().disabledIDs[id] }

func (o *overrides) drained() bool { return o.current.Load().drained }

// isKnown reports whether an endpoint has ever been on the list, or has an override.
func (o *overrides) isKnown(name string) bool {
	_, exists := o.current.Load().endpoints[name]
	return exists || o.known.contains(name)
}

func (o *overrides) addKnownNames(names ...string) { o.known.add(names) }

func (o *overrides) knownNames() []string { return o.known.all() }

// change applies one change: it reads the file again, changes a copy of the set, writes it and publishes it. It returns
// the admin API's response to the change.
func (o *overrides) change(apply func(*overrideSet) string) (answer string, err error) {
	o.changeMu.Lock()
	defer o.changeMu.Unlock()
	lock, err := lockFile(o.path+".lock", overridesLockTimeout)
	if err != nil {
		return "", err
	}
	defer lock.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reloadLocked()
	next := o.current.Load().clone()
	answer = apply(next)
	next.prune(o.node.clock.now(), o.node.settings.Policy.SlowStartWindow)
	if len(next.endpoints) > maxOverrides {
		return "", errTooManyOverrides
	}
	if err := o.write(next); err != nil {
		return "", err
	}
	o.publish(next)
	select {
	case o.changed <- struct{}{}:
	default: // a notification is already pending
	}
	return answer, nil
}

// write replaces the file. It is synced only if the node has a state directory.
func (o *overrides) write(set *overrideSet) error {
	sync := o.node.config.stateDir != ""
	if err := replaceFile(o.path, set.encode(o.node.identity()), sync); err != nil {
		return err
	}
	info, err := os.Lstat(o.path)
	if err != nil {
		info = nil // forces the next reload to read the file
	}
	o.fileInfo = info
	return nil
}

// reload reads the file if it has changed.
func (o *overrides) reload() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reloadLocked()
}

// reloadLocked reads the file if it has changed; the caller holds mu. A missing file changes nothing: no override was
// set yet, or the directory was cleared.
func (o *overrides) reloadLocked() {
	info, err := os.Lstat(o.path)
	if err != nil || o.isUnchanged(info) {
		return
	}
	o.fileInfo = info
	next, err := o.read(info)
	if err != nil {
		o.node.counters.add(overridesUnreadable)
		o.node.log.Warn("overrides file is not fully readable; keeping the previous overrides that it lacks",
			zap.String("file", o.path), zap.Error(err))
		if next == nil {
			return
		}
		next.mergeMissing(o.current.Load())
	}
	o.publish(next)
}

func (o *overrides) isUnchanged(info os.FileInfo) bool {
	last := o.fileInfo
	return last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size()
}

// read reads the file and returns the results of parseOverrides.
func (o *overrides) read(info os.FileInfo) (*overrideSet, error) {
	if !info.Mode().IsRegular() {
		return nil, errNotRegularFile
	}
	file, err := os.OpenFile(o.path, os.O_RDONLY|syscall.O_NOFOLLOW, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseOverrides(io.LimitReader(file, maxOverridesBytes), o.node.identity())
}

// publish replaces the current set.
func (o *overrides) publish(set *overrideSet) {
	set.disabledIDs = map[policy.EndpointID]bool{}
	for name, entry := range set.endpoints {
		if entry.enabledAt == 0 {
			set.disabledIDs[endpointID(name)] = true
		}
	}
	o.current.Store(set)
}

// watch posts each change of the overrides to the event loop: changes by this process at once, changes by the other
// process at the next poll.
func (o *overrides) watch(poll <-chan time.Time) {
	drained := false
	for {
		o.reload()
		set := o.current.Load()
		if set != o.posted {
			o.posted = set
			o.node.loop.post(o.node.loop.overridesChanged)
		}
		if set.drained != drained {
			drained = set.drained
			o.node.log.Info("drain", zap.Bool("drained", drained))
		}
		select {
		case <-o.changed:
		case <-poll:
		}
	}
}

// apply applies the overrides to entries of the list, and stores the entries without overrides. It is called on the
// event loop only.
func (o *overrides) apply(entries []endpointEntry, complete bool) []endpointEntry {
	if complete {
		o.entries = map[string]*endpointEntry{}
	}
	o.applied = o.current.Load()
	overridden := make([]endpointEntry, 0, len(entries))
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			delete(o.entries, e.name)
		} else {
			o.entries[e.name] = &e
		}
		overridden = append(overridden, o.applied.apply(e))
	}
	return overridden
}

// changedEntries returns the entries for which the current overrides differ from those last applied. It is called on
// the event loop only.
func (o *overrides) changedEntries() []endpointEntry {
	previous, current := o.applied, o.current.Load()
	o.applied = current
	var changed []endpointEntry
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		e := *o.entries[name]
		if after := current.apply(e); after != previous.apply(e) {
			changed = append(changed, after)
		}
	}
	return changed
}

// listedEntry returns an endpoint's last entry with the overrides applied. It is called on the event loop only.
func (o *overrides) listedEntry(name string) (e endpointEntry, listed bool) {
	entry, listed := o.entries[name]
	if !listed {
		return e, false
	}
	return o.applied.apply(*entry), true
}

// encodeListWithoutOverrides encodes the endpoint list without the overrides, in discovery's format. It is called on
// the event loop only.
func (o *overrides) encodeListWithoutOverrides() []byte {
	entries := make([]endpointEntry, 0, len(o.entries))
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		entries = append(entries, *o.entries[name])
	}
	return encodeList(0, entries, o.node.settings.Zones)
}

// knownNames is the set of names that have ever been on the list: an admin command with any other name is rejected as a
// mistake. Beyond maxKnownNames the oldest names are dropped.
type knownNames struct {
	mu    sync.Mutex
	set   map[string]bool
	order []string
}

func (k *knownNames) contains(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set[name]
}

func (k *knownNames) add(names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range names {
		if name != "" && len(name) <= maxNameBytes && !k.set[name] {
			k.set[name] = true
			k.order = append(k.order, name)
		}
	}
	for len(k.order) > maxKnownNames {
		delete(k.set, k.order[0])
		k.order = k.order[1:]
	}
}

func (k *knownNames) all() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.order)
}
