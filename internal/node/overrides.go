package node

// This file owns what operators ordered by hand: which servers are out and whether the node is drained. It lays that over
// the list before the decisions see it, and keeps it in one small file that both processes of a node read and replace. It
// must never decide where a request goes, nor say yes to an order that is not in the file; it trusts nothing it reads there.

import (
	"bufio"
	"bytes"
	"errors"
	"fawnglade/policy"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	overridesVersion      = "1"
	overridesPollInterval = 50 * time.Millisecond // how soon what the other process was ordered is known here
	overridesLockTimeout  = 400 * time.Millisecond
	maxOverrides          = 4096
	maxOverridesBytes     = 2 << 20
	maxNameBytes          = 256
	maxKnownNames         = 1 << 18 // names that the list has ever told
)

// disabledEndpoint is one server's order: since when it was out, and when it was put back, 0 while it is out.
type disabledEndpoint struct{ disabledAt, enabledAt policy.Time }

// overrideSet is all of the orders at a time. One that others may see is never changed, only replaced.
type overrideSet struct {
	drained   bool
	endpoints map[string]disabledEndpoint
	disabled  map[policy.EndpointID]bool // those that are out now
}

func (o *overrideSet) copy() *overrideSet {
	return &overrideSet{drained: o.drained, endpoints: maps.Clone(o.endpoints)}
}

func (o *overrideSet) disable(name string, now policy.Time) string {
	if was, had := o.endpoints[name]; !had || was.enabledAt != 0 {
		o.endpoints[name] = disabledEndpoint{disabledAt: now}
	}
	return name + " is out"
}

func (o *overrideSet) enable(name string, now policy.Time) string {
	if was, had := o.endpoints[name]; had && was.enabledAt == 0 {
		o.endpoints[name] = disabledEndpoint{was.disabledAt, now}
	}
	return name + " may serve"
}

type overrides struct {
	node *Node
	path string

	current  atomic.Pointer[overrideSet]
	fileInfo os.FileInfo // the file as it was read last; of watch and change, under mu
	mu       sync.Mutex
	changeMu sync.Mutex // of those who change: one at a time has the file's lock open and waits for it, as each open file is a descriptor

	names struct {
		sync.Mutex
		of    map[string]bool // every server that was ever listed
		order []string
	}
	entries map[string]*endpointEntry // what discovery last said, by name; of the loop alone
	applied *overrideSet              // the orders that the decisions know; of the loop alone
}

// newOverrides reads what stands from before. What can't be read is told and passed over; the node starts all the same.
func newOverrides(n *Node) *overrides {
	o := &overrides{node: n, path: filepath.Join(n.config.filesDir, n.fileName(".orders")), entries: map[string]*endpointEntry{}}
	o.names.of = map[string]bool{}
	o.current.Store(&overrideSet{endpoints: map[string]disabledEndpoint{}, disabled: map[policy.EndpointID]bool{}})
	o.applied = o.current.Load()
	o.reload()
	return o
}

// fileName is what a file of this node is called in a folder that other nodes may share.
func (n *Node) fileName(ending string) string {
	h := fnv.New64a()
	io.WriteString(h, n.config.Name+"\n"+n.config.Listen)
	return fmt.Sprintf("fawnglade-%016x%s", h.Sum64(), ending)
}

func (o *overrides) owner() string { c := o.node.config; return strconv.Quote(c.Name) + " " + c.Listen }

// isDisabled tells whether a server was taken out; any goroutine may ask, and does so just before it writes to the server.
func (o *overrides) isDisabled(id policy.EndpointID) bool { return o.current.Load().disabled[id] }

func (o *overrides) drained() bool { return o.current.Load().drained }

// isKnown tells whether the list has ever told of a server, or an order stands for it.
func (o *overrides) isKnown(name string) bool {
	if _, had := o.current.Load().endpoints[name]; had {
		return true
	}
	o.names.Lock()
	defer o.names.Unlock()
	return o.names.of[name]
}

// rememberNames notes names of the list; the longest known go first where there are too many.
func (o *overrides) rememberNames(names ...string) {
	o.names.Lock()
	defer o.names.Unlock()
	for _, name := range names {
		if name != "" && len(name) <= maxNameBytes && !o.names.of[name] {
			o.names.of[name] = true
			o.names.order = append(o.names.order, name)
		}
	}
	for len(o.names.order) > maxKnownNames {
		delete(o.names.of, o.names.order[0])
		o.names.order = o.names.order[1:]
	}
}

