package nodestate

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"fawnglade/internal/golden"
	"fawnglade/internal/store"
)

// goldenDisk returns the content of the store after a run with endpoints in every state, estimates and start times of
// other nodes.
func goldenDisk() memoryDisk {
	disk := memoryDisk{}
	state := disk.read()
	state.RecordStart(testNow)
	state.RecordList(testNow+1e9, []Endpoint{
		{Name: "s-up", Address: "127.0.0.1:80", Zone: "a", Pod: 3, Weight: 1.5, State: Active, StartedNs: 5},
		{Name: "s-draining", Address: "127.0.0.2:80", Zone: "b", Weight: 1, State: Draining, StartedNs: 6},
		{Name: "s-removed", State: Removed},
	}, 7, false)
	state.RecordEstimates(testNow+2e9, []byte(`{"MeanOf":5}`))
	state.RecordMemberStarts(testNow+3e9, map[string]uint64{"n1": 1_700_000_000_000})
	disk.write(state)
	return disk
}

// TestGoldenRecords compares the encoded records and their keys with golden files, so that this build stays compatible
// with the stores of earlier ones.
func TestGoldenRecords(t *testing.T) {
	var text []byte
	for key, value := range goldenDisk() {
		golden.Check(t, filepath.Join("records", filepath.Base(key)+".cbor"), value)
		text = nil
	}
	for _, key := range slices.Sorted(maps.Keys(goldenDisk())) {
		text = fmt.Appendln(text, key)
	}
	golden.Check(t, "keys.txt", text)
}

// TestGoldenStore opens a store that was written by an earlier build and checks its content.
func TestGoldenStore(t *testing.T) {
	goldenDir := filepath.Join("testdata", "golden", "store")
	if _, err := os.Stat(goldenDir); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	opened, _, err := store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := opened.Close(); err != nil {
			t.Error(err)
		}
	}()
	stored := memoryDisk{}
	snapshot := opened.Snapshot()
	defer snapshot.Release()
	if err := snapshot.Each("", func(key string, value []byte) bool { stored[key] = slices.Clone(value); return true }); err != nil {
		t.Fatal(err)
	}
	if want := goldenDisk(); !maps.EqualFunc(stored, want, slices.Equal) {
		t.Errorf("got records %q, want %q", stored, want)
	}
	state := stored.read()
	if state.UnreadableValues() != 0 || state.Epoch() != 1 || state.Version() != 7 || state.LastClock() != testNow+3e9 || len(state.MemberStartsMs()) != 1 {
		t.Errorf("got %d unreadable values, epoch %d, version %d, last clock %d, member starts %v; want 0, 1, 7, 3 s after the start, 1 entry", state.UnreadableValues(), state.Epoch(), state.Version(), state.LastClock(), state.MemberStartsMs())
	}
	recovered := state.Recover(testNow + 4e9)
	if len(recovered.Endpoints) != 2 || recovered.Endpoints[0].State != Draining || recovered.Endpoints[1].StartedNs != testNow+4e9 || string(recovered.Estimates) != `{"MeanOf":5}` {
		t.Errorf("got %+v, want two endpoints, the first draining, the second just started, and the estimates", recovered)
	}
}
