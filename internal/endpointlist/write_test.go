package endpointlist

import (
	"slices"
	"testing"
)

func TestWhatIsWrittenIsRead(t *testing.T) {
	in := []Entry{{Host: "h1", Dial: "10.0.0.1:80", Site: "a", Block: 3, Health: "up", Share: 0.5, Born: 7}, {Host: "ü\"x", Health: "draining"}}
	var out []Entry
	l, err := Parse(Text(9, in), For(0), func() { out = nil }, func(e Entry) error { out = append(out, e); return nil })
	if err != nil || l.Version != 9 || !l.Whole || !slices.Equal(in, out) {
		t.Errorf("%+v %v: %+v, expected %+v", l, err, out, in)
	}
}