func (o *overrides) knownNames() []string {
	o.names.Lock()
	defer o.names.Unlock()
	return slices.Clone(o.names.order)
}

// change has one order carried out by this process: read the file again, change, write it whole, then let it count.
func (o *overrides) change(order func(*overrideSet) string) (done string, err error) {
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
	next := o.current.Load().copy()
	done = order(next)
	next.prune(o.node.clock.now(), o.node.settings.Policy.SlowStartWindow)
	if len(next.endpoints) > maxOverrides {
		return "", fmt.Errorf("more than %d servers out", maxOverrides)
	}
	if err := o.write(next); err != nil {
		return "", err
	}
	o.publish(next)
	return done, nil
}

// prune drops orders that have ended: a server put back so long ago is warm.
func (o *overrideSet) prune(now policy.Time, warm time.Duration) {
	maps.DeleteFunc(o.endpoints, func(_ string, s disabledEndpoint) bool { return s.enabledAt != 0 && now.Sub(s.enabledAt) > 2*warm })
}

// lockFile holds the one lock on a node's files until it is closed; a process that dies lets go of it.
func lockFile(path string, patience time.Duration) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_CLOEXEC|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(end) {
			f.Close()
			return nil, fmt.Errorf("%s is held by another: %w", filepath.Base(path), err)
		}
	}
}

// write replaces the file whole. Without a directory for the memory it is not synced: it is then to outlive processes, not the machine.
func (o *overrides) write(s *overrideSet) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "fawnglade-orders %s %s\n", overridesVersion, o.owner())
	if s.drained {
		b.WriteString("drained\n")
	}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) {
		fmt.Fprintf(&b, "server %s %d %d\n", strconv.Quote(name), s.endpoints[name].disabledAt, s.endpoints[name].enabledAt)
	}
	b.WriteString("end\n")
	f, err := os.CreateTemp(filepath.Dir(o.path), filepath.Base(o.path)+".new")
	if err != nil {
		return err
	}
	_, err = f.Write(b.Bytes())
	if o.node.config.stateDir != "" && err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), o.path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	o.fileInfo, _ = os.Lstat(o.path)
	return nil
}

// reload takes in the file if it is another than before.
func (o *overrides) reload() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reloadLocked()
}

// reloadLocked takes in the file if it is another than before; the lock is held. A file that is not there changes nothing: it says that
// nobody ordered anything yet, or that somebody cleared the folder.
func (o *overrides) reloadLocked() {
	info, err := os.Lstat(o.path)
	if err != nil || o.fileInfo != nil && os.SameFile(info, o.fileInfo) && info.ModTime().Equal(o.fileInfo.ModTime()) && info.Size() == o.fileInfo.Size() {
		return
	}
	o.fileInfo = info
	if !info.Mode().IsRegular() {
		o.logUnreadable(errors.New("not a plain file"))
		return
	}
	f, err := os.OpenFile(o.path, os.O_RDONLY|syscall.O_NOFOLLOW, 0)
	if err != nil {
		o.logUnreadable(err)
		return
	}
	defer f.Close()
	next, err := parseOverrides(io.LimitReader(f, maxOverridesBytes), o.owner())
	if err != nil {
		o.logUnreadable(err)
		if next == nil {
			return
		}
		// What a damaged file does not say any more is no order to put a server back, nor the end of a drain.
		next.drained = next.drained || o.current.Load().drained
		for name, was := range o.current.Load().endpoints {
			if _, has := next.endpoints[name]; !has {
				next.endpoints[name] = was
			}
		}
	}
	o.publish(next)
}

func (o *overrides) logUnreadable(err error) {
	o.node.counters.add(overridesUnreadable)
	o.node.log.Warn("orders of before passed over where they can't be read", zap.String("file", o.path), zap.Error(err))
}

