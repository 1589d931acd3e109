package distribution

// Stats are counters since the start, and figures of what is held now.
type Stats struct {
	// What is held now.
	Epoch       uint64 `json:"Epoch"`
	Through     uint64 `json:"Through"` // the position; of a relay the one that it claims to subscribers
	Complete    bool   `json:"Whole"`   // all that is followed has been received to its end
	Records     int    `json:"Records"` // without Tombstones
	Tombstones  int    `json:"Tombstones"`
	Scopes      int    `json:"Scopes"`
	Bytes       int    `json:"Bytes"` // of names, keys and bodies
	Subscribers int    `json:"Subscribers"`
	Selectors   int    `json:"Selectors"` // of a relay's subscribers
	Floor       uint64 `json:"Floor"`     // subscribers below this version get a snapshot

	// Frames received and sent.
	Frames       int64 `json:"Frames"`
	FrameBytes   int64 `json:"FrameBytes"` // received
	Sent         int64 `json:"Sent"`
	SentBytes    int64 `json:"SentBytes"`
	SentRecords  int64 `json:"SentRecords"` // by a relay
	SentKeysOnly int64 `json:"SentNames"`   // of SentRecords, those without a body, as the subscriber held it
	Resumed      int64 `json:"Resumed"`     // selectors that were resumed with a delta
	Snapshots    int64 `json:"Anew"`        // selectors that were sent a snapshot

	// Records received.
	Applied  int64 `json:"Applied"`  // newer than what was held
	Repeated int64 `json:"Repeated"` // the same as what was held
	Stale    int64 `json:"Stale"`    // older than what was known
	Swept    int64 `json:"Swept"`    // deleted, as a snapshot came without them

	// What could not be used.
	InvalidRecords int64  `json:"Spoilt"`     // records skipped as they could not be decoded
	ForeignRecords int64  `json:"Foreign"`    // records of scopes that are not followed
	StaleFrames    int64  `json:"OldFrames"`  // frames of another session or an older epoch
	RefusedHellos  int64  `json:"Refused"`    // of subscribers
	LastInvalid    string `json:"LastSpoilt"` // describes the last of InvalidRecords
}
