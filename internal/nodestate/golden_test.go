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

// goldenDisk is what a run leaves that had endpoints in every state, estimates and starts of other nodes.
func goldenDisk() memoryDisk {
	d := memoryDisk{}
	m := d.read()
	m.RecordStart(testNow)
	m.RecordList(testNow+1e9, []Endpoint{
		{Name: "s-up", Address: "127.0.0.1:80", Zone: "a", Pod: 3, Weight: 1.5, State: Active, StartedNs: 5},
		{Name: "s-draining", Address: "127.0.0.2:80", Zone: "b", Weight: 1, State: Draining, StartedNs: 6},
		{Name: "s-removed", State: Removed},
	}, 7, false)
	m.RecordEstimates(testNow+2e9, []byte(`{"MeanOf":5}`))
	m.RecordMemberStarts(testNow+3e9, map[string]uint64{"n1": 1_700_000_000_000})
	d.write(m)
	return d
}

// TestGoldenRecords compares the stored records with the bytes of earlier builds.
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

// TestGoldenStore opens a store that an earlier build wrote, and finds in it what that build stored.
func TestGoldenStore(t *testing.T) {
	kept := filepath.Join("testdata", "golden", "store")
	if _, err := os.Stat(kept); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS(kept)); err != nil {
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
	found := memoryDisk{}
	snap := opened.Snapshot()
	defer snap.Release()
	if err := snap.Each("", func(key string, value []byte) bool { found[key] = slices.Clone(value); return true }); err != nil {
		t.Fatal(err)
	}
	if want := goldenDisk(); !maps.EqualFunc(found, want, slices.Equal) {
		t.Errorf("found %q, expected %q", found, want)
	}
	m := found.read()
	if m.UnreadableValues() != 0 || m.Epoch() != 1 || m.Version() != 7 || m.LastClock() != testNow+3e9 || len(m.MemberStartsMs()) != 1 {
		t.Errorf("read: %d unreadable, epoch %d, version %d, last clock %d, starts %v", m.UnreadableValues(), m.Epoch(), m.Version(), m.LastClock(), m.MemberStartsMs())
	}
	recovered := m.Recover(testNow + 4e9)
	if len(recovered.Endpoints) != 2 || recovered.Endpoints[0].State != Draining || recovered.Endpoints[1].StartedNs != testNow+4e9 || string(recovered.Estimates) != `{"MeanOf":5}` {
		t.Errorf("recovered: %+v", recovered)
	}
}
