package audit

import (
	"fmt"

	"turmericpulley/core/types"
)

// Violation names the way in which a guarantee is broken.
type Violation string

const (
	// LostWrite reports an acknowledged write that is missing from the final state.
	LostWrite Violation = "lostWrite"
	// DoubledWrite reports a write that took effect more often than allowed.
	DoubledWrite Violation = "doubledWrite"
	// FalseRefusal reports a write that took effect although its response said that it did not.
	FalseRefusal Violation = "falseRefusal"
	// StaleRead reports a read that returned less than its session had written or read before.
	StaleRead Violation = "staleRead"
)

// Finding is one violation of a guarantee.
type Finding struct {
	Violation Violation         `json:"violation"`
	Row       Row               `json:"row"`
	Session   types.SessionName `json:"session,omitempty"`
	// Count is the number of writes or reads that the finding covers.
	Count  int    `json:"count"`
	Detail string `json:"detail"`
}

// String returns the finding as one human-readable line.
func (f Finding) String() string {
	return fmt.Sprintf("%s ×%d: row %s of %s, session %q: %s",
		f.Violation, f.Count, f.Row.Key, f.Row.Database, f.Session, f.Detail)
}
