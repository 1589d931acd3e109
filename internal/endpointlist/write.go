package endpointlist

// This file owns the form of a list that is written. It must never write what Next does not read.

import "encoding/json"

// line is an entry as it is written.
type line struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

func lineOf(e Entry) line {
	return line{e.Name, e.Address, e.Zone, e.Pod, e.State, e.Weight, e.StartedMs}
}

// Encode is a whole list in discovery's form; nothing where it can't be written, which is what a plain start begins with.
func Encode(version int64, entries []Entry) []byte {
	list := struct {
		Version int64  `json:"seq"`
		Whole   bool   `json:"whole"`
		Entries []line `json:"hosts"`
	}{version, true, make([]line, len(entries))}
	for i, e := range entries {
		list.Entries[i] = lineOf(e)
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil
	}
	return text
}

// EncodeEntry is one entry in discovery's form.
func EncodeEntry(e Entry) ([]byte, error) { return json.Marshal(lineOf(e)) }
