package reads

import "turmericpulley/core/types"

// Session identifies a caller's session by customer and name.
type Session struct {
	Customer types.AccountID
	Name     types.SessionName
}
