package gossip

import (
	"bytes"
	"testing"
	"time"

	"fawnglade/internal/golden"
	"fawnglade/policy"
)

// TestGoldenMessages compares the messages between nodes with the bytes that earlier builds send and read.
func TestGoldenMessages(t *testing.T) {
	const now = 1_700_000_000_123 * nanosPerMilli
	for name, sent := range map[string]policy.GossipMessage{
		"server-fails.bin":    {Endpoint: 0xfedcba98, Class: 3},
		"idle-connection.bin": {IdleTime: 4_321_000 * time.Microsecond},
	} {
		message := Encode(sent, now)
		golden.Check(t, name, message)
		read, sentAt, err := decode(message)
		if err != nil || read != sent || sentAt != now {
			t.Errorf("%s: decoded as %+v of %d, %v", name, read, sentAt, err)
		}
		if !bytes.Equal(Encode(read, sentAt), message) {
			t.Errorf("%s: decoded and encoded again it is another message", name)
		}
	}
}
