package cmd_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplainMergesSavedLogsOfTwoProcesses(t *testing.T) {
	receiver := writeFile(t, `{"@level":"info","@message":"request answered with an error","@timestamp":"2026-01-01T10:00:02Z","instance":"n1","request":"ab1","code":"overloaded"}
not a log line
{"@level":"info","@message":"request answered with an error","@timestamp":"2026-01-01T10:00:03Z","instance":"n1","request":"other"}
`)
	owner := writeFile(t, `  12.3 n2 {"@level":"info","@message":"request refused","@timestamp":"2026-01-01T10:00:01Z","instance":"n2","request":"ab1","waiting":17}
`)
	explained := execute("explain", "ab1", "--log="+receiver, "--log="+owner)
	require.Equal(t, 0, explained.code, explained.errOut)
	require.Regexp(t, `(?s)n2 +request refused +waiting 17\n.*n1 +request answered with an error +code overloaded`, explained.out)
	require.NotContains(t, explained.out, "10:00:03")
	require.Equal(t, 1, execute("explain", "zz", "--log="+receiver).code)
	require.NotEqual(t, 0, execute("explain", "zz", "--log=no-such-file").code)
}
