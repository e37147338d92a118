package check_test

import (
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

// printAddresses makes TestAddressesOfTestProcessesDiffer print addresses instead of starting further test processes.
const printAddresses = "TURMERICPULLEY_TEST_PRINT_ADDRESSES"

// TestAddressesOfTestProcessesDiffer lets several test processes reserve addresses at the same time. None of them listens on an
// address yet while the others choose theirs.
func TestAddressesOfTestProcessesDiffer(t *testing.T) {
	const (
		processes = 6
		count     = 400
	)
	if os.Getenv(printAddresses) != "" {
		t.Log("addresses " + strings.Join(check.NewAddresses(t, count), ","))
		return
	}
	outputs := make([]string, processes)
	var running sync.WaitGroup
	for i := range processes {
		running.Go(func() {
			command := exec.Command(os.Args[0], "-test.v", "-test.run=^"+t.Name()+"$")
			command.Env = append(os.Environ(), printAddresses+"=1")
			output, err := command.CombinedOutput()
			if err == nil {
				outputs[i] = string(output)
			}
		})
	}
	running.Wait()
	var all []string
	for _, output := range outputs {
		_, rest, found := strings.Cut(output, "addresses ")
		require.True(t, found, output)
		line, _, _ := strings.Cut(rest, "\n")
		all = append(all, strings.Split(line, ",")...)
	}
	require.Len(t, all, processes*count)
	slices.Sort(all)
	require.Len(t, slices.Compact(all), processes*count)
}
