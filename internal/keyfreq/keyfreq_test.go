package keyfreq

import (
	"fmt"
	"testing"
)

func TestAffinityCountFollowsRequestFraction(t *testing.T) {
	var counter Counter
	affinityCounts := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprint("rare", i)
		if i%2 == 0 {
			key = "half"
		}
		_, affinityCounts[key] = counter.Observe(key, 100)
		if i%100 == 99 {
			counter.Decay()
		}
	}
	if n := affinityCounts["half"]; n < 70 || n > 80 {
		t.Errorf("a key with half of all requests, and 100 endpoints: got %d endpoints, want 70 to 80", n)
	}
	if n := affinityCounts["rare3999"]; n != 1 {
		t.Errorf("a key requested once: got %d endpoints, want 1", n)
	}
	for range 100 {
		counter.Decay()
	}
	if len(counter.counts) > 0 {
		t.Errorf("after 100 s without requests: got %d counted keys, want 0", len(counter.counts))
	}
}

func TestKeyCountIsBounded(t *testing.T) {
	var counter Counter
	for i := range maxKeys + 10 {
		if hash, affinityCount := counter.Observe(fmt.Sprint(i), 10); hash == 0 || affinityCount < 1 {
			t.Fatalf("key %d: got hash %d and %d endpoints, want a hash other than 0 and at least one endpoint", i, hash, affinityCount)
		}
	}
	if len(counter.counts) > maxKeys {
		t.Errorf("got %d counted keys, want at most %d", len(counter.counts), maxKeys)
	}
}
