package owner

import (
	"turmericpulley/core/policy"
)

// member is one member of the database with its owner's connection pool.
type member struct {
	info policy.Member
	pool *pool
}
