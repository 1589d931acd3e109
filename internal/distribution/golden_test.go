package distribution

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"fawnglade/internal/golden"
)

// TestGoldenFrames checks that the encoding of hellos and frames is compatible with earlier builds.
func TestGoldenFrames(t *testing.T) {
	h := hello{Protocol: protocolVersion, Session: 3, EpochSeen: 5, Epoch: 5, Through: 40, Selectors: []helloSelector{
		{Scope: "eu/", Flags: flagPrefix | flagShared}, {Scope: "us/web", Epoch: 4, Through: 39},
	}}
	f := frame{
		Session: 3, Number: 2, Epoch: 5, Begin: []uint32{0}, Groups: []recordGroup{{Scope: "eu/web", Records: []record{
			{Key: "host/a", Flags: 1, Version: 41, Body: []byte(`{"host":"a"}`)},
			{Key: "host/b", Flags: flagDeleted, Version: 42},
			{Key: "host/c", Flags: flagKeyOnly, Version: 40},
		}}},
		End: []uint32{0, 1}, Through: 42, All: true, Except: []uint32{1}, Age: 12345,
	}
	for name, v := range map[string]any{"hello.bin": &h, "frame.bin": &f} {
		golden.Check(t, name, encode(v))
	}
	gotHello, err := decodeHello(encode(&h), Limits{Selectors: 8})
	if err != nil || fmt.Sprint(*gotHello) != fmt.Sprint(h) || !bytes.Equal(encode(gotHello), encode(&h)) {
		t.Errorf("decoded hello: got %+v, error %v, want the encoded one", gotHello, err)
	}
	gotFrame, err := decodeFrame(encode(&f),
		func(scope string) { t.Errorf("got an invalid record in scope %q", scope) })
	if err != nil || fmt.Sprint(*gotFrame) != fmt.Sprint(f) || !bytes.Equal(encode(gotFrame), encode(&f)) {
		t.Errorf("decoded frame: got %+v, error %v, want the encoded one", gotFrame, err)
	}
}

// TestGoldenStats checks that the names of the counters in JSON are unchanged.
func TestGoldenStats(t *testing.T) {
	text, err := json.Marshal(Stats{
		Epoch: 1, Through: 2, Complete: true, Records: 3, Tombstones: 4, Scopes: 5, Bytes: 6, Subscribers: 7,
		Selectors: 8, Floor: 9,
		Frames: 10, FrameBytes: 11, Sent: 12, SentBytes: 13, SentRecords: 14, SentKeysOnly: 15, Resumed: 16,
		Snapshots: 17, Applied: 18, Repeated: 19, Stale: 20, Swept: 21,
		InvalidRecords: 22, ForeignRecords: 23, StaleFrames: 24, RefusedHellos: 25, LastInvalid: "x",
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "stats.json", text)
}
