// Package keyfreq counts how often each affinity key was requested recently, and computes how many endpoints the
// requests for a key should be spread over.
package keyfreq

import "fawnglade/internal/rendezvous"

const (
	maxKeys        = 1 << 16 // counted at the same time; further keys are treated as requested once
	decayPerSecond = 0.9     // fraction of a count that is left after a second
	minCount       = 0.1     // keys with a lower count are dropped
	// affinityFactor is the number of endpoints for a key, relative to the key's fraction of all requests times the
	// number of endpoints.
	affinityFactor = 1.5
	// repeatLearningRate is the weight of one request in the exponentially weighted average repeatFraction.
	repeatLearningRate = 1.0 / 32
)

// Counter counts keys. The zero value has counted nothing. It is not safe for concurrent use.
type Counter struct {
	counts         map[uint64]float64 // decayed counts of requests, by the hash of the key
	total          float64            // decayed count of all requests
	repeatFraction float64            // moving average of whether a request's key was counted before (1) or not (0)
}

// Observe counts a request for a key. It returns the key's hash, never 0, and the number of endpoints, out of the given
// number, that requests for the key should go to. It is in proportion to the key's fraction of all requests, since a
// popular key would overload a single endpoint.
func (c *Counter) Observe(key string, endpoints int) (hash uint64, affinityCount int) {
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
	// One request says little about a key's fraction of requests, so the current one counts as repeatFraction rather
	// than as 1.
	return hash, 1 + int(affinityFactor*float64(endpoints)*(before+c.repeatFraction)/c.total)
}

// Decay reduces the weight of earlier requests. The caller invokes it once a second.
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
