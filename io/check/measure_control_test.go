//go:build measure

package check_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

const idleDuration = 30 * time.Second

// TestMeasureIdleFleet logs the CPU time, memory, store calls and monitor calls of a fleet without callers, for several
// numbers of databases.
func TestMeasureIdleFleet(t *testing.T) {
	for _, databases := range []int{1, 3, 12} {
		t.Run(strconv.Itoa(databases), func(t *testing.T) {
			s := sencnik()
			s.layout.Databases = databases
			measureIdle(t, s.startFleet(t), s)
		})
	}
}

// TestMeasureOneInstance logs the same values as TestMeasureIdleFleet for one instance that owns every database.
func TestMeasureOneInstance(t *testing.T) {
	for _, databases := range []int{1, 12} {
		t.Run(strconv.Itoa(databases), func(t *testing.T) {
			s := sencnik()
			s.layout.Instances, s.layout.Databases = 1, databases
			measureIdle(t, s.startFleet(t), s)
		})
	}
}

func measureIdle(t *testing.T, f *check.Fleet, s deployment) {
	t.Helper()
	callsBefore, cpuBefore, monitorCallsBefore := f.Platform.Calls(), totalCPUTime(t, f), metricSum(t, f, "owner_monitor_calls")
	time.Sleep(idleDuration)
	calls := f.Platform.Calls()
	resident := int64(0)
	for _, i := range f.Instances {
		usage, err := i.Usage()
		require.NoError(t, err)
		resident += usage.ResidentBytes
	}
	instances, seconds := float64(len(f.Instances)), idleDuration.Seconds()
	t.Logf("IDLE %d instances, %d databases, %.0f s | processor %.2f %% of a core per instance | resident %.1f MB per instance | "+
		"store reads %d, writes %d, long polls among the reads %d | monitor calls %.1f/s per database",
		len(f.Instances), s.layout.Databases, seconds, (totalCPUTime(t, f)-cpuBefore).Seconds()/instances/seconds*100,
		float64(resident)/instances/1e6, calls.Reads-callsBefore.Reads, calls.Writes-callsBefore.Writes,
		calls.LongPolls-callsBefore.LongPolls,
		(metricSum(t, f, "owner_monitor_calls")-monitorCallsBefore)/seconds/float64(s.layout.Databases))
}

// metricSum returns the sum of a counter over all instances and labels.
func metricSum(t *testing.T, f *check.Fleet, name string) float64 {
	t.Helper()
	line := regexp.MustCompile(`^\w*` + name + `\w*(\{.*\})? (\S+)$`)
	total := 0.0
	for _, i := range f.Instances {
		response, err := http.Get("http://" + i.HTTPAddress + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		for l := range strings.Lines(string(text)) {
			if match := line.FindStringSubmatch(strings.TrimSpace(l)); match != nil {
				value, err := strconv.ParseFloat(match[2], 64)
				require.NoError(t, err)
				total += value
			}
		}
	}
	return total
}
