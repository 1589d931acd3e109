package gossip

import (
	"bytes"
	"testing"
	"time"

	"fawnglade/internal/golden"
	"fawnglade/policy"
)

// TestGoldenMessages compares encoded gossip messages with the golden files, since nodes of earlier builds read them.
func TestGoldenMessages(t *testing.T) {
	const now = 1_700_000_000_123 * nanosPerMilli
	for name, message := range map[string]policy.GossipMessage{
		"server-fails.bin":    {Endpoint: 0xfedcba98, Class: 3},
		"idle-connection.bin": {IdleTime: 4_321_000 * time.Microsecond},
	} {
		encoded := Encode(message, now)
		golden.Check(t, name, encoded)
		decoded, sentAt, err := decode(encoded)
		if err != nil || decoded != message || sentAt != now {
			t.Errorf("%s: decoded: got %+v, sent at %d, error %v; want the original message and time", name, decoded, sentAt, err)
		}
		if !bytes.Equal(Encode(decoded, sentAt), encoded) {
			t.Errorf("%s: encoding the decoded message: got other bytes, want the original ones", name)
		}
	}
}
