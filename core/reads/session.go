package reads

import "turmericpulley/core/types"

// Session identifies a caller's session.
type Session struct {
	Customer types.CustomerID
	Name     types.SessionName
}
