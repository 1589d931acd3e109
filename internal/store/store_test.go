package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// disk is a directory in memory that keeps what was synced apart from what was only written, fails on demand and can
// crash.
type faultyDisk struct {
	mu                sync.Mutex
	files             map[string]*memFile // as a running program sees it
	durableFiles      map[string]*memFile // names that a synced directory holds
	operations        int
	failFromOperation int // from this step on everything fails; 0: never
	freeBytes         int // bytes that writes may still take; -1: no bound
	syncFails         bool
}

type memFile struct {
	disk    *faultyDisk
	data    []byte
	durable []byte
}

var errDisk = errors.New("disk fails")

func newDisk() *faultyDisk {
	return &faultyDisk{files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, freeBytes: -1}
}

// step counts an operation of the store; the lock is held.
func (d *faultyDisk) countOperation() error {
	d.operations++
	if d.failFromOperation > 0 && d.operations >= d.failFromOperation {
		return errDisk
	}
	return nil
}

// crash returns the disk after a power loss: of names and bytes that were not synced it holds a random part.
func (d *faultyDisk) crash(draw *rand.Rand) *faultyDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := newDisk()
	kept := maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		if d.files[name] == d.durableFiles[name] || draw.IntN(2) == 0 {
			continue
		}
		// A removal or a new name may have reached the disk by itself, in any order.
		delete(kept, name)
		for to, f := range d.files {
			if f == d.durableFiles[name] {
				kept[to] = f
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		f := kept[name]
		data := slices.Clone(f.durable)
		if more := len(f.data) - len(data); more > 0 && slices.Equal(f.data[:len(data)], data) {
			data = append(data, f.data[len(data):len(data)+draw.IntN(more+1)]...)
		}
		after.files[name] = &memFile{disk: after, data: data, durable: slices.Clone(data)}
	}
	after.durableFiles = maps.Clone(after.files)
	return after
}

func (d *faultyDisk) do(what func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	return what()
}

func (d *faultyDisk) Create(name string) (f File, err error) {
	err = d.do(func() error {
		if d.files[name] != nil {
			return os.ErrExist
		}
		d.files[name] = &memFile{disk: d}
		f = d.files[name]
		return nil
	})
	return f, err
}

func (d *faultyDisk) Open(name string, _ bool) (f File, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return nil, os.ErrNotExist
	}
	return d.files[name], nil
}

func (d *faultyDisk) Rename(from, to string) error {
	return d.do(func() error {
		d.files[to] = d.files[from]
		delete(d.files, from)
		return nil
	})
}

func (d *faultyDisk) Remove(name string) error {
	return d.do(func() error { delete(d.files, name); return nil })
}

func (d *faultyDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *faultyDisk) SyncDir() error {
	return d.do(func() error { d.durableFiles = maps.Clone(d.files); return nil })
}

func (d *faultyDisk) Lock() (func() error, error) { return func() error { return nil }, nil }

