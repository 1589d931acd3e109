package news

import (
	"testing"

	"fawnglade/policy"
)

func TestNewsComeBackAsTheyWere(t *testing.T) {
	for _, n := range []policy.News{{Idle: 1000}, {Idle: 2500000000}, {Server: 1<<32 - 1, Category: 9}, {}} {
		message := Encode(n)
		if got, err := Decode(message); got != n || err != nil || len(message) > Most {
			t.Errorf("%+v came back as %+v, %v, in %d bytes", n, got, err, len(message))
		}
	}
}

func TestNonsenseIsAnError(t *testing.T) {
	for _, message := range [][]byte{nil, {}, {1}, {1, 1}, {2, 1, 100}, {1, 9, 9}, {1, 1, 0}, {1, 1, 255, 255, 255}, {1, 1, 5, 5},
		{1, 2}, {1, 2, 1}, {1, 2, 1, 200}, {1, 2, 1, 0, 0}, {1, 2, 255, 255, 255, 255, 255, 255, 1, 0}, make([]byte, 300),
		{1, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, {1, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}} {
		if got, err := Decode(message); err == nil {
			t.Errorf("%v was taken for %+v", message, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(policy.News{Idle: 1000}))
	f.Add(Encode(policy.News{Server: 7, Category: 2}))
	f.Fuzz(func(t *testing.T, message []byte) {
		if n, err := Decode(message); err == nil && (n.Idle < 0 || n.Category < 0) {
			t.Errorf("%v was taken for %+v", message, n)
		}
	})
}
