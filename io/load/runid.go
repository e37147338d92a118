package load

import (
	"fmt"
	"math/rand/v2"
)

// runID distinguishes the rows of one run from those of others.
type runID string

// newRunID returns an id that no other run has; it does not depend on the seed.
func newRunID() runID { return runID(fmt.Sprintf("r%08x", rand.Uint32())) }

// counterID returns the id of a stock or till row.
func (r runID) counterID(n int) string { return fmt.Sprintf("%s-c%d", r, n) }

// likePattern matches the ids of all rows of the run.
func (r runID) likePattern() string { return string(r) + "-%" }
