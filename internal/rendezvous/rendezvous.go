// Package rendezvous owns the order in which servers stand for a key, the same everywhere without any talk: the highest of a
// hash of both comes first (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998). It must
// never change from one build to the next, or nodes of two builds would disagree.
package rendezvous

// HashKey is a key's part of the hash.
func HashKey(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h
}

// Score is where a server stands for a key; the higher the earlier.
func Score(key uint64, server uint32) uint64 {
	h := (key ^ uint64(server)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	return h ^ h>>29
}

// NumberKey is a key for a number, as small ones lie too close together for the hash.
func NumberKey(number int) uint64 { return uint64(number+1) * 0x9e3779b97f4a7c15 }

// MaxTop is how many First finds at most.
const MaxTop = 32

// Top appends to found the n of all that stand highest, the highest first, and leaves out those whose rank is 0.
func Top[T any](found, all []T, n int, rank func(T) uint64) []T {
	var ranks [MaxTop]uint64
	if n = min(n, MaxTop); n <= 0 {
		return found
	}
	has, from := 0, len(found)
	for _, one := range all {
		r := rank(one)
		if r == 0 || has == n && r <= ranks[n-1] {
			continue
		}
		if has < n {
			has++
			found = append(found, one)
		}
		at := has - 1
		for ; at > 0 && ranks[at-1] < r; at-- {
			ranks[at], found[from+at] = ranks[at-1], found[from+at-1]
		}
		ranks[at], found[from+at] = r, one
	}
	return found
}
