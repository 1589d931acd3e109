package store

import "testing"

// FuzzScan scans arbitrary content: the scan must not panic, nor report values or valid bytes beyond the end.
func FuzzScan(f *testing.F) {
	log := encodeHeader([]uint64{3})
	log = append(log, encodeFrame(1, []operation{{key: "a", value: []byte("1")}, {key: "b", isDelete: true}})...)
	log = append(log, encodeFrame(2, []operation{{key: "a", value: nil}})...)
	f.Add(log, true)
	f.Add(log[:len(log)-3], true)
	f.Add(append(encodeHeader(nil), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1), false)
	f.Add([]byte(magic), true)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		result, _ := scan(segmentName(1), b, last, func(offset int64, f frame) {
			for _, op := range f.ops {
				if !op.isDelete && (op.valueOffset < 0 || offset+int64(op.valueOffset+len(op.value)) > int64(len(b))) {
					t.Fatalf("got a value at offset %d of %d bytes, beyond the end of the segment of %d bytes", offset+int64(op.valueOffset), len(op.value), len(b))
				}
			}
		})
		if result.validBytes > int64(len(b)) {
			t.Fatalf("got %d valid bytes, more than the %d bytes of the segment", result.validBytes, len(b))
		}
	})
}
