package load

import (
	"fmt"
	"math/rand/v2"
)

// runID distinguishes the rows of one run from those of other runs.
type runID string

// newRunID returns a random id that does not depend on the seed, so that runs with the same seed get different rows.
func newRunID() runID { return runID(fmt.Sprintf("r%08x", rand.Uint32())) }

// counterID returns the id of the n-th stock or till row.
func (r runID) counterID(n int) string { return fmt.Sprintf("%s-c%d", r, n) }

// likePattern returns a LIKE pattern that matches the ids of all rows of the run.
func (r runID) likePattern() string { return string(r) + "-%" }
