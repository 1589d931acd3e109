// Package keyfreq counts how often each key was asked for lately, and says at how many endpoints a key should be at
// home.
package keyfreq

import "fawnglade/internal/rendezvous"

const (
	maxKeys        = 1 << 16 // counted at once; any other counts as asked for once
	decayPerSecond = 0.9     // part of a count that is left a second later
	minCount       = 0.1     // a lower one is dropped
	// affinityFactor is the number of homes over the key's part of all requests times the endpoints.
	affinityFactor = 1.5
	// repeatLearningRate is the part of a request in the exponentially weighted average of repeated keys.
	repeatLearningRate = 1.0 / 32
)

// Counter counts keys. The zero value has counted nothing. It is not safe for concurrent use.
type Counter struct {
	counts         map[uint64]float64 // decayed counts of requests, by the hash of the key
	total          float64            // decayed count of all requests
	repeatFraction float64            // average of requests whose key was known (1) or not (0)
}

// Observe counts a request for a key. It returns the key's hash, never 0, and at how many of so many endpoints it is at
// home: as many as its part of the requests needs, since a popular key would overload a single one.
func (c *Counter) Observe(key string, endpoints int) (hash uint64, homes int) {
	if c.counts == nil {
		c.counts = map[uint64]float64{}
	}
	hash = max(rendezvous.HashKey(key), 1)
	before, known := c.counts[hash]
	c.repeatFraction -= c.repeatFraction * repeatLearningRate
	if known {
		c.repeatFraction += repeatLearningRate
	}
	c.total++
	if known || len(c.counts) < maxKeys {
		c.counts[hash] = before + 1
	}
	// A key asked for once says little of its part; how many keys are repeated says how much.
	return hash, 1 + int(affinityFactor*float64(endpoints)*(before+c.repeatFraction)/c.total)
}

// Decay lets earlier requests count for less. The caller invokes it once a second.
func (c *Counter) Decay() {
	c.total *= decayPerSecond
	for key, count := range c.counts {
		count *= decayPerSecond
		c.counts[key] = count
		if count < minCount {
			delete(c.counts, key)
		}
	}
}
