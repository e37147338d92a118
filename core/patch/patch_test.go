package patch_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/patch"
)

const limit = 4 << 20

// document returns a document with the version and a route for each name.
func document(version int, names ...string) []byte {
	routes := make([]string, 0, len(names))
	for _, name := range names {
		routes = append(routes, fmt.Sprintf(`{"database":%q,"type":"primary","timeoutMs":800,"targetLatencyMs":200}`, name))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"limits":{}}`, version, strings.Join(routes, ",")))
}

func TestPatchOfOneChangedRouteIsSmall(t *testing.T) {
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprintf("route%d", i)
	}
	base := document(1, names...)
	for name, next := range map[string][]string{
		"changed": append(append([]string{"other"}, names[:2000]...), names[2001:]...),
		"added":   append([]string{"new"}, names...),
		"removed": names[1:],
		"moved":   append(append([]string{}, names[2500:]...), names[:2500]...),
	} {
		t.Run(name, func(t *testing.T) {
			target := document(2, next...)
			change, worth := patch.Make(base, target)
			require.True(t, worth)
			require.Less(t, len(change), 500)
			patched, err := patch.Apply(base, change, limit)
			require.NoError(t, err)
			require.Equal(t, target, patched)
		})
	}
}

func TestPatchTurnsAnyDocumentIntoAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab{}]{0,40}`)
		base, target, other := []byte(text.Draw(t, "base")), []byte(text.Draw(t, "target")), []byte(text.Draw(t, "other"))
		change, _ := patch.Make(base, target)
		patched, err := patch.Apply(base, change, limit)
		require.NoError(t, err)
		require.Equal(t, string(target), string(patched))
		if patched, err = patch.Apply(other, change, limit); err == nil {
			require.Equal(t, string(target), string(patched), "a patch that fits another base by chance gives the same")
		}
		if len(target) > 0 {
			_, err = patch.Apply(base, change, len(target)-1)
			require.ErrorIs(t, err, patch.ErrMismatch, "larger than the limit")
		}
	})
}

func FuzzDamagedPatchIsRefused(f *testing.F) {
	base := document(1, "a", "b")
	change, _ := patch.Make(base, document(2, "b", "c"))
	f.Add(change)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, change []byte) {
		if patched, err := patch.Apply(base, change, 1000); err == nil {
			require.LessOrEqual(t, len(patched), 1000)
		}
	})
}
