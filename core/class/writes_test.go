package class_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/class"
)

func TestWritesAreBoundedAndKeepTheNewest(t *testing.T) {
	w := class.NewWriteSet()
	const learned = 100_000
	for statement := uint64(1); statement <= learned; statement++ {
		w.Add(statement)
		require.True(t, w.Contains(statement))
	}
	kept := 0
	for statement := uint64(1); statement <= learned; statement++ {
		if w.Contains(statement) {
			kept++
		}
	}
	require.LessOrEqual(t, kept, 8192)
	require.GreaterOrEqual(t, kept, 4096)
	w.Add(0)
	require.False(t, w.Contains(0), "a statement without a hash is not learned")
}
