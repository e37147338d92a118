package check

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// SeedVariable is the environment variable that sets the seed of tests with random faults.
const SeedVariable = "TURMERICPULLEY_CHECK_SEED"

// Seeds returns the seed from the environment variable if it is set, else the fixed seeds.
func Seeds(tb testing.TB, fixed ...uint64) []uint64 {
	tb.Helper()
	text := os.Getenv(SeedVariable)
	if text == "" {
		return fixed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	require.NoError(tb, err, "%s must be a number", SeedVariable)
	return []uint64{seed}
}
