package keyfreq

import (
	"fmt"
	"testing"
)

func TestAffinityCountFollowsRequestFraction(t *testing.T) {
	var counter Counter
	homes := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprint("rare", i)
		if i%2 == 0 {
			key = "half"
		}
		_, homes[key] = counter.Observe(key, 100)
		if i%100 == 99 {
			counter.Decay()
		}
	}
	if n := homes["half"]; n < 70 || n > 80 {
		t.Errorf("half of all requests and 100 endpoints: at home at %d, expected three quarters", n)
	}
	if n := homes["rare3999"]; n != 1 {
		t.Errorf("a key met once: at home at %d, expected one", n)
	}
	for range 100 {
		counter.Decay()
	}
	if len(counter.counts) > 0 {
		t.Errorf("%d keys are counted that nobody asks for any more", len(counter.counts))
	}
}

func TestKeyCountIsBounded(t *testing.T) {
	var counter Counter
	for i := range maxKeys + 10 {
		if hash, homes := counter.Observe(fmt.Sprint(i), 10); hash == 0 || homes < 1 {
			t.Fatalf("key %d: hash %d, %d homes", i, hash, homes)
		}
	}
	if len(counter.counts) > maxKeys {
		t.Errorf("%d keys are counted, expected at most %d", len(counter.counts), maxKeys)
	}
}
