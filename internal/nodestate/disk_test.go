package nodestate

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"fawnglade/internal/store"
)

// TestRecoveryFromLogTruncatedAtEveryByte cuts the log of a store at every byte: what is found then is what one of the batches
// left, and the drains of the last complete one hold.
func TestRecoveryFromLogTruncatedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	at, _, err := store.Open(dir, store.Options{ManualCompaction: true})
	if err != nil {
		t.Fatal(err)
	}
	plain, m := memoryDisk{}, memoryDisk{}.read()
	var after []map[string]EndpointState // by batch
	note := func() {
		var batch store.Batch
		for _, c := range m.Changes() {
			batch.Put(c.Key, c.Value)
			plain[c.Key] = c.Value
		}
		if err := at.Apply(&batch); err != nil {
			t.Fatal(err)
		}
		states := map[string]EndpointState{}
		for name, s := range plain.read().endpoints {
			states[name] = s.State
		}
		after = append(after, states)
	}
	m.RecordStart(testNow)
	note()
	for i, s := range []EndpointState{Active, Draining, Active, Draining, Removed} {
		m.RecordList(testNow+int64(i), []Endpoint{testEndpoint("a", s, 5), testEndpoint("b", EndpointState(i%2), int64(i))}, int64(i+1), false)
		note()
	}
	if err := at.Close(); err != nil {
		t.Fatal(err)
	}
	logs, err := filepath.Glob(filepath.Join(dir, "seg-*.log"))
	if err != nil || len(logs) != 1 {
		t.Fatal(logs, err)
	}
	whole, err := os.ReadFile(logs[0])
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for cut := 64; cut <= len(whole); cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, filepath.Base(logs[0])), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := store.Open(torn, store.Options{})
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		snap := s.Snapshot()
		found := Load(func(take func(string, []byte)) {
			err = snap.Each("", func(k string, v []byte) bool { take(k, v); return true })
		})
		snap.Release()
		if err := errors.Join(err, s.Close()); err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		states := map[string]EndpointState{}
		for name, one := range found.endpoints {
			states[name] = one.State
		}
		for last+1 < len(after) && maps.Equal(states, after[last+1]) {
			last++
		}
		if !maps.Equal(states, after[last]) && (last != 0 || len(states) != 0) {
			t.Fatalf("cut at %d: %v, want what batch %d left, %v", cut, states, last, after[last])
		}
	}
	if last != len(after)-1 {
		t.Errorf("the whole log gives batch %d of %d", last, len(after)-1)
	}
}
