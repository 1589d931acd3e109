package endpointlist

import (
	"slices"
	"testing"
)

func TestEncodeParseRoundTrip(t *testing.T) {
	in := []Entry{{Name: "h1", Address: "10.0.0.1:80", Zone: "a", Pod: 3, State: "up", Weight: 0.5, StartedMs: 7}, {Name: "ü\"x", State: "draining"}}
	var out []Entry
	l, err := Parse(Encode(9, in), LimitsFor(0), func() { out = nil }, func(e Entry) error { out = append(out, e); return nil })
	if err != nil || l.Version != 9 || !l.Complete || !slices.Equal(in, out) {
		t.Errorf("%+v %v: %+v, expected %+v", l, err, out, in)
	}
}
