package owner

import (
	"turmericpulley/core/policy"
)

// member is one copy of the database as its owner sees it.
type member struct {
	info policy.Member
	pool *pool
}
