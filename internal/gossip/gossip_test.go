package gossip

import (
	"errors"
	"testing"

	"fawnglade/policy"
)

const now = int64(5e12)

func TestEncodeOpenRoundTrip(t *testing.T) {
	for _, message := range []policy.GossipMessage{{IdleTime: 1000}, {IdleTime: 2500000000}, {Endpoint: 1<<32 - 1, Class: 9}, {}} {
		if got, err := new(Inbox).Open(3, Encode(message, now), now+maxAge); got != message || err != nil || len(Encode(message, now)) > MaxMessageBytes {
			t.Errorf("encoding and opening %+v: got %+v, error %v; want the same message, within MaxMessageBytes", message, got, err)
		}
	}
}

func TestOpenRejectsInvalidOldAndRepeated(t *testing.T) {
	inbox, message := &Inbox{}, policy.GossipMessage{Endpoint: 7, Class: 1}
	encoded := Encode(message, now)
	if _, err := inbox.Open(1, encoded, now); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		from     int
		received []byte
		want     error
	}{
		"nothing": {2, nil, errInvalid}, "cut off": {2, encoded[:len(encoded)-1], errInvalid}, "cut within a number": {2, encoded[:4], errInvalid},
		"trailing byte": {2, append(encoded[:len(encoded):len(encoded)], 0), errInvalid}, "oversized": {2, make([]byte, MaxMessageBytes+1), errInvalid},
		"another version": {2, append([]byte{2}, encoded[1:]...), errInvalid}, "another kind": {2, append([]byte{1, 9}, encoded[2:]...), errInvalid},
		"no idle time": {2, []byte{version, kindIdleTime, 0, 0}, errInvalid}, "an invalid class": {2, Encode(policy.GossipMessage{Endpoint: 1, Class: -1}, now), errInvalid},
		"old": {2, Encode(message, now-maxAge-nanosPerMilli), errOld}, "ahead": {2, Encode(message, now+maxAge+nanosPerMilli), errOld},
		"repeated": {1, encoded, errRepeated}, "sent again within minInterval": {1, Encode(message, now+minInterval-nanosPerMilli), errRepeated},
		"sent before the last one": {1, Encode(message, now-nanosPerMilli), errRepeated},
		"from another peer":        {2, encoded, nil}, "a second later": {1, Encode(message, now+1000*nanosPerMilli), nil},
		"of another class": {1, Encode(policy.GossipMessage{Endpoint: 7}, now), nil},
	} {
		if got, err := inbox.Open(c.from, c.received, now); !errors.Is(err, c.want) || err != nil && got != (policy.GossipMessage{}) {
			t.Errorf("%s: got message %+v, error %v; want error %v", name, got, err, c.want)
		}
	}
}

// A peer that floods the node with messages must not exhaust the memory.
func TestInboxMemoryIsBounded(t *testing.T) {
	inbox := &Inbox{}
	for i := range maxRemembered + 10 {
		_, err := inbox.Open(1, Encode(policy.GossipMessage{Endpoint: policy.EndpointID(i)}, now), now)
		if full := i >= maxRemembered; full != errors.Is(err, errFull) {
			t.Fatalf("message %d: got error %v, want errFull only beyond maxRemembered messages", i, err)
		}
	}
	later := now + maxAge + nanosPerMilli
	if _, err := inbox.Open(1, Encode(policy.GossipMessage{Endpoint: 1}, later), later); len(inbox.lastSent) != 1 || err != nil {
		t.Errorf("after the flood has expired: got %d remembered messages, error %v; want 1 and no error", len(inbox.lastSent), err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(Encode(policy.GossipMessage{IdleTime: 1000}, now))
	f.Add(Encode(policy.GossipMessage{Endpoint: 7, Class: 2}, now))
	f.Fuzz(func(t *testing.T, message []byte) {
		if decoded, err := new(Inbox).Open(0, message, now); err == nil && (decoded.IdleTime < 0 || decoded.Class < 0) {
			t.Errorf("%v was decoded as %+v, want no negative numbers", message, decoded)
		}
	})
}
