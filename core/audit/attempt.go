package audit

import "turmericpulley/core/types"

// Attempt is one request under a request key, or one count of the key's effects, with its answer.
type Attempt struct {
	RequestKey types.RequestKey
	Invoked    Moment
	Returned   Moment
	Answer     Answer
}

// Answer is what the caller of an attempt was told: Ran, Refused, Lost, Recorded or Counted.
type Answer interface{ answer() }

// Ran is the answer of a request that ran, or the recorded answer of its first run.
type Ran struct{ Value Value }

// Refused is the answer of an attempt that did not run.
type Refused struct{}

// Lost is the answer that never came.
type Lost struct{}

// Recorded says that a request with the key ran before.
type Recorded struct{}

// Counted is how many effects of the key a read at the primary found.
type Counted struct{ Effects int }

func (Ran) answer()      {}
func (Refused) answer()  {}
func (Lost) answer()     {}
func (Recorded) answer() {}
func (Counted) answer()  {}
