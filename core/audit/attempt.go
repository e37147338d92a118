package audit

import "turmericpulley/core/types"

// Attempt is one request with a request key, or one query that counts the key's effects, and its response.
type Attempt struct {
	RequestKey types.RequestKey
	Invoked    Moment
	Returned   Moment
	Response   Response
}

// Response is what the caller of an attempt received: Executed, Refused, NoResponse, AlreadyExecuted or EffectCount.
type Response interface{ response() }

// Executed means that the request ran, or that the recorded response of its first run was returned.
type Executed struct{ Value Value }

// Refused means that the response said that the attempt did not run.
type Refused struct{}

// NoResponse means that the caller received no response.
type NoResponse struct{}

// AlreadyExecuted means that a request with the key ran before; the response carries no value.
type AlreadyExecuted struct{}

// EffectCount is the number of effects of the key that a read at the primary found.
type EffectCount struct{ Effects int }

func (Executed) response()        {}
func (Refused) response()         {}
func (NoResponse) response()      {}
func (AlreadyExecuted) response() {}
func (EffectCount) response()     {}
