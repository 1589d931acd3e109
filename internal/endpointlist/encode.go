package endpointlist

import "encoding/json"

// Encode returns a complete list in discovery's format, or nil if an entry can't be encoded.
func Encode(version int64, entries []Entry) []byte {
	list := struct {
		Version  int64   `json:"seq"`
		Complete bool    `json:"whole"`
		Entries  []Entry `json:"hosts"`
	}{version, true, entries}
	if entries == nil {
		list.Entries = []Entry{} // an empty list, not null
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil
	}
	return text
}

// EncodeEntry returns one entry in discovery's format.
func EncodeEntry(e Entry) ([]byte, error) { return json.Marshal(e) }
