package cmd_test

import (
	"os"
	"testing"

	"turmericpulley/io/check"
)

func TestMain(m *testing.M) {
	code := m.Run()
	check.Remove()
	os.Exit(code)
}
