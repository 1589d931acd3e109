package node

// This file owns what operators ordered by hand: which servers are out and whether the node is drained. It lays that over
// the list before the decisions see it, and keeps it in one small file that both processes of a node read and replace. It
// must never decide where a task goes, nor say yes to an order that is not in the file; it trusts nothing it reads there.

import (
	"bufio"
	"bytes"
	"errors"
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

	"fawnglade/policy"
)

const (
	ordersVersion = "1"
	ordersLook    = 50 * time.Millisecond // how soon what the other process was ordered is known here
	ordersLock    = 400 * time.Millisecond
	mostOrders    = 4096
	longestOrders = 2 << 20
	longestName   = 256
	mostListed    = 1 << 18 // names that the list has ever told
)

// out is one server's order: since when it was out, and when it was put back, 0 while it is out.
type out struct{ since, back int64 }

// standingOrders is all of the orders at a time. One that others may see is never changed, only replaced.
type standingOrders struct {
	drained bool
	servers map[string]out
	ids     map[policy.EndpointID]bool // those that are out now
}

func (o *standingOrders) copy() *standingOrders {
	return &standingOrders{drained: o.drained, servers: maps.Clone(o.servers)}
}

func (o *standingOrders) putOut(name string, now int64) string {
	if was, had := o.servers[name]; !had || was.back != 0 {
		o.servers[name] = out{since: now}
	}
	return name + " is out"
}

func (o *standingOrders) putBack(name string, now int64) string {
	if was, had := o.servers[name]; had && was.back == 0 {
		o.servers[name] = out{was.since, now}
	}
	return name + " may serve"
}

type orders struct {
	node *Node
	path string

	now  atomic.Pointer[standingOrders]
	seen os.FileInfo // the file as it was read last; of watch and change, under mu
	mu   sync.Mutex
	turn sync.Mutex // of those who change: one at a time has the file's lock open and waits for it, as each open file is a descriptor

	names struct {
		sync.Mutex
		of    map[string]bool // every server that was ever listed
		order []string
	}
	entries map[string]*entry // what discovery last said, by name; of the loop alone
	laid    *standingOrders   // the orders that the decisions know; of the loop alone
}

// newOrders reads what stands from before. What can't be read is told and passed over; the node starts all the same.
func newOrders(n *Node) *orders {
	o := &orders{node: n, path: filepath.Join(n.config.dir, n.fileName(".orders")), entries: map[string]*entry{}}
	o.names.of = map[string]bool{}
	o.now.Store(&standingOrders{servers: map[string]out{}, ids: map[policy.EndpointID]bool{}})
	o.laid = o.now.Load()
	o.look()
	return o
}

// fileName is what a file of this node is called in a folder that other nodes may share.
func (n *Node) fileName(ending string) string {
	h := fnv.New64a()
	io.WriteString(h, n.config.Name+"\n"+n.config.Listen)
	return fmt.Sprintf("fawnglade-%016x%s", h.Sum64(), ending)
}

func (o *orders) whose() string { c := o.node.config; return strconv.Quote(c.Name) + " " + c.Listen }

// isOut tells whether a server was taken out; any goroutine may ask, and does so just before it writes to the server.
func (o *orders) isOut(id policy.EndpointID) bool { return o.now.Load().ids[id] }

func (o *orders) drained() bool { return o.now.Load().drained }

// listed tells whether the list has ever told of a server, or an order stands for it.
func (o *orders) listed(name string) bool {
	if _, had := o.now.Load().servers[name]; had {
		return true
	}
	o.names.Lock()
	defer o.names.Unlock()
	return o.names.of[name]
}

// tell notes names of the list; the longest known go first where there are too many.
func (o *orders) tell(names ...string) {
	o.names.Lock()
	defer o.names.Unlock()
	for _, name := range names {
		if name != "" && len(name) <= longestName && !o.names.of[name] {
			o.names.of[name] = true
			o.names.order = append(o.names.order, name)
		}
	}
	for len(o.names.order) > mostListed {
		delete(o.names.of, o.names.order[0])
		o.names.order = o.names.order[1:]
	}
}

func (o *orders) told() []string {
	o.names.Lock()
	defer o.names.Unlock()
	return slices.Clone(o.names.order)
}

// change has one order carried out by this process: read the file again, change, write it whole, then let it count.
func (o *orders) change(order func(*standingOrders) string) (done string, err error) {
	o.turn.Lock()
	defer o.turn.Unlock()
	lock, err := lockFile(o.path+".lock", ordersLock)
	if err != nil {
		return "", err
	}
	defer lock.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.read()
	next := o.now.Load().copy()
	done = order(next)
	next.prune(o.node.clock.now(), o.node.settings.Policy.SlowStartWindow)
	if len(next.servers) > mostOrders {
		return "", fmt.Errorf("more than %d servers out", mostOrders)
	}
	if err := o.write(next); err != nil {
		return "", err
	}
	o.set(next)
	return done, nil
}

// prune drops orders that have ended: a server put back so long ago is warm.
func (o *standingOrders) prune(now, warm int64) {
	maps.DeleteFunc(o.servers, func(_ string, s out) bool { return s.back != 0 && now-s.back > 2*warm })
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
func (o *orders) write(s *standingOrders) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "fawnglade-orders %s %s\n", ordersVersion, o.whose())
	if s.drained {
		b.WriteString("drained\n")
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		fmt.Fprintf(&b, "server %s %d %d\n", strconv.Quote(name), s.servers[name].since, s.servers[name].back)
	}
	b.WriteString("end\n")
	f, err := os.CreateTemp(filepath.Dir(o.path), filepath.Base(o.path)+".new")
	if err != nil {
		return err
	}
	_, err = f.Write(b.Bytes())
	if o.node.config.state != "" && err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), o.path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	o.seen, _ = os.Lstat(o.path)
	return nil
}

