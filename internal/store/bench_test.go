package store

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkPut measures durable writes of 100 bytes by concurrent writers, on the disk of the temporary directory.
func BenchmarkPut(b *testing.B) {
	for _, writers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(writers), func(b *testing.B) {
			s, _, err := Open(b.TempDir(), Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer closeStore(b, s)
			value := make([]byte, 100)
			var next atomic.Int64
			var group sync.WaitGroup
			b.ResetTimer()
			for range writers {
				group.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						if err := s.Put(fmt.Sprint("k", i%1000), value); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			group.Wait()
		})
	}
}

// BenchmarkOpen measures recovery for several numbers of keys, and the memory that the open store uses.
func BenchmarkOpen(b *testing.B) {
	for _, keys := range []int{1000, 100000, 1000000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := Open(dir, Options{ManualCompaction: true})
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; i < keys; {
				var batch Batch
				for range min(5000, keys) {
					batch.Put(fmt.Sprintf("server/%07d", i), []byte("a persisted endpoint record of 40 bytes."))
					i++
				}
				if err := s.Apply(&batch); err != nil {
					b.Fatal(err)
				}
			}
			closeStore(b, s)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			for range b.N {
				s, recovery, err := Open(dir, Options{ManualCompaction: true})
				if err != nil || recovery.Keys != keys {
					b.Fatalf("got recovery %+v, error %v; want %d keys", recovery, err, keys)
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				closeStore(b, s)
				b.StartTimer()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		})
	}
}

// BenchmarkOverwrite overwrites the same thousand keys, and reports the maximum space amplification: the size of the
// log divided by the live bytes.
func BenchmarkOverwrite(b *testing.B) {
	s, _, err := Open(b.TempDir(), Options{SegmentBytes: 256 << 10})
	if err != nil {
		b.Fatal(err)
	}
	defer closeStore(b, s)
	value := make([]byte, 1000)
	maxAmplification, start := 0.0, time.Now()
	for i := range b.N {
		var batch Batch
		for k := range 50 {
			batch.Put(fmt.Sprint("k", (i*50+k)%1000), value)
		}
		if err := s.Apply(&batch); err != nil {
			b.Fatal(err)
		}
		s.mu.Lock()
		total := int64(0)
		for _, seg := range s.segments {
			total += seg.size
		}
		if i > 100 {
			maxAmplification = max(maxAmplification, float64(total)/float64(s.liveBytes))
		}
		s.mu.Unlock()
	}
	b.ReportMetric(maxAmplification, "space")
	b.ReportMetric(float64(b.N*50)/time.Since(start).Seconds(), "puts/s")
}
