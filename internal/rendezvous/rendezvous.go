// Package rendezvous orders endpoints by a hash of a key and each endpoint's ID, the highest first, so that all nodes
// agree on the first choices for a key without messages (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", 1998). The hashes are the same in every build, or nodes of two builds would disagree.
package rendezvous

// FNV-1a and the finalizer of a 64-bit mixing function.
const (
	fnvOffset    = 14695981039346656037
	fnvPrime     = 1099511628211
	goldenRatio  = 0x9e3779b97f4a7c15
	mixingFirst  = 0xbf58476d1ce4e5b9
	mixingSecond = 0x94d049bb133111eb
)

// HashKey returns the hash of a key.
func HashKey(key string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	return h
}

// HashNumber returns a key hash for a number; small ones lie too close together to be hashes themselves.
func HashNumber(number int) uint64 { return uint64(number+1) * goldenRatio }

// Score returns the order of an endpoint for a key hash, the higher the earlier.
func Score(keyHash uint64, endpointID uint32) uint64 {
	h := (keyHash ^ uint64(endpointID)*goldenRatio) * mixingFirst
	h = (h ^ h>>31) * mixingSecond
	return h ^ h>>29
}

// MaxTop is the most that Top finds.
const MaxTop = 32

// Top appends to found the n items with the highest scores, the highest first, and returns the result. It skips items
// with a score of 0, and finds MaxTop at most.
func Top[T any](found, items []T, n int, score func(T) uint64) []T {
	n = min(n, MaxTop)
	if n <= 0 {
		return found
	}
	var scores [MaxTop]uint64 // of those found, in order
	count, first := 0, len(found)
	for _, item := range items {
		s := score(item)
		if s == 0 || count == n && s <= scores[n-1] {
			continue
		}
		if count < n {
			count++
			found = append(found, item)
		}
		at := count - 1
		for ; at > 0 && scores[at-1] < s; at-- {
			scores[at] = scores[at-1]
			found[first+at] = found[first+at-1]
		}
		scores[at] = s
		found[first+at] = item
	}
	return found
}
