package endpointgossip

import (
	"bytes"
	"encoding/json"
	"fawnglade/internal/golden"
	"fmt"
	"testing"
)

// TestGoldenMessages holds what nodes ask one another of the list, and answer, to the bytes of earlier builds.
func TestGoldenMessages(t *testing.T) {
	lines := []Line{{Name: "s-1", Address: "127.0.0.1:80", Zone: "a", Pod: 3, Weight: 1.5, Draining: true, Started: 1_700_000_000_000_000_000}, {Name: "s-2", Address: "127.0.0.2:80"}}
	for name, m := range map[string]message{
		"question.bin":       {Kind: question, Version: 7, Digest: 99, Want: []int{0, 3}, Recalled: true, Asked: 1_700_000_000_000_000_001},
		"reply.bin":          {Kind: reply, Version: 7, Digest: 99, Pages: 2, Page: 1, Lines: lines, Age: 5e9, First: true, Asked: 1_700_000_000_000_000_001},
		"reply-to-equal.bin": {Kind: reply, Version: 7, Digest: 99, Pages: 2, Page: -1, Recalled: true, Asked: 1},
	} {
		load := encode(&m)
		golden.Check(t, name, load)
		var read message
		if err := reading.Unmarshal(load, &read); err != nil || fmt.Sprint(read) != fmt.Sprint(m) {
			t.Errorf("%s: read as %+v, %v", name, read, err)
		} else if !bytes.Equal(encode(&read), load) {
			t.Errorf("%s: read and written again it is another load", name)
		}
	}
	golden.Check(t, "line.bin", encode(&lines[0])) // a list's digest is made of these
	golden.Check(t, "digest.txt", []byte(fmt.Sprintf("%016x\n", newList(7, lines, 0, false).digest)))
}

// TestGoldenView holds what the console shows of the list to its form.
func TestGoldenView(t *testing.T) {
	v := View{Stands: true, Version: 7, Servers: 2, Recalled: true, Age: 1.5, Counts: Counts{Asked: 1, Answered: 2, Held: 3, Bad: 4, Taken: 5, Doubted: 6}}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "view.json", text)
}
