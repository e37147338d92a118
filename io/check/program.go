package check

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// modulePath is the import path of the program's main package.
const modulePath = "turmericpulley"

// buildOnce builds the program once for each test run and returns its path.
var buildOnce = sync.OnceValues(buildProgram)

// Program returns the path of the built program.
func Program(tb testing.TB) string {
	tb.Helper()
	path, err := buildOnce()
	require.NoError(tb, err)
	return path
}

// RemoveProgram deletes the built program. TestMain calls it after the tests.
func RemoveProgram() {
	if path, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

func buildProgram() (string, error) {
	directory, err := os.MkdirTemp("", "turmericpulley-check-")
	if err != nil {
		return "", errors.Wrap(err, "creating a directory for the program")
	}
	path := filepath.Join(directory, "turmericpulley")
	arguments := append([]string{"build"}, raceArguments...)
	output, err := exec.Command("go", append(arguments, "-o", path, modulePath)...).CombinedOutput()
	return path, errors.Wrapf(err, "building the program: %s", output)
}