func (f *memFile) ReadAt(p []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	n := copy(p, f.data[min(at, int64(len(f.data))):])
	if n < len(p) {
		return n, errors.New("end of file")
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, at int64) (n int, err error) {
	err = f.disk.do(func() error {
		n = len(p)
		if f.disk.freeBytes >= 0 {
			n = min(n, f.disk.freeBytes)
			f.disk.freeBytes -= n
		}
		f.data = append(f.data[:at], p[:n]...)
		if n < len(p) {
			return errors.New("no space left on device")
		}
		return nil
	})
	return n, err
}

func (f *memFile) Truncate(size int64) error {
	return f.disk.do(func() error { f.data = f.data[:size]; return nil })
}

func (f *memFile) Sync() error {
	return f.disk.do(func() error {
		if f.disk.syncFails {
			return errDisk
		}
		f.durable = slices.Clone(f.data)
		return nil
	})
}

func (f *memFile) Size() (int64, error) { return int64(len(f.data)), nil }
func (f *memFile) Close() error         { return nil }

func contents(t *testing.T, s *Store) map[string]string {
	t.Helper()
	snap := s.Snapshot()
	defer snap.Release()
	out, last := map[string]string{}, ""
	if err := snap.Each("", func(k string, v []byte) bool {
		if k <= last {
			t.Errorf("%q comes after %q", k, last)
		}
		out[k], last = string(v), k
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return out
}

func open(t *testing.T, d *faultyDisk, o Options) (*Store, *Recovery) {
	t.Helper()
	s, r, err := OpenDirectory(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return s, r
}

func put(t *testing.T, s *Store, key string, value []byte) {
	t.Helper()
	if err := s.Put(key, value); err != nil {
		t.Fatal(err)
	}
}

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// history writes batches of puts and deletes; states[i] is the content after i of them.
func writeHistory(t *testing.T, s *Store, n int, draw *rand.Rand) (states []map[string]string) {
	t.Helper()
	state := map[string]string{}
	states = append(states, maps.Clone(state))
	for i := range n {
		var b Batch
		for range 1 + draw.IntN(3) {
			key := fmt.Sprint("k", draw.IntN(8))
			if draw.IntN(3) == 0 {
				b.Delete(key)
				delete(state, key)
			} else {
				state[key] = fmt.Sprint("v", i, strings.Repeat("x", draw.IntN(20)))
				b.Put(key, []byte(state[key]))
			}
		}
		if err := s.Apply(&b); err != nil {
			t.Fatal(err)
		}
		states = append(states, maps.Clone(state))
	}
	return states
}

func indexOfState(states []map[string]string, got map[string]string) int {
	return slices.IndexFunc(states, func(s map[string]string) bool { return maps.Equal(s, got) })
}

// A log that is cut off at any byte is recovered up to its last whole batch, and can be written again.
func TestRecoveryFromLogTruncatedAtEveryByte(t *testing.T) {
	d := newDisk()
	s, _ := open(t, d, Options{ManualCompaction: true})
	states := writeHistory(t, s, 40, rand.New(rand.NewPCG(1, 1)))
	closeStore(t, s)
	log := d.files[segmentName(1)].data
	ends := []int{fixedHeaderBytes}
	if _, err := scan(segmentName(1), log, true, func(at int64, f frame) {
		ends = append(ends, int(at)+f.length)
	}); err != nil {
		t.Fatal(err)
	}
	for cut := range len(log) + 1 {
		d := newDisk()
		d.files[segmentName(1)] = &memFile{disk: d, data: slices.Clone(log[:cut])}
		s, r := open(t, d, Options{ManualCompaction: true})
		want := 0
		for want+1 < len(ends) && ends[want+1] <= cut {
			want++
		}
		if got := contents(t, s); !maps.Equal(got, states[want]) {
			t.Fatalf("cut at %d: %v, want the state after %d batches, %v", cut, got, want, states[want])
		}
		if kept := ends[want]; cut > kept && r.TruncatedBytes != int64(cut-kept) {
			t.Fatalf("cut at %d: %d bytes reported as truncated, want %d", cut, r.TruncatedBytes, cut-kept)
		}
		if err := s.Put("after", []byte("x")); err != nil {
			t.Fatal(err)
		}
		closeStore(t, s)
		if s, r := open(t, d, Options{}); contents(t, s)["after"] != "x" || r.TruncatedBytes != 0 {
			t.Fatalf("cut at %d: what was written afterwards is gone", cut)
		}
	}
}

// A corrupted byte is reported with its place, or was in the last batch, which may be a torn write; no content is ever
// invented.
func TestCorruptionOfEveryByteIsReported(t *testing.T) {
	d := newDisk()
	s, _ := open(t, d, Options{ManualCompaction: true, SegmentBytes: 400})
	states := writeHistory(t, s, 30, rand.New(rand.NewPCG(2, 2)))
	closeStore(t, s)
	names, _ := d.List()
	refused := 0
	for _, name := range names {
		for at := range len(d.files[name].data) {
			bad := newDisk()
			for n, f := range d.files {
				bad.files[n] = &memFile{disk: bad, data: slices.Clone(f.data)}
			}
			bad.files[name].data[at] ^= 0x41
			before := slices.Clone(bad.files[name].data)
			s, _, err := OpenDirectory(bad, Options{ManualCompaction: true})
			if err != nil {
				var damage *CorruptionError
				if !errors.As(err, &damage) && !errors.Is(err, ErrNewerVersion) || damage != nil &&
					damage.File != name {
					t.Fatalf("%s at %d: %v", name, at, err)
				}
				if !slices.Equal(before, bad.files[name].data) {
					t.Fatalf("%s at %d: refused, and changed", name, at)
				}
				refused++
				continue
			}
			if name != names[len(names)-1] || indexOfState(states, contents(t, s)) < len(states)-2 && at >= fixedHeaderBytes {
				if i := indexOfState(states, contents(t, s)); i < 0 || name != names[len(names)-1] {
					t.Fatalf("%s at %d: opened in a state that never was", name, at)
				}
			}
		}
	}
	if refused < 300 {
		t.Errorf("only %d damages refused", refused)
	}
}

// After a power loss at any step, also of a compaction, all that was acknowledged is there, what was not is there as
// a whole batch or not at all, and what was deleted does not come back.
func TestPowerLossAtEveryDiskOperation(t *testing.T) {
	play := func(d *faultyDisk, seed uint64) (acknowledged, perhaps map[string]string) {
		draw := rand.New(rand.NewPCG(seed, 3))
		acknowledged = map[string]string{}
		s, _, err := OpenDirectory(d, Options{ManualCompaction: true, SegmentBytes: 300})
		if err != nil {
			return acknowledged, acknowledged
		}
		for i := range 40 {
			var b Batch
			next := maps.Clone(acknowledged)
			for range 1 + draw.IntN(3) {
				key := fmt.Sprint("k", draw.IntN(6))
				if draw.IntN(3) == 0 {
					b.Delete(key)
					delete(next, key)
				} else {
					next[key] = fmt.Sprint(i, strings.Repeat("y", draw.IntN(30)))
					b.Put(key, []byte(next[key]))
				}
			}
			if s.Apply(&b) != nil {
				return acknowledged, next
			}
			acknowledged = next
			if i%9 == 8 && s.Compact() != nil {
				return acknowledged, acknowledged
			}
		}
		return acknowledged, acknowledged
	}
	complete := newDisk()
	play(complete, 1)
	if complete.operations < 120 {
		t.Fatalf("%d steps, too few to prove anything", complete.operations)
	}
	for at := 1; at <= complete.operations+1; at++ {
		for seed := range uint64(3) {
			d := newDisk()
			d.failFromOperation = at
			acknowledged, perhaps := play(d, 1)
			after := d.crash(rand.New(rand.NewPCG(seed, uint64(at))))
			s, _, err := OpenDirectory(after, Options{ManualCompaction: true})
			if err != nil {
				t.Fatalf("power gone at step %d: %v", at, err)
			}
			if got := contents(t, s); !maps.Equal(got, acknowledged) && !maps.Equal(got, perhaps) {
				t.Fatalf("power gone at step %d: %v, acknowledged %v, under way %v", at, got, acknowledged, perhaps)
			}
			names, _ := after.List()
			for _, name := range names {
				if strings.HasSuffix(name, unfinishedSuffix) {
					t.Fatalf("power gone at step %d: %s is left", at, name)
				}
			}
		}
	}
}

func TestDiskFullAndSyncFailure(t *testing.T) {
	d := newDisk()
	s, _ := open(t, d, Options{ManualCompaction: true})
	if err := s.Put("a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	d.freeBytes = 10
	if err := s.Put("b", make([]byte, 100)); err == nil || errors.Is(err, ErrReadOnly) {
		t.Errorf("disk full: %v", err)
	}
	if _, found, _ := s.Get("b"); found {
		t.Error("what was not durable can be read")
	}
	d.freeBytes = -1
	if err := s.Put("c", []byte("3")); err != nil {
		t.Errorf("with room again: %v", err)
	}
	d.syncFails = true
	if err := s.Put("d", []byte("4")); err == nil {
		t.Error("acknowledged though the sync failed")
	}
	d.syncFails = false
	if err := s.Put("e", []byte("5")); !errors.Is(err, ErrReadOnly) {
		t.Errorf("after a failed sync: %v, want read-only", err)
	}
	if v, found, _ := s.Get("c"); !found || string(v) != "3" {
		t.Error("a read-only store cannot be read")
	}
	closeStore(t, s)
	again, _ := open(t, d.crash(rand.New(rand.NewPCG(1, 1))), Options{})
	if got := contents(t, again); got["a"] != "1" || got["c"] != "3" || got["b"] != "" || got["e"] != "" {
		t.Errorf("after it all: %v", got)
	}
}

// Several writers at once, with compactions: a snapshot does not change meanwhile.
func TestConcurrentWritesReadsAndCompaction(t *testing.T) {
	s, _, err := Open(t.TempDir(), Options{SegmentBytes: 8 << 10})
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, "still", []byte("here"))
	snap := s.Snapshot()
	var all sync.WaitGroup
	for w := range 8 {
		all.Go(func() {
			for i := range 150 {
				if err := s.Put(fmt.Sprintf("w%d/%d", w, i%5),
					fmt.Append(nil, i, strings.Repeat("z", 200))); err != nil {
					t.Error(err)
				}
				if i%50 == 49 {
					if err := s.Compact(); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	put(t, s, "still", []byte("changed"))
	if err := s.Delete("still"); err != nil {
		t.Error(err)
	}
	all.Wait()
	if snap.Len() != 1 {
		t.Errorf("a snapshot of one key has %d", snap.Len())
	}
	if err := snap.Each("", func(k string, v []byte) bool {
		if string(v) != "here" {
			t.Errorf("a snapshot has changed: %s %s", k, v)
		}
		return true
	}); err != nil {
		t.Error(err)
	}
	snap.Release()
	if got := contents(t, s); len(got) != 40 || !strings.HasPrefix(got["w3/4"], "149") {
		t.Errorf("%d keys, %.20q", len(got), got["w3/4"])
	}
	n := 0
	again := s.Snapshot()
	if err := again.Each("w3/", func(string, []byte) bool { n++; return true }); err != nil {
		t.Error(err)
	}
	again.Release()
	if n != 5 {
		t.Errorf("%d keys under a prefix, want 5", n)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func TestOpenRejectsUnusableDirectories(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new")
	s, _, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{}); !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), path) {
		t.Errorf("opened twice: %v", err)
	}
	put(t, s, "a", []byte("1"))
	if r, found, err := Open(path, Options{ReadOnly: true}); err != nil || found.Keys != 1 ||
		!errors.Is(r.Put("b", nil), ErrReadOnly) {
		t.Errorf("looked at beside its holder: %v %v", found, err)
	}
	closeStore(t, s)
	name := filepath.Join(path, segmentName(1))
	b, _ := os.ReadFile(name)
	newer := slices.Clone(b)
	newer[len(magic)] = formatVersion + 1
	if err := os.WriteFile(name, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{}); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("from a newer version: %v", err)
	}
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(file, Options{}); err == nil {
		t.Error("a file was opened as a directory")
	}
}

// A repair copies all batches around a corrupted one, and leaves the damaged directory as it was.
func TestRepairCopiesBatchesAroundCorruption(t *testing.T) {
	d := newDisk()
	s, _ := open(t, d, Options{ManualCompaction: true})
	for i := range 10 {
		put(t, s, fmt.Sprint("k", i), []byte("value"))
	}
	closeStore(t, s)
	data := d.files[segmentName(1)].data
	data[len(data)/2] ^= 1
	before := slices.Clone(data)
	var damage *CorruptionError
	if _, _, err := OpenDirectory(d, Options{}); !errors.As(err, &damage) || damage.BatchesAfter < 3 ||
		damage.Offset == 0 {
		t.Fatalf("%v, want the corruption reported", err)
	}
	to := newDisk()
	repaired, err := Repair(d, to)
	if err != nil || repaired.Batches != 9 || repaired.LostBytes == 0 || !slices.Equal(before, data) {
		t.Fatalf("%+v, %v", repaired, err)
	}
	out, _ := open(t, to, Options{})
	if got := contents(t, out); len(got) != 9 {
		t.Errorf("%d keys came over, want nine", len(got))
	}
	if _, err := Repair(d, to); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("repaired into a store that is there: %v", err)
	}
}
