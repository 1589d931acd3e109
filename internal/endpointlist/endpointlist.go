// Package endpointlist reads and writes endpoint lists in discovery's format: lines of JSON, each with a complete list
// or the changes to one. Lists are decoded as a stream with bounded memory, however long they are.
package endpointlist

import "fmt"

// Entry is one endpoint in discovery's format. The order of the fields is that of an encoded entry.
type Entry struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Pod       int     `json:"block"`
	State     string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"` // Unix milliseconds
}

// Update describes a line, without its entries.
type Update struct {
	Version  int64
	Complete bool  // the line has all endpoints, and all of its entries were valid
	Skipped  int   // number of invalid entries
	FirstErr error // of the first invalid entry
}

// Limits bounds the size of a list and the memory for reading it.
type Limits struct {
	ValueBytes int   // of one entry, or of one unknown field; this much is held in memory
	LineBytes  int64 // of a line, including white space
	Endpoints  int   // number of entries of a line
}

const (
	defaultMemory          = 1 << 30
	lineMemoryDivisor      = 4        // of the memory; a line is not held in memory, but the names in it are
	valueLineDivisor       = 64       // of the line limit
	minValueBytes          = 64 << 10 // also the minimum for a line
	endpointsMemoryDivisor = 2        // of the memory; at 0.6 of it in use, garbage collection would run all the time

	// EndpointBytes is the memory that a node needs per endpoint, over all packages and including garbage.
	EndpointBytes = 1500
)

// LimitsFor returns the limits for a node that may use the given memory, in bytes; 0: 1 GiB.
func LimitsFor(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	lineBytes := max(memory/lineMemoryDivisor, minValueBytes)
	return Limits{
		ValueBytes: int(max(lineBytes/valueLineDivisor, minValueBytes)),
		LineBytes:  lineBytes,
		Endpoints:  int(memory / endpointsMemoryDivisor / EndpointBytes),
	}
}

// TooLongError is returned for a list that exceeds one of the limits.
type TooLongError struct {
	Unit  string // "entries", "bytes of a line" or "bytes of one value"
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("endpoint list exceeds a limit: expected at most %d %s, got more", e.Limit, e.Unit)
}
