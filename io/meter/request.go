package meter

import (
	"time"

	"turmericpulley/core/types"
)

// Request holds the data that is recorded for a finished request.
type Request struct {
	Customer types.AccountID
	Class    Class
	// Elapsed is the time from the request's arrival to the last byte of its response.
	Elapsed time.Duration
}
