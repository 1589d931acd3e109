package keyfreq

import (
	"fmt"
	"testing"
)

func TestHomesFollowAKeysPart(t *testing.T) {
	var tally Counter
	homes := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprint("rare", i)
		if i%2 == 0 {
			key = "half"
		}
		_, homes[key] = tally.Observe(key, 100)
		if i%100 == 99 {
			tally.Decay()
		}
	}
	if n := homes["half"]; n < 70 || n > 80 {
		t.Errorf("half of all tasks and 100 servers: at home at %d, expected three quarters", n)
	}
	if n := homes["rare3999"]; n != 1 {
		t.Errorf("a key met once: at home at %d, expected one", n)
	}
	for range 100 {
		tally.Decay()
	}
	if len(tally.asked) > 0 {
		t.Errorf("%d keys are counted that nobody asks for any more", len(tally.asked))
	}
}

func TestNoMoreKeysAreCountedThanStated(t *testing.T) {
	var tally Counter
	for i := range most + 10 {
		if hash, homes := tally.Observe(fmt.Sprint(i), 10); hash == 0 || homes < 1 {
			t.Fatalf("key %d: hash %d, %d homes", i, hash, homes)
		}
	}
	if len(tally.asked) > most {
		t.Errorf("%d keys are counted, expected at most %d", len(tally.asked), most)
	}
}
