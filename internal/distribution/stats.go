package distribution

// Stats are counters since the start, and the current state.
type Stats struct {
	// Current state.
	Epoch       uint64 `json:"Epoch"`
	Through     uint64 `json:"Through"` // the position; for a relay, the one that it advertises to subscribers
	Complete    bool   `json:"Whole"`   // all selected scopes have been received completely
	Records     int    `json:"Records"` // not including Tombstones
	Tombstones  int    `json:"Tombstones"`
	Scopes      int    `json:"Scopes"`
	Bytes       int    `json:"Bytes"` // total size of names, keys and bodies
	Subscribers int    `json:"Subscribers"`
	Selectors   int    `json:"Selectors"` // of a relay's subscribers
	Floor       uint64 `json:"Floor"`     // subscribers at a lower version get a snapshot

	// Frames received and sent.
	Frames       int64 `json:"Frames"`
	FrameBytes   int64 `json:"FrameBytes"` // bytes of the frames received
	Sent         int64 `json:"Sent"`
	SentBytes    int64 `json:"SentBytes"`
	SentRecords  int64 `json:"SentRecords"` // records sent by a relay
	SentKeysOnly int64 `json:"SentNames"`   // those of SentRecords sent without a body, as the subscriber held it
	Resumed      int64 `json:"Resumed"`     // selectors that were resumed with a delta
	Snapshots    int64 `json:"Anew"`        // selectors that were sent a snapshot

	// Records received.
	Applied  int64 `json:"Applied"`  // newer than the state held
	Repeated int64 `json:"Repeated"` // the same as the state held
	Stale    int64 `json:"Stale"`    // older than the state held or the position
	Swept    int64 `json:"Swept"`    // deleted, as a snapshot did not contain them

	// Input that was skipped or rejected.
	InvalidRecords int64  `json:"Spoilt"`     // records skipped as they could not be decoded
	ForeignRecords int64  `json:"Foreign"`    // records of scopes that are not selected
	StaleFrames    int64  `json:"OldFrames"`  // frames of another session or an older epoch
	RefusedHellos  int64  `json:"Refused"`    // hellos of subscribers that were rejected
	LastInvalid    string `json:"LastSpoilt"` // description of the last of InvalidRecords
}
