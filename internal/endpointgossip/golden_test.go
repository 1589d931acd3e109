package endpointgossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"fawnglade/internal/golden"
)

// TestGoldenMessages compares requests and responses with the bytes of earlier builds.
func TestGoldenMessages(t *testing.T) {
	endpoints := []Endpoint{{Name: "s-1", Address: "127.0.0.1:80", Zone: "a", Pod: 3, Weight: 1.5, Draining: true, StartedNs: 1_700_000_000_000_000_000}, {Name: "s-2", Address: "127.0.0.2:80"}}
	for name, m := range map[string]message{
		"question.bin":       {Kind: requestKind, Version: 7, Digest: 99, WantPages: []int{0, 3}, Restored: true, RequestedAt: 1_700_000_000_000_000_001},
		"reply.bin":          {Kind: responseKind, Version: 7, Digest: 99, Pages: 2, Page: 1, Endpoints: endpoints, AgeNs: 5e9, WatchUp: true, RequestedAt: 1_700_000_000_000_000_001},
		"reply-to-equal.bin": {Kind: responseKind, Version: 7, Digest: 99, Pages: 2, Page: -1, Restored: true, RequestedAt: 1},
	} {
		encoded := encode(&m)
		golden.Check(t, name, encoded)
		var read message
		if err := decMode.Unmarshal(encoded, &read); err != nil || fmt.Sprint(read) != fmt.Sprint(m) {
			t.Errorf("%s: read as %+v, %v", name, read, err)
		} else if !bytes.Equal(encode(&read), encoded) {
			t.Errorf("%s: read and written again it is another message", name)
		}
	}
	golden.Check(t, "line.bin", encode(&endpoints[0])) // a list's digest is made of these
	golden.Check(t, "digest.txt", []byte(fmt.Sprintf("%016x\n", newList(7, endpoints, 0, false).digest)))
}

// TestGoldenView compares the view of the admin API with that of earlier builds.
func TestGoldenView(t *testing.T) {
	v := View{WatchUp: true, Version: 7, Endpoints: 2, Restored: true, AgeSeconds: 1.5, Counters: Counters{Requests: 1, Responses: 2, RateLimited: 3, Invalid: 4, Accepted: 5, Unconfirmed: 6}}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "view.json", text)
}