// look takes in the file if it is another than before.
func (o *orders) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.read()
}

// read takes in the file if it is another than before; the lock is held. A file that is not there changes nothing: it says that
// nobody ordered anything yet, or that somebody cleared the folder.
func (o *orders) read() {
	info, err := os.Lstat(o.path)
	if err != nil || o.seen != nil && os.SameFile(info, o.seen) && info.ModTime().Equal(o.seen.ModTime()) && info.Size() == o.seen.Size() {
		return
	}
	o.seen = info
	if !info.Mode().IsRegular() {
		o.complain(errors.New("not a plain file"))
		return
	}
	f, err := os.OpenFile(o.path, os.O_RDONLY|syscall.O_NOFOLLOW, 0)
	if err != nil {
		o.complain(err)
		return
	}
	defer f.Close()
	next, err := parseOrders(io.LimitReader(f, longestOrders), o.whose())
	if err != nil {
		o.complain(err)
		if next == nil {
			return
		}
		// What a damaged file does not say any more is no order to put a server back, nor the end of a drain.
		next.drained = next.drained || o.now.Load().drained
		for name, was := range o.now.Load().servers {
			if _, has := next.servers[name]; !has {
				next.servers[name] = was
			}
		}
	}
	o.set(next)
}

func (o *orders) complain(err error) {
	o.node.counters.add(ordersPassedOver)
	o.node.log.Warn("orders of before passed over where they can't be read", zap.String("file", o.path), zap.Error(err))
}

// parseOrders reads a file of orders. With an error it returns what could be read all the same, nil if the file is not this node's.
func parseOrders(in io.Reader, whose string) (*standingOrders, error) {
	s := &standingOrders{servers: map[string]out{}}
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
	if fields[1] != ordersVersion {
		bad = fmt.Errorf("version: expected %s, got %.20q", ordersVersion, fields[1])
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
		case verb == "server" && len(s.servers) < mostOrders:
			name, one, err := parseOut(rest)
			if err == nil {
				s.servers[name] = one
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

func parseOut(text string) (name string, one out, err error) {
	quoted, err := strconv.QuotedPrefix(text)
	if err == nil {
		name, err = strconv.Unquote(quoted)
	}
	if err != nil || name == "" || len(name) > longestName {
		return "", out{}, fmt.Errorf("a server's name that makes no sense: %.40q", text)
	}
	since, back, two := strings.Cut(strings.TrimPrefix(text[len(quoted):], " "), " ")
	var err1, err2 error
	one.since, err1 = strconv.ParseInt(since, 10, 64)
	one.back, err2 = strconv.ParseInt(back, 10, 64)
	if !two || err1 != nil || err2 != nil || one.since < 0 || one.back < 0 {
		return "", out{}, fmt.Errorf("times of a server that make no sense: %.40q", text)
	}
	return name, one, nil
}

// set lets orders count, from this moment for hand-offs, and as soon as the loop comes to it for the decisions.
func (o *orders) set(s *standingOrders) {
	s.ids = map[policy.EndpointID]bool{}
	for name, one := range s.servers {
		if one.back == 0 {
			s.ids[serverID(name)] = true
		}
	}
	o.now.Store(s)
}

// watch looks at the file for what the other process was ordered, and brings what has changed to the loop.
func (o *orders) watch() {
	given := o.now.Load()
	drained := false
	for tick := time.NewTicker(ordersLook); ; <-tick.C {
		o.look()
		s := o.now.Load()
		if s != given {
			given = s
			o.node.loop.enter(o.node.loop.ordered)
		}
		if s.drained != drained {
			drained = s.drained
			o.node.log.Info("drain", zap.Bool("drained", drained))
		}
	}
}

// over lays the orders over entries of the list, and remembers what the list said.
func (o *orders) over(entries []entry, whole bool) []entry {
	if whole {
		o.entries = map[string]*entry{}
	}
	o.laid = o.now.Load()
	laid := make([]entry, 0, len(entries))
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			delete(o.entries, e.name)
		} else {
			o.entries[e.name] = &e
		}
		laid = append(laid, o.laid.over(e))
	}
	return laid
}

// over is one entry as the decisions are to see it.
func (o *standingOrders) over(e entry) entry {
	one, had := o.servers[e.name]
	if !had || e.State == policy.StateRemoved {
		return e
	}
	if one.back == 0 {
		e.State = policy.StateDraining
	} else if e.StartedAt < one.since {
		// Guards against a list that does not know yet that the server was restarted meanwhile: it comes back cold.
		e.StartedAt = one.back
	}
	return e
}

// list is what discovery last said of all, without the orders; of the loop alone.
func (o *orders) list() []byte {
	entries := make([]entry, 0, len(o.entries))
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		entries = append(entries, *o.entries[name])
	}
	return wholeList(0, entries, o.node.settings.Zones)
}

// changed tells the entries that look another way under the present orders.
func (o *orders) changed() []entry {
	before, now := o.laid, o.now.Load()
	o.laid = now
	var list []entry
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		e := *o.entries[name]
		if after := now.over(e); after != before.over(e) {
			list = append(list, after)
		}
	}
	return list
}
