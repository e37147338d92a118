package fakekv

// Calls counts the calls since the start; a waiting call counts as a read too.
type Calls struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	LongPolls int64 `json:"waiting"`
}
