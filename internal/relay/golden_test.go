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

// TestGoldenFraming holds greetings and the framing to the bytes of earlier builds.
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
			t.Errorf("a greeting read as fresh: %v, %v", fresh, err)
		}
	}
	if size, err := readLength(&b, 100); err != nil || size != len("a frame") {
		t.Errorf("a frame of %d bytes, %v", size, err)
	}
}

// TestGoldenRecords holds what an origin tells of hosts to what nodes of earlier builds read.
func TestGoldenRecords(t *testing.T) {
	e := endpointlist.Entry{
		Name: "s-1", Address: "127.0.0.1:80", Zone: "a", State: "draining", Pod: 3, Weight: 1.5,
		StartedMs: 1_700_000_000_123,
	}
	body, err := endpointlist.EncodeEntry(e)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "endpoint.json", body)
	list := DiscoveryState{Version: 9, Connected: true}.body()
	golden.Check(t, "list.json", list)
	golden.Check(t, "endpoint-key.txt", []byte(EndpointKey("s-1")+"\n"))
	h := NewEndpointTable()
	hosts := h.Apply([]distribution.Change{
		{Record: distribution.Record{Scope: "eu/web", Key: EndpointKey("s-1"), Body: body}},
		{Record: distribution.Record{Scope: ScopeOrigin, Key: KeyDiscovery, Body: list}},
	})
	if hosts.LastErr != nil || hosts.Skipped != 0 || len(hosts.Entries) != 1 || hosts.Entries[0] != e {
		t.Errorf("hosts read as %+v", hosts)
	}
	if got, known := h.Discovery(); !known || got != (DiscoveryState{Version: 9, Connected: true}) {
		t.Errorf("state of discovery read as %+v, %v", got, known)
	}
}

// TestGoldenStats holds the names of the counters in JSON.
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
