package endpointlist

import (
	"bytes"
	"fmt"
	"testing"

	"fawnglade/internal/golden"
)

// TestGoldenList holds a written list to discovery's form, and the reading of one as discovery writes it.
func TestGoldenList(t *testing.T) {
	entries := []Entry{{Host: "s-1", Dial: "127.0.0.1:80", Site: "a", Block: 3, Health: "draining", Share: 1.5, Born: 1_700_000_000_123}, {Host: "s-2", Health: "removed"}}
	golden.Check(t, "list.json", Text(9, entries))
	body, err := Body(entries[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "entry.json", body)
	text := []byte(`{"seq": 12, "whole": false, "later": [1], "hosts": [{"host": "s-1", "dial": "127.0.0.1:80", "site": "a", "class": "m", "block": 3,
		"health": "up", "share": 0.5, "born_ms": 1700000000123.5, "later": {"a": 1}}, {"host": "s-2", "health": "removed"}]}`)
	var read bytes.Buffer
	line, err := Parse(text, For(0), func() { read.Reset() }, func(e Entry) error {
		fmt.Fprintf(&read, "%q %q %q %d %q %v %v\n", e.Host, e.Dial, e.Site, e.Block, e.Health, e.Share, e.Born)
		return nil
	})
	fmt.Fprintf(&read, "version %d, whole %v, passed over %d, %v\n", line.Version, line.Whole, line.Passed, err)
	golden.Check(t, "read.txt", read.Bytes())
}
