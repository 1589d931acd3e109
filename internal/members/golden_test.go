package members

import (
	"bytes"
	"encoding/json"
	"fawnglade/internal/golden"
	"fmt"
	"testing"
)

// TestGoldenMessages holds the datagrams of membership to the bytes that earlier builds send and read.
func TestGoldenMessages(t *testing.T) {
	key := []byte("a key of 16 bytes")
	self := rumour{ID: 0x1122334455667788, State: Up, Start: 1_700_000_000_000, Over: 3, Run: 77}
	told := []rumour{{ID: 5, State: Doubted, Start: 9, Over: 1, Run: 6, By: 42}, {ID: 6, State: Silent, Start: 10, Run: 7}, {ID: 7, State: Left, Start: 11, Run: 8}}
	for name, m := range map[string]message{
		"ping.bin":    {Kind: ping, To: 9, Self: self, Sequence: 12, Parts: 4, Part: 2, Digest: 0xabcdef, Told: told},
		"ack.bin":     {Kind: ack, To: 9, Self: self, Sequence: 12, About: 8, Before: 1_600_000_000_000},
		"please.bin":  {Kind: please, To: 9, Self: self, Sequence: 13, About: 8},
		"nack.bin":    {Kind: nack, To: 9, Self: self, Sequence: 13, About: 8},
		"tell.bin":    {Kind: tell, To: 9, Self: self, Told: told[:1]},
		"part.bin":    {Kind: part, To: 9, Self: self, Told: told},
		"carried.bin": {Kind: carried, To: 9, Self: self, Load: []byte("a load")},
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

// TestGoldenView holds what the console shows of the members to its form.
func TestGoldenView(t *testing.T) {
	m := one(t, "n0", 4, &nowhere{})
	m.Heard(begin+1e9, from(m, "n1", message{Kind: tell}))
	m.Heard(begin+1e9, from(m, "n2", message{Kind: tell, Told: []rumour{{ID: m.peers[m.find(one(t, "n3", 4, nil).id)].id, State: Doubted, Start: 5, Run: 1}}}))
	text, err := json.Marshal(m.View(begin + 2e9))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "view.json", text)
}
