package endpointlist

import (
	"bytes"
	"fmt"
	"testing"

	"fawnglade/internal/golden"
)

// TestGoldenList compares an encoded list, and the result of parsing a list from discovery, with golden files.
func TestGoldenList(t *testing.T) {
	entries := []Entry{{Name: "s-1", Address: "127.0.0.1:80", Zone: "a", Pod: 3, State: "draining", Weight: 1.5, StartedMs: 1_700_000_000_123}, {Name: "s-2", State: "removed"}}
	golden.Check(t, "list.json", Encode(9, entries))
	body, err := EncodeEntry(entries[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "entry.json", body)
	text := []byte(`{"seq": 12, "whole": false, "later": [1], "hosts": [{"host": "s-1", "dial": "127.0.0.1:80", "site": "a", "class": "m", "block": 3,
		"health": "up", "share": 0.5, "born_ms": 1700000000123.5, "later": {"a": 1}}, {"host": "s-2", "health": "removed"}]}`)
	var parsed bytes.Buffer
	update, err := Parse(text, LimitsFor(0), func() { parsed.Reset() }, func(e Entry) error {
		fmt.Fprintf(&parsed, "%q %q %q %d %q %v %v\n", e.Name, e.Address, e.Zone, e.Pod, e.State, e.Weight, e.StartedMs)
		return nil
	})
	fmt.Fprintf(&parsed, "version %d, whole %v, passed over %d, %v\n", update.Version, update.Complete, update.Skipped, err)
	golden.Check(t, "read.txt", parsed.Bytes())
}
