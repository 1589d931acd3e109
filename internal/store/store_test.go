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

// faultyDisk is a Directory in memory that tracks which data was synced. It can simulate failures, a full disk and a
// power loss.
type faultyDisk struct {
	mu                sync.Mutex
	files             map[string]*memFile // by name, as seen by the running program
	durableFiles      map[string]*memFile // by name, as of the last sync of the directory
	operations        int
	failFromOperation int // all operations fail from this one on; 0: none does
	freeBytes         int // free space; -1: unlimited
	syncFails         bool
}

type memFile struct {
	disk    *faultyDisk
	data    []byte
	durable []byte
}

var errDisk = errors.New("simulated disk failure")

func newDisk() *faultyDisk {
	return &faultyDisk{files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, freeBytes: -1}
}

// countOperation counts an operation, and fails it if it is due to fail. The caller holds the lock.
func (d *faultyDisk) countOperation() error {
	d.operations++
	if d.failFromOperation > 0 && d.operations >= d.failFromOperation {
		return errDisk
	}
	return nil
}

// crash returns the disk after a power loss. Of the directory entries and data that were not synced, a random selection
// is kept.
func (d *faultyDisk) crash(random *rand.Rand) *faultyDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := newDisk()
	keptFiles := maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		if d.files[name] == d.durableFiles[name] || random.IntN(2) == 0 {
			continue
		}
		// A removal or a rename may have become durable without a sync, in any order.
		delete(keptFiles, name)
		for newName, f := range d.files {
			if f == d.durableFiles[name] {
				keptFiles[newName] = f
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(keptFiles)) {
		f := keptFiles[name]
		data := slices.Clone(f.durable)
		if unsynced := len(f.data) - len(data); unsynced > 0 && slices.Equal(f.data[:len(data)], data) {
			data = append(data, f.data[len(data):len(data)+random.IntN(unsynced+1)]...)
		}
		after.files[name] = &memFile{disk: after, data: data, durable: slices.Clone(data)}
	}
	after.durableFiles = maps.Clone(after.files)
	return after
}

