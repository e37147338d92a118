package class_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/class"
)

func TestWriteSetIsBoundedAndKeepsTheNewest(t *testing.T) {
	w := class.NewWriteSet()
	const added = 100_000
	for statement := uint64(1); statement <= added; statement++ {
		w.Add(statement)
		require.True(t, w.Contains(statement))
	}
	kept := 0
	for statement := uint64(1); statement <= added; statement++ {
		if w.Contains(statement) {
			kept++
		}
	}
	require.LessOrEqual(t, kept, 8192)
	require.GreaterOrEqual(t, kept, 4096)
	w.Add(0)
	require.False(t, w.Contains(0), "a statement without a hash is not added")
}