// parseOverrides reads a file of orders. With an error it returns what could be read all the same, nil if the file is not this node's.
func parseOverrides(in io.Reader, whose string) (*overrideSet, error) {
	s := &overrideSet{endpoints: map[string]disabledEndpoint{}}
	lines := bufio.NewReader(in)
	first, err := lines.ReadString('\n')
	if err != nil {
		return nil, errors.New("cut off in the first line, or empty")
	}
	fields := strings.SplitN(strings.TrimSuffix(first, "\n"), " ", 3)
	if len(fields) != 3 || fields[0] != "fawnglade-orders" {
		return nil, errors.New("not a file of orders")
	}
	if fields[2] != whose {
		return nil, fmt.Errorf("orders of another node: %.80q", fields[2])
	}
	var bad error
	if fields[1] != overridesVersion {
		bad = fmt.Errorf("version: expected %s, got %.20q", overridesVersion, fields[1])
	}
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return s, errors.Join(bad, errors.New("cut off before its end"))
		}
		line = strings.TrimSuffix(line, "\n")
		switch verb, rest, _ := strings.Cut(line, " "); {
		case line == "end":
			return s, bad
		case line == "drained":
			s.drained = true
		case verb == "server" && len(s.endpoints) < maxOverrides:
			name, one, err := parseDisabled(rest)
			if err == nil {
				s.endpoints[name] = one
				continue
			}
			bad = errors.Join(bad, err)
		default:
			bad = errors.Join(bad, fmt.Errorf("a line that makes no sense: %.40q", line))
		}
		if bad != nil && len(bad.Error()) > 1000 {
			return s, bad
		}
	}
}

func parseDisabled(text string) (name string, one disabledEndpoint, err error) {
	quoted, err := strconv.QuotedPrefix(text)
	if err == nil {
		name, err = strconv.Unquote(quoted)
	}
	if err != nil || name == "" || len(name) > maxNameBytes {
		return "", disabledEndpoint{}, fmt.Errorf("a server's name that makes no sense: %.40q", text)
	}
	since, back, two := strings.Cut(strings.TrimPrefix(text[len(quoted):], " "), " ")
	disabledAt, err1 := strconv.ParseInt(since, 10, 64)
	enabledAt, err2 := strconv.ParseInt(back, 10, 64)
	one = disabledEndpoint{policy.Time(disabledAt), policy.Time(enabledAt)}
	if !two || err1 != nil || err2 != nil || one.disabledAt < 0 || one.enabledAt < 0 {
		return "", disabledEndpoint{}, fmt.Errorf("times of a server that make no sense: %.40q", text)
	}
	return name, one, nil
}

// publish lets orders count, from this moment for attempts, and as soon as the loop comes to it for the decisions.
func (o *overrides) publish(s *overrideSet) {
	s.disabled = map[policy.EndpointID]bool{}
	for name, one := range s.endpoints {
		if one.enabledAt == 0 {
			s.disabled[endpointID(name)] = true
		}
	}
	o.current.Store(s)
}

// watch looks at the file for what the other process was ordered, and brings what has changed to the loop.
func (o *overrides) watch() {
	given := o.current.Load()
	drained := false
	for tick := time.NewTicker(overridesPollInterval); ; <-tick.C {
		o.reload()
		s := o.current.Load()
		if s != given {
			given = s
			o.node.loop.post(o.node.loop.overridesChanged)
		}
		if s.drained != drained {
			drained = s.drained
			o.node.log.Info("drain", zap.Bool("drained", drained))
		}
	}
}

// apply lays the orders over entries of the list, and remembers what the list said.
func (o *overrides) apply(entries []endpointEntry, whole bool) []endpointEntry {
	if whole {
		o.entries = map[string]*endpointEntry{}
	}
	o.applied = o.current.Load()
	laid := make([]endpointEntry, 0, len(entries))
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			delete(o.entries, e.name)
		} else {
			o.entries[e.name] = &e
		}
		laid = append(laid, o.applied.apply(e))
	}
	return laid
}

// apply is one entry as the decisions are to see it.
func (o *overrideSet) apply(e endpointEntry) endpointEntry {
	one, had := o.endpoints[e.name]
	if !had || e.State == policy.StateRemoved {
		return e
	}
	if one.enabledAt == 0 {
		e.State = policy.StateDraining
	} else if e.StartedAt < one.disabledAt {
		// Guards against a list that does not know yet that the server was restarted meanwhile: it comes back cold.
		e.StartedAt = one.enabledAt
	}
	return e
}

// encodeUnmodified is what discovery last said of all, without the orders; of the loop alone.
func (o *overrides) encodeUnmodified() []byte {
	entries := make([]endpointEntry, 0, len(o.entries))
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		entries = append(entries, *o.entries[name])
	}
	return encodeList(0, entries, o.node.settings.Zones)
}

// changedEntries tells the entries that look another way under the present orders.
func (o *overrides) changedEntries() []endpointEntry {
	before, now := o.applied, o.current.Load()
	o.applied = now
	var list []endpointEntry
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		e := *o.entries[name]
		if after := now.apply(e); after != before.apply(e) {
			list = append(list, after)
		}
	}
	return list
}
