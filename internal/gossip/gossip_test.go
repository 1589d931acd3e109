package gossip

import (
	"errors"
	"testing"

	"fawnglade/policy"
)

const now = int64(5e12)

func TestEncodeOpenRoundTrip(t *testing.T) {
	for _, n := range []policy.GossipMessage{{IdleTime: 1000}, {IdleTime: 2500000000}, {Endpoint: 1<<32 - 1, Class: 9}, {}} {
		if got, err := new(Inbox).Open(3, Encode(n, now), now+maxAge); got != n || err != nil || len(Encode(n, now)) > MaxMessageBytes {
			t.Errorf("%+v came back as %+v, %v", n, got, err)
		}
	}
}

func TestOpenRejectsInvalidOldAndRepeated(t *testing.T) {
	b, n := &Inbox{}, policy.GossipMessage{Endpoint: 7, Class: 1}
	good := Encode(n, now)
	if _, err := b.Open(1, good, now); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		from    int
		message []byte
		want    error
	}{
		"nothing": {2, nil, errInvalid}, "cut off": {2, good[:len(good)-1], errInvalid}, "cut within a number": {2, good[:4], errInvalid},
		"too much": {2, append(good[:len(good):len(good)], 0), errInvalid}, "oversized": {2, make([]byte, MaxMessageBytes+1), errInvalid},
		"another version": {2, append([]byte{2}, good[1:]...), errInvalid}, "another kind": {2, append([]byte{1, 9}, good[2:]...), errInvalid},
		"no idle time": {2, []byte{version, kindIdleTime, 0, 0}, errInvalid}, "an invalid class": {2, Encode(policy.GossipMessage{Endpoint: 1, Class: -1}, now), errInvalid},
		"old": {2, Encode(n, now-maxAge-nanosPerMilli), errOld}, "ahead": {2, Encode(n, now+maxAge+nanosPerMilli), errOld},
		"repeated": {1, good, errRepeated}, "sent again at once": {1, Encode(n, now+minInterval-nanosPerMilli), errRepeated},
		"sent before the last": {1, Encode(n, now-nanosPerMilli), errRepeated},
		"from another":         {2, good, nil}, "a second later": {1, Encode(n, now+1000*nanosPerMilli), nil},
		"of another class": {1, Encode(policy.GossipMessage{Endpoint: 7}, now), nil},
	} {
		if got, err := b.Open(c.from, c.message, now); !errors.Is(err, c.want) || err != nil && got != (policy.GossipMessage{}) {
			t.Errorf("%s: %+v, %v, want %v", name, got, err, c.want)
		}
	}
}

// Guards against a peer whose messages fill the memory.
func TestInboxMemoryIsBounded(t *testing.T) {
	b := &Inbox{}
	for i := range maxRemembered + 10 {
		_, err := b.Open(1, Encode(policy.GossipMessage{Endpoint: policy.EndpointID(i)}, now), now)
		if full := i >= maxRemembered; full != errors.Is(err, errFull) {
			t.Fatalf("message %d: %v", i, err)
		}
	}
	later := now + maxAge + nanosPerMilli
	if _, err := b.Open(1, Encode(policy.GossipMessage{Endpoint: 1}, later), later); len(b.lastSent) != 1 || err != nil {
		t.Errorf("%d remembered after a flood, %v", len(b.lastSent), err)
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(Encode(policy.GossipMessage{IdleTime: 1000}, now))
	f.Add(Encode(policy.GossipMessage{Endpoint: 7, Class: 2}, now))
	f.Fuzz(func(t *testing.T, message []byte) {
		if n, err := new(Inbox).Open(0, message, now); err == nil && (n.IdleTime < 0 || n.Class < 0) {
			t.Errorf("%v was decoded as %+v", message, n)
		}
	})
}
