package reads_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/reads"
	"turmericpulley/core/types"
)

// TestFloorsNeverForgetTooMuch compares with a model that forgets nothing: whatever a session saw, its floor covers it, and
// no floor is above all that was seen or applied.
func TestFloorsNeverForgetTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floors := reads.NewMinPositions(0)
		seen := map[reads.Session]types.Position{}
		var base types.Position
		draw := func() (reads.Session, types.Position) {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "session"))
			return reads.Session{Customer: "c", Name: types.SessionName(name)},
				types.Position(rapid.Uint64Range(0, 50).Draw(t, "position"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"note": func(*rapid.T) {
				s, p := draw()
				floors.Record(s, p)
				seen[s] = max(seen[s], p)
			},
			"applied": func(*rapid.T) {
				_, p := draw()
				floors.RecordApplied(p)
				base = max(base, p)
			},
			"": func(*rapid.T) {
				above := 0
				for s, p := range seen {
					require.Equal(t, max(p, base), floors.For(s))
					if p > base {
						above++
					}
				}
				require.Equal(t, above, floors.Len())
			},
		})
	})
}
