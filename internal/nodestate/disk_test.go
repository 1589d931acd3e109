package nodestate

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"fawnglade/internal/store"
)

// TestRecoveryFromLogTruncatedAtEveryByte truncates the log of a store at every byte, as a crash can: the recovered
// endpoint states must be those after the last complete batch.
func TestRecoveryFromLogTruncatedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	opened, _, err := store.Open(dir, store.Options{ManualCompaction: true})
	if err != nil {
		t.Fatal(err)
	}
	memory, state := memoryDisk{}, memoryDisk{}.read()
	var statesByBatch []map[string]EndpointState // endpoint states after each batch
	writeBatch := func() {
		var batch store.Batch
		for _, c := range state.Changes() {
			batch.Put(c.Key, c.Value)
			memory[c.Key] = c.Value
		}
		if err := opened.Apply(&batch); err != nil {
			t.Fatal(err)
		}
		states := map[string]EndpointState{}
		for name, s := range memory.read().endpoints {
			states[name] = s.State
		}
		statesByBatch = append(statesByBatch, states)
	}
	state.RecordStart(testNow)
	writeBatch()
	for i, s := range []EndpointState{Active, Draining, Active, Draining, Removed} {
		state.RecordList(testNow+int64(i), []Endpoint{testEndpoint("a", s, 5), testEndpoint("b", EndpointState(i%2), int64(i))}, int64(i+1), false)
		writeBatch()
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	logs, err := filepath.Glob(filepath.Join(dir, "seg-*.log"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("got log files %v, error %v; want one file", logs, err)
	}
	log, err := os.ReadFile(logs[0])
	if err != nil {
		t.Fatal(err)
	}
	lastBatch := 0
	for cut := 64; cut <= len(log); cut++ {
		truncatedDir := t.TempDir()
		if err := os.WriteFile(filepath.Join(truncatedDir, filepath.Base(logs[0])), log[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := store.Open(truncatedDir, store.Options{})
		if err != nil {
			t.Fatalf("truncated at %d: %v", cut, err)
		}
		snapshot := s.Snapshot()
		recovered := Load(func(take func(string, []byte)) {
			err = snapshot.Each("", func(k string, v []byte) bool { take(k, v); return true })
		})
		snapshot.Release()
		if err := errors.Join(err, s.Close()); err != nil {
			t.Fatalf("truncated at %d: %v", cut, err)
		}
		states := map[string]EndpointState{}
		for name, endpoint := range recovered.endpoints {
			states[name] = endpoint.State
		}
		for lastBatch+1 < len(statesByBatch) && maps.Equal(states, statesByBatch[lastBatch+1]) {
			lastBatch++
		}
		if !maps.Equal(states, statesByBatch[lastBatch]) && (lastBatch != 0 || len(states) != 0) {
			t.Fatalf("truncated at %d: got %v, want the states after batch %d, %v", cut, states, lastBatch, statesByBatch[lastBatch])
		}
	}
	if lastBatch != len(statesByBatch)-1 {
		t.Errorf("the complete log was recovered up to batch %d, want all of %d batches", lastBatch, len(statesByBatch)-1)
	}
}
