package store

import "testing"

// FuzzScan scans any content: the scan neither panics nor reports more than there is.
func FuzzScan(f *testing.F) {
	log := encodeHeader([]uint64{3})
	log = append(log, encodeFrame(1, []operation{{key: "a", value: []byte("1")}, {key: "b", isDelete: true}})...)
	log = append(log, encodeFrame(2, []operation{{key: "a", value: nil}})...)
	f.Add(log, true)
	f.Add(log[:len(log)-3], true)
	f.Add(append(encodeHeader(nil), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1), false)
	f.Add([]byte(magic), true)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		s, _ := scan(segmentName(1), b, last, func(at int64, f frame) {
			for _, o := range f.ops {
				if !o.isDelete && (o.valueOffset < 0 || at+int64(o.valueOffset+len(o.value)) > int64(len(b))) {
					t.Fatalf("a value at %d of %d bytes in %d", at+int64(o.valueOffset), len(o.value), len(b))
				}
			}
		})
		if s.validBytes > int64(len(b)) {
			t.Fatalf("%d valid bytes of %d", s.validBytes, len(b))
		}
	})
}
