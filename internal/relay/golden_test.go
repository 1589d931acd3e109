package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/golden"
)

// TestGoldenFraming checks that the encoding of greetings and the framing are compatible with earlier builds.
func TestGoldenFraming(t *testing.T) {
	var b bytes.Buffer
	for _, frame := range [][]byte{greeting(false), greeting(true), []byte("a frame")} {
		if err := writeFrame(&b, frame); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "framing.bin", b.Bytes())
	for _, want := range []bool{false, true} {
		if fresh, err := readGreeting(&b); err != nil || fresh != want {
			t.Errorf("decoded greeting: got fresh %v, error %v, want the encoded one", fresh, err)
		}
	}
	if size, err := readLength(&b, 100); err != nil || size != len("a frame") {
		t.Errorf("length of the next frame: got %d bytes, error %v, want 7 bytes", size, err)
	}
}

// TestGoldenRecords checks that the endpoint and discovery records of an origin are compatible with earlier builds.
func TestGoldenRecords(t *testing.T) {
	entry := endpointlist.Entry{
		Name: "s-1", Address: "127.0.0.1:80", Zone: "a", State: "draining", Pod: 3, Weight: 1.5,
		StartedMs: 1_700_000_000_123,
	}
	body, err := endpointlist.EncodeEntry(entry)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "endpoint.json", body)
	list := DiscoveryState{Version: 9, Connected: true}.body()
	golden.Check(t, "list.json", list)
	golden.Check(t, "endpoint-key.txt", []byte(EndpointKey("s-1")+"\n"))
	table := NewEndpointTable()
	changes := table.Apply([]distribution.Change{
		{Record: distribution.Record{Scope: "eu/web", Key: EndpointKey("s-1"), Body: body}},
		{Record: distribution.Record{Scope: ScopeOrigin, Key: KeyDiscovery, Body: list}},
	})
	if changes.LastErr != nil || changes.Skipped != 0 || len(changes.Entries) != 1 || changes.Entries[0] != entry {
		t.Errorf("decoded endpoints: got %+v, want the encoded one", changes)
	}
	if got, known := table.Discovery(); !known || got != (DiscoveryState{Version: 9, Connected: true}) {
		t.Errorf("decoded state of discovery: got %+v, known %v, want the encoded one", got, known)
	}
}

// TestGoldenStats checks that the names of the counters in JSON are unchanged.
func TestGoldenStats(t *testing.T) {
	var text []byte
	for _, stats := range []any{
		ClientStats{1, 2, 3, 4, 5, 6, 7, 8, 9, 10},
		ServerStats{1, 2, 3, 4, 5, 6, 7, 8, 9, 10},
	} {
		one, err := json.Marshal(stats)
		if err != nil {
			t.Fatal(err)
		}
		text = fmt.Appendln(text, string(one))
	}
	golden.Check(t, "stats.json", text)
}
