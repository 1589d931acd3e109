// Package endpointlist reads and writes endpoint lists in discovery's form: lines of JSON, each a complete list or what
// has changed in one. Lists are read as they come, within bounds of memory, however long they are.
package endpointlist

import "fmt"

// Entry is one endpoint as discovery writes it; the order of the fields is that of an encoded entry.
type Entry struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Pod       int     `json:"block"`
	State     string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"` // Unix milliseconds
}

// Update is a line without its entries.
type Update struct {
	Version  int64
	Complete bool  // names all endpoints, and all of its entries were valid
	Skipped  int   // invalid entries
	FirstErr error // of the first of these
}

// Limits bound what is read.
type Limits struct {
	ValueBytes int   // of one entry, or of one unknown field: as much is held at a time
	LineBytes  int64 // of a line, white space included
	Endpoints  int   // entries of a line
}

const (
	defaultMemory          = 1 << 30
	lineMemoryDivisor      = 4 // of the memory: a line is not held, but the names on it are
	valueLineDivisor       = 64
	minValueBytes          = 64 << 10 // also of a line
	endpointsMemoryDivisor = 2        // of the memory: near 0.6 of it in use, garbage collection would not rest

	// EndpointBytes is what an endpoint costs a node in memory, over all its parts, garbage included.
	EndpointBytes = 1500
)

// LimitsFor returns the limits for a node that may use so much memory, in bytes; 0: 1 GiB.
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

// TooLongError is the error of a list that exceeds the limits.
type TooLongError struct {
	Unit  string // "entries", "bytes of a line" or "bytes of one value"
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("a list longer than can be held: expected at most %d %s, got more", e.Limit, e.Unit)
}
