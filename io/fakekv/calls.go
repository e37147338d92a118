package fakekv

// Calls counts the calls received since the start. A long poll is a listing that may wait for a change; it counts as a
// read too.
type Calls struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	LongPolls int64 `json:"waiting"`
}
