package routes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/routes"
)

func TestOnlyNewerConfigurationIsAccepted(t *testing.T) {
	c := routes.NewCurrentTable()
	changed := c.Changed()
	require.Nil(t, c.Table())
	require.True(t, c.UpdateIfNewer(&routes.Table{Version: 7}))
	<-changed
	require.False(t, c.UpdateIfNewer(&routes.Table{Version: 7}))
	require.False(t, c.UpdateIfNewer(&routes.Table{Version: 3}))
	require.Equal(t, routes.Version(7), c.Table().Version)
}
