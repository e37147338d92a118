package reads_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/reads"
	"turmericpulley/core/types"
)

// TestMinPositionsCoverWhatSessionsSaw compares with a model that removes nothing: the minimum position of a session covers all
// that it saw, and is not above what was seen or applied.
func TestMinPositionsCoverWhatSessionsSaw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minPositions := reads.NewMinPositions(0)
		seen := map[reads.Session]types.Position{}
		var base types.Position
		draw := func() (reads.Session, types.Position) {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "session"))
			return reads.Session{Customer: "c", Name: types.SessionName(name)},
				types.Position(rapid.Uint64Range(0, 50).Draw(t, "position"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"record": func(*rapid.T) {
				s, p := draw()
				minPositions.Record(s, p)
				seen[s] = max(seen[s], p)
			},
			"applied": func(*rapid.T) {
				_, p := draw()
				minPositions.RecordApplied(p)
				base = max(base, p)
			},
			"": func(*rapid.T) {
				aboveBase := 0
				for s, p := range seen {
					require.Equal(t, max(p, base), minPositions.For(s))
					if p > base {
						aboveBase++
					}
				}
				require.Equal(t, aboveBase, minPositions.Len())
			},
		})
	})
}