func (d *faultyDisk) do(operation func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	return operation()
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

func (f *memFile) ReadAt(p []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	n := copy(p, f.data[min(offset, int64(len(f.data))):])
	if n < len(p) {
		return n, errors.New("end of file")
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, offset int64) (n int, err error) {
	err = f.disk.do(func() error {
		n = len(p)
		if f.disk.freeBytes >= 0 {
			n = min(n, f.disk.freeBytes)
			f.disk.freeBytes -= n
		}
		f.data = append(f.data[:offset], p[:n]...)
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
	snapshot := s.Snapshot()
	defer snapshot.Release()
	values, last := map[string]string{}, ""
	if err := snapshot.Each("", func(k string, v []byte) bool {
		if k <= last {
			t.Errorf("got key %q after %q, want ascending order", k, last)
		}
		values[k], last = string(v), k
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return values
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

// writeHistory applies random batches of puts and deletes; states[i] is the content after i of them.
func writeHistory(t *testing.T, s *Store, batchCount int, random *rand.Rand) (states []map[string]string) {
	t.Helper()
	state := map[string]string{}
	states = append(states, maps.Clone(state))
	for i := range batchCount {
		var batch Batch
		for range 1 + random.IntN(3) {
			key := fmt.Sprint("k", random.IntN(8))
			if random.IntN(3) == 0 {
				batch.Delete(key)
				delete(state, key)
			} else {
				state[key] = fmt.Sprint("v", i, strings.Repeat("x", random.IntN(20)))
				batch.Put(key, []byte(state[key]))
			}
		}
		if err := s.Apply(&batch); err != nil {
			t.Fatal(err)
		}
		states = append(states, maps.Clone(state))
	}
	return states
}

func indexOfState(states []map[string]string, got map[string]string) int {
	return slices.IndexFunc(states, func(s map[string]string) bool { return maps.Equal(s, got) })
}

// TestRecoveryFromLogTruncatedAtEveryByte truncates the log at every byte, as a crash during a write can: it must be
// recovered up to the last complete batch, and accept new writes that the next opening finds.
func TestRecoveryFromLogTruncatedAtEveryByte(t *testing.T) {
	disk := newDisk()
	s, _ := open(t, disk, Options{ManualCompaction: true})
	states := writeHistory(t, s, 40, rand.New(rand.NewPCG(1, 1)))
	closeStore(t, s)
	log := disk.files[segmentName(1)].data
	ends := []int{fixedHeaderBytes}
	if _, err := scan(segmentName(1), log, true, func(offset int64, f frame) {
		ends = append(ends, int(offset)+f.length)
	}); err != nil {
		t.Fatal(err)
	}
	for cut := range len(log) + 1 {
		disk := newDisk()
		disk.files[segmentName(1)] = &memFile{disk: disk, data: slices.Clone(log[:cut])}
		s, recovery := open(t, disk, Options{ManualCompaction: true})
		wantBatches := 0
		for wantBatches+1 < len(ends) && ends[wantBatches+1] <= cut {
			wantBatches++
		}
		if got := contents(t, s); !maps.Equal(got, states[wantBatches]) {
			t.Fatalf("truncated at %d: got %v, want the state after %d batches, %v", cut, got, wantBatches, states[wantBatches])
		}
		if wantBytes := ends[wantBatches]; cut > wantBytes && recovery.TruncatedBytes != int64(cut-wantBytes) {
			t.Fatalf("truncated at %d: got %d truncated bytes, want %d", cut, recovery.TruncatedBytes, cut-wantBytes)
		}
		if err := s.Put("after", []byte("x")); err != nil {
			t.Fatal(err)
		}
		closeStore(t, s)
		if s, recovery := open(t, disk, Options{}); contents(t, s)["after"] != "x" || recovery.TruncatedBytes != 0 {
			t.Fatalf("truncated at %d: the key written after the recovery is lost, or a torn tail is reported again", cut)
		}
	}
}

// TestCorruptionOfEveryByteIsReported corrupts each byte of the log: opening must report the file, unless the byte is
// in the last batch, where it may be a torn write. It must never change a corrupted file or return a content that the
// store never had.
func TestCorruptionOfEveryByteIsReported(t *testing.T) {
	disk := newDisk()
	s, _ := open(t, disk, Options{ManualCompaction: true, SegmentBytes: 400})
	states := writeHistory(t, s, 30, rand.New(rand.NewPCG(2, 2)))
	closeStore(t, s)
	names, _ := disk.List()
	rejected := 0
	for _, name := range names {
		for offset := range len(disk.files[name].data) {
			corrupted := newDisk()
			for n, f := range disk.files {
				corrupted.files[n] = &memFile{disk: corrupted, data: slices.Clone(f.data)}
			}
			corrupted.files[name].data[offset] ^= 0x41
			original := slices.Clone(corrupted.files[name].data)
			s, _, err := OpenDirectory(corrupted, Options{ManualCompaction: true})
			if err != nil {
				var corruption *CorruptionError
				if !errors.As(err, &corruption) && !errors.Is(err, ErrNewerVersion) || corruption != nil &&
					corruption.File != name {
					t.Fatalf("%s, byte %d: got error %v, want a CorruptionError for the file or ErrNewerVersion", name, offset, err)
				}
				if !slices.Equal(original, corrupted.files[name].data) {
					t.Fatalf("%s, byte %d: the corruption was reported, but the file was changed", name, offset)
				}
				rejected++
				continue
			}
			if name != names[len(names)-1] || indexOfState(states, contents(t, s)) < len(states)-2 && offset >= fixedHeaderBytes {
				if i := indexOfState(states, contents(t, s)); i < 0 || name != names[len(names)-1] {
					t.Fatalf("%s, byte %d: the store was opened with a content that it never had", name, offset)
				}
			}
		}
	}
	if rejected < 300 {
		t.Errorf("got %d reported corruptions, want at least 300", rejected)
	}
}

// TestPowerLossAtEveryDiskOperation simulates a power loss at every disk operation, including those of compactions: all
// acknowledged batches must be recovered, the batch in flight must be recovered completely or not at all, and deleted
// keys must not reappear.
func TestPowerLossAtEveryDiskOperation(t *testing.T) {
	runWorkload := func(disk *faultyDisk, seed uint64) (acknowledged, inFlight map[string]string) {
		random := rand.New(rand.NewPCG(seed, 3))
		acknowledged = map[string]string{}
		s, _, err := OpenDirectory(disk, Options{ManualCompaction: true, SegmentBytes: 300})
		if err != nil {
			return acknowledged, acknowledged
		}
		for i := range 40 {
			var batch Batch
			next := maps.Clone(acknowledged)
			for range 1 + random.IntN(3) {
				key := fmt.Sprint("k", random.IntN(6))
				if random.IntN(3) == 0 {
					batch.Delete(key)
					delete(next, key)
				} else {
					next[key] = fmt.Sprint(i, strings.Repeat("y", random.IntN(30)))
					batch.Put(key, []byte(next[key]))
				}
			}
			if s.Apply(&batch) != nil {
				return acknowledged, next
			}
			acknowledged = next
			if i%9 == 8 && s.Compact() != nil {
				return acknowledged, acknowledged
			}
		}
		return acknowledged, acknowledged
	}
	fullRun := newDisk()
	runWorkload(fullRun, 1)
	if fullRun.operations < 120 {
		t.Fatalf("got %d disk operations, want at least 120 for a meaningful test", fullRun.operations)
	}
	for operation := 1; operation <= fullRun.operations+1; operation++ {
		for seed := range uint64(3) {
			disk := newDisk()
			disk.failFromOperation = operation
			acknowledged, inFlight := runWorkload(disk, 1)
			afterCrash := disk.crash(rand.New(rand.NewPCG(seed, uint64(operation))))
			s, _, err := OpenDirectory(afterCrash, Options{ManualCompaction: true})
			if err != nil {
				t.Fatalf("power loss at operation %d: %v", operation, err)
			}
			if got := contents(t, s); !maps.Equal(got, acknowledged) && !maps.Equal(got, inFlight) {
				t.Fatalf("power loss at operation %d: got %v, want the acknowledged content %v or that with the batch in flight %v", operation, got, acknowledged, inFlight)
			}
			names, _ := afterCrash.List()
			for _, name := range names {
				if strings.HasSuffix(name, unfinishedSuffix) {
					t.Fatalf("power loss at operation %d: the unfinished segment %s was not removed", operation, name)
				}
			}
		}
	}
}

func TestDiskFullAndSyncFailure(t *testing.T) {
	disk := newDisk()
	s, _ := open(t, disk, Options{ManualCompaction: true})
	if err := s.Put("a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	disk.freeBytes = 10
	if err := s.Put("b", make([]byte, 100)); err == nil || errors.Is(err, ErrReadOnly) {
		t.Errorf("disk full: got error %v, want one that is not ErrReadOnly", err)
	}
	if _, found, _ := s.Get("b"); found {
		t.Error("disk full: the value of the failed write can be read")
	}
	disk.freeBytes = -1
	if err := s.Put("c", []byte("3")); err != nil {
		t.Errorf("write after space was freed: %v", err)
	}
	disk.syncFails = true
	if err := s.Put("d", []byte("4")); err == nil {
		t.Error("failed sync: the write was acknowledged")
	}
	disk.syncFails = false
	if err := s.Put("e", []byte("5")); !errors.Is(err, ErrReadOnly) {
		t.Errorf("write after a failed sync: got error %v, want ErrReadOnly", err)
	}
	if v, found, _ := s.Get("c"); !found || string(v) != "3" {
		t.Error("read after a failed sync: the value of an earlier write was not found")
	}
	closeStore(t, s)
	reopened, _ := open(t, disk.crash(rand.New(rand.NewPCG(1, 1))), Options{})
	if got := contents(t, reopened); got["a"] != "1" || got["c"] != "3" || got["b"] != "" || got["e"] != "" {
		t.Errorf("after reopening: got %v, want the acknowledged keys a and c, and neither b nor e", got)
	}
}

// TestConcurrentWritesReadsAndCompaction runs concurrent writers with compactions in the background: a snapshot must
// not change, and the final content must be complete.
func TestConcurrentWritesReadsAndCompaction(t *testing.T) {
	s, _, err := Open(t.TempDir(), Options{SegmentBytes: 8 << 10})
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, "still", []byte("here"))
	snapshot := s.Snapshot()
	var writers sync.WaitGroup
	for writer := range 8 {
		writers.Go(func() {
			for i := range 150 {
				if err := s.Put(fmt.Sprintf("w%d/%d", writer, i%5),
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
	writers.Wait()
	if snapshot.Len() != 1 {
		t.Errorf("got %d keys in the snapshot, want 1", snapshot.Len())
	}
	if err := snapshot.Each("", func(k string, v []byte) bool {
		if string(v) != "here" {
			t.Errorf("got %s = %s in the snapshot, want the value at the time of the snapshot", k, v)
		}
		return true
	}); err != nil {
		t.Error(err)
	}
	snapshot.Release()
	if got := contents(t, s); len(got) != 40 || !strings.HasPrefix(got["w3/4"], "149") {
		t.Errorf("got %d keys and w3/4 = %.20q, want 40 keys and the last value written", len(got), got["w3/4"])
	}
	prefixKeys := 0
	laterSnapshot := s.Snapshot()
	if err := laterSnapshot.Each("w3/", func(string, []byte) bool { prefixKeys++; return true }); err != nil {
		t.Error(err)
	}
	laterSnapshot.Release()
	if prefixKeys != 5 {
		t.Errorf("got %d keys with the prefix w3/, want 5", prefixKeys)
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
		t.Errorf("opened by two stores at the same time: got error %v, want ErrLocked with the path", err)
	}
	put(t, s, "a", []byte("1"))
	if readOnly, recovery, err := Open(path, Options{ReadOnly: true}); err != nil || recovery.Keys != 1 ||
		!errors.Is(readOnly.Put("b", nil), ErrReadOnly) {
		t.Errorf("opened read-only while it is locked: got recovery %v, error %v; want 1 key, and ErrReadOnly for writes", recovery, err)
	}
	closeStore(t, s)
	name := filepath.Join(path, segmentName(1))
	content, _ := os.ReadFile(name)
	newer := slices.Clone(content)
	newer[len(magic)] = formatVersion + 1
	if err := os.WriteFile(name, newer, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{}); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("segment of a newer version: got error %v, want ErrNewerVersion", err)
	}
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(file, Options{}); err == nil {
		t.Error("a file was opened as the directory of a store")
	}
}

// TestRepairCopiesBatchesAroundCorruption checks that a repair copies all batches except a corrupted one, and doesn't
// change the corrupted directory.
func TestRepairCopiesBatchesAroundCorruption(t *testing.T) {
	disk := newDisk()
	s, _ := open(t, disk, Options{ManualCompaction: true})
	for i := range 10 {
		put(t, s, fmt.Sprint("k", i), []byte("value"))
	}
	closeStore(t, s)
	data := disk.files[segmentName(1)].data
	data[len(data)/2] ^= 1
	original := slices.Clone(data)
	var corruption *CorruptionError
	if _, _, err := OpenDirectory(disk, Options{}); !errors.As(err, &corruption) || corruption.BatchesAfter < 3 ||
		corruption.Offset == 0 {
		t.Fatalf("got error %v, want a CorruptionError with an offset and at least 3 batches after it", err)
	}
	target := newDisk()
	result, err := Repair(disk, target)
	if err != nil || result.Batches != 9 || result.LostBytes == 0 || !slices.Equal(original, data) {
		t.Fatalf("got %+v, error %v; want 9 batches, lost bytes, and the corrupted log unchanged", result, err)
	}
	opened, _ := open(t, target, Options{})
	if got := contents(t, opened); len(got) != 9 {
		t.Errorf("got %d keys in the repaired store, want 9", len(got))
	}
	if _, err := Repair(disk, target); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("repair into an existing store: got error %v, want ErrNotEmpty", err)
	}
}
