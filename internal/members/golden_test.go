package members

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"fawnglade/internal/golden"
)

// TestGoldenMessages compares datagrams with the bytes that earlier builds send and read.
func TestGoldenMessages(t *testing.T) {
	key := []byte("a key of 16 bytes")
	self := update{ID: 0x1122334455667788, State: Alive, StartMs: 1_700_000_000_000, IncarnationOffset: 3, RunID: 77}
	updates := []update{{ID: 5, State: Suspect, StartMs: 9, IncarnationOffset: 1, RunID: 6, SuspectedBy: 42}, {ID: 6, State: Dead, StartMs: 10, RunID: 7}, {ID: 7, State: Left, StartMs: 11, RunID: 8}}
	for name, m := range map[string]message{
		"ping.bin":    {Kind: ping, To: 9, Self: self, Sequence: 12, Buckets: 4, Bucket: 2, Digest: 0xabcdef, Updates: updates},
		"ack.bin":     {Kind: ack, To: 9, Self: self, Sequence: 12, Target: 8, KnownStartMs: 1_600_000_000_000},
		"please.bin":  {Kind: pingReq, To: 9, Self: self, Sequence: 13, Target: 8},
		"nack.bin":    {Kind: nack, To: 9, Self: self, Sequence: 13, Target: 8},
		"tell.bin":    {Kind: gossip, To: 9, Self: self, Updates: updates[:1]},
		"part.bin":    {Kind: pushPull, To: 9, Self: self, Updates: updates},
		"carried.bin": {Kind: payload, To: 9, Self: self, Payload: []byte("a load")},
	} {
		datagram := encode(key, &m)
		golden.Check(t, name, datagram)
		read, err := decode(key, datagram)
		if err != nil || fmt.Sprint(*read) != fmt.Sprint(m) {
			t.Errorf("%s: read as %+v, %v", name, read, err)
		} else if !bytes.Equal(encode(key, read), datagram) {
			t.Errorf("%s: read and written again it is another datagram", name)
		}
	}
}

// TestGoldenView compares the view of the admin API with that of earlier builds.
func TestGoldenView(t *testing.T) {
	m := newTestMembers(t, "n0", 4, &recordingTransport{})
	m.Receive(testStartNs+1e9, datagramFrom(m, "n1", message{Kind: gossip}))
	m.Receive(testStartNs+1e9, datagramFrom(m, "n2", message{Kind: gossip, Updates: []update{{ID: m.peers[m.find(newTestMembers(t, "n3", 4, nil).id)].id, State: Suspect, StartMs: 5, RunID: 1}}}))
	text, err := json.Marshal(m.View(testStartNs + 2e9))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "view.json", text)
}
