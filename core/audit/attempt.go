package audit

import "turmericpulley/core/types"

// Attempt is one request under a request key, or one count of the key's effects, with its answer.
type Attempt struct {
	RequestKey types.RequestKey
	Invoked    Moment
	Returned   Moment
	Response   Response
}

// Response is what the caller of an attempt was told: Ran, Refused, Lost, Recorded or Counted.
type Response interface{ response() }

// Executed is the answer of a request that ran, or the recorded answer of its first run.
type Executed struct{ Value Value }

// Refused is the answer of an attempt that did not run.
type Refused struct{}

// NoResponse is the answer that never came.
type NoResponse struct{}

// AlreadyExecuted says that a request with the key ran before.
type AlreadyExecuted struct{}

// EffectCount is how many effects of the key a read at the primary found.
type EffectCount struct{ Effects int }

func (Executed) response()        {}
func (Refused) response()         {}
func (NoResponse) response()      {}
func (AlreadyExecuted) response() {}
func (EffectCount) response()     {}
