package check_test

import (
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

func TestServeAcceptsSeveralLinkFlags(t *testing.T) {
	command := exec.Command(check.Program(t), "serve", "--check",
		"--id", "i1", "--region", "slo-central", "--data-centre", "slo-a", "--platform", "http://127.0.0.1:1",
		"--callers-address", "127.0.0.1:2", "--peers-address", "127.0.0.1:3", "--http-address", "127.0.0.1:4",
		"--link", "127.0.0.1:5=127.0.0.1:6", "--link", "127.0.0.1:7=127.0.0.1:8")
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
}
