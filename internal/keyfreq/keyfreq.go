// Package keyfreq owns how often each key is asked for of late, and from that at how many servers its requests are at home. It must
// never know a server, a request or a clock.
package keyfreq

import "fawnglade/internal/rendezvous"

const (
	most      = 1 << 16 // keys counted at once; what comes beyond them counts as asked for once
	fade      = 0.9     // part of what was asked for that still counts at the next Fade
	forgotten = 0.1     // a count below this is dropped
	homesPart = 1.5     // homes of a key, over its part of all that is asked for times the servers
	settles   = 1.0 / 32
)

// Counter counts keys. The zero value has counted nothing.
type Counter struct {
	asked map[uint64]float64
	all   float64
	again float64 // running part of the askings whose key was known
}

// Observe counts one asking for a key. It returns the key's hash, never 0, and at how many of so many servers it is at home: as many
// as its part of the askings needs, since a popular key would jam a single one.
func (t *Counter) Observe(key string, servers int) (hash uint64, homes int) {
	if t.asked == nil {
		t.asked = map[uint64]float64{}
	}
	hash = max(rendezvous.HashKey(key), 1)
	before, known := t.asked[hash]
	if t.again -= t.again * settles; known {
		t.again += settles
	}
	if t.all++; known || len(t.asked) < most {
		t.asked[hash] = before + 1
	}
	// A key asked for once tells little of its part; how many keys come again tells how much.
	return hash, 1 + int(homesPart*float64(servers)*(before+t.again)/t.all)
}

// Decay lets what was asked for count for less; it is called once a second.
func (t *Counter) Decay() {
	t.all *= fade
	for key, n := range t.asked {
		if t.asked[key] = n * fade; n*fade < forgotten {
			delete(t.asked, key)
		}
	}
}
