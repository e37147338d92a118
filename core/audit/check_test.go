package audit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/audit"
)

const (
	firstSession  = "session-1"
	secondSession = "session-2"
)

var (
	order = audit.Row{Database: "orders-1", Key: "order:1"}
	till  = audit.Row{Database: "orders-1", Key: "till:1"}
)

// operationAt returns an acknowledged operation of the first session that starts at 10*moment ns and takes 5 ns. Operations
// of successive moments don't overlap.
func operationAt(moment int, kind audit.Kind, row audit.Row, value audit.Value) audit.Operation {
	return audit.Operation{
		Session: firstSession, Row: row, Kind: kind, Value: value, Outcome: audit.Acknowledged, ServedBy: audit.Primary,
		Invoked: audit.Moment(10 * moment), Returned: audit.Moment(10*moment + 5),
	}
}

func withOutcome(o audit.Operation, outcome audit.Outcome) audit.Operation {
	o.Outcome = outcome
	return o
}

func withSession(o audit.Operation, session string) audit.Operation {
	o.Session = "session-2"
	if session == firstSession {
		o.Session = firstSession
	}
	return o
}

func stateWithRows(rows ...audit.Row) audit.State {
	s := audit.NewState()
	for _, row := range rows {
		s.AddRow(row, 1)
	}
	return s
}

func stateWithValue(row audit.Row, value audit.Value) audit.State {
	s := audit.NewState()
	s.AddRow(row, value)
	return s
}

func TestCheckReportsEachViolation(t *testing.T) {
	insert := operationAt(1, audit.Insert, order, 1)
	add := operationAt(1, audit.Increment, till, 1)
	cases := map[string]struct {
		operations []audit.Operation
		final      audit.State
		violation  audit.Violation
	}{
		"acknowledged insert missing":     {[]audit.Operation{insert}, stateWithRows(), audit.LostWrite},
		"id found twice":                  {[]audit.Operation{insert}, stateWithRows(order, order), audit.DoubledWrite},
		"id acknowledged twice":           {[]audit.Operation{insert, operationAt(2, audit.Insert, order, 1)}, stateWithRows(order), audit.DoubledWrite},
		"refused insert present":          {[]audit.Operation{withOutcome(insert, audit.NotRun)}, stateWithRows(order), audit.FalseRefusal},
		"failed insert present":           {[]audit.Operation{withOutcome(insert, audit.Failed)}, stateWithRows(order), audit.FalseRefusal},
		"acknowledged version missing":    {[]audit.Operation{operationAt(1, audit.Write, order, 3)}, stateWithValue(order, 2), audit.LostWrite},
		"refused version present":         {[]audit.Operation{withOutcome(operationAt(1, audit.Write, order, 3), audit.NotRun)}, stateWithValue(order, 3), audit.FalseRefusal},
		"acknowledged increment missing":  {[]audit.Operation{add, operationAt(2, audit.Increment, till, 1)}, stateWithValue(till, 1), audit.LostWrite},
		"increment run twice":             {[]audit.Operation{add}, stateWithValue(till, 2), audit.DoubledWrite},
		"unknown increment run twice":     {[]audit.Operation{withOutcome(add, audit.Unknown)}, stateWithValue(till, 2), audit.DoubledWrite},
		"refused increment run":           {[]audit.Operation{withOutcome(add, audit.NotRun)}, stateWithValue(till, 1), audit.DoubledWrite},
		"counter read too high":           {[]audit.Operation{add, operationAt(2, audit.Read, till, 2)}, stateWithValue(till, 1), audit.DoubledWrite},
		"read misses own insert":          {[]audit.Operation{insert, operationAt(2, audit.Read, order, 0)}, stateWithRows(order), audit.StaleRead},
		"read misses own increment":       {[]audit.Operation{add, operationAt(2, audit.Read, till, 0)}, stateWithValue(till, 1), audit.StaleRead},
		"read goes back":                  {[]audit.Operation{operationAt(1, audit.Read, order, 4), operationAt(2, audit.Read, order, 3)}, stateWithValue(order, 4), audit.StaleRead},
		"read misses own earlier version": {[]audit.Operation{operationAt(1, audit.Write, order, 4), operationAt(2, audit.Read, order, 3)}, stateWithValue(order, 4), audit.StaleRead},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := audit.Check(c.operations, audit.NewState(), c.final)
			require.Len(t, result.Findings, 1)
			require.Equal(t, c.violation, result.Findings[0].Violation)
			require.Equal(t, 1, result.LostWrites+result.DoubledWrites+result.FalseRefusals+result.StaleReads)
			require.NotEmpty(t, result.Findings[0].String())
		})
	}
}

func TestCheckAcceptsPermittedHistories(t *testing.T) {
	concurrent := operationAt(1, audit.Read, order, 0)
	cases := map[string]struct {
		operations []audit.Operation
		final      audit.State
	}{
		"unknown insert missing":         {[]audit.Operation{withOutcome(operationAt(1, audit.Insert, order, 1), audit.Unknown)}, stateWithRows()},
		"unknown insert present":         {[]audit.Operation{withOutcome(operationAt(1, audit.Insert, order, 1), audit.Unknown)}, stateWithRows(order)},
		"refused, then acknowledged":     {[]audit.Operation{withOutcome(operationAt(1, audit.Insert, order, 1), audit.NotRun), operationAt(2, audit.Insert, order, 1)}, stateWithRows(order)},
		"read during the insert":         {[]audit.Operation{operationAt(1, audit.Insert, order, 1), concurrent}, stateWithRows(order)},
		"another session reads old data": {[]audit.Operation{operationAt(1, audit.Insert, order, 1), withSession(operationAt(2, audit.Read, order, 0), secondSession)}, stateWithRows(order)},
		"unknown increment present":      {[]audit.Operation{withOutcome(operationAt(1, audit.Increment, till, 1), audit.Unknown)}, stateWithValue(till, 1)},
		"read of an unknown increment":   {[]audit.Operation{withOutcome(operationAt(1, audit.Increment, till, 1), audit.Unknown), operationAt(2, audit.Read, till, 1)}, stateWithValue(till, 1)},
		"failed read is not compared":    {[]audit.Operation{operationAt(1, audit.Insert, order, 1), withOutcome(operationAt(2, audit.Read, order, 0), audit.Failed)}, stateWithRows(order)},
		"version above acknowledged one": {[]audit.Operation{operationAt(1, audit.Write, order, 2), operationAt(2, audit.Write, order, 3)}, stateWithValue(order, 3)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, audit.Check(c.operations, audit.NewState(), c.final).Findings)
		})
	}
}

// A final value that the outcomes allow is accepted. A value one below or one above the allowed range is reported.
func TestCheckReportsCounterOutsideAllowedRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom(audit.Outcomes()), 1, 30).Draw(rt, "outcomes")
		ran := rapid.SliceOfN(rapid.Bool(), len(outcomes), len(outcomes)).Draw(rt, "ran")
		operations := make([]audit.Operation, 0, len(outcomes))
		var count, acknowledged, unknown audit.Value
		for i, outcome := range outcomes {
			operations = append(operations, withOutcome(operationAt(i, audit.Increment, till, 1), outcome))
			switch outcome {
			case audit.Acknowledged:
				acknowledged++
				count++
			case audit.Unknown:
				unknown++
				if ran[i] {
					count++
				}
			case audit.NotRun, audit.Failed:
			}
		}
		require.Empty(rt, audit.Check(operations, audit.NewState(), stateWithValue(till, count)).Findings)
		lost := audit.Check(operations, audit.NewState(), stateWithValue(till, acknowledged-1))
		require.Equal(rt, 1, lost.LostWrites)
		doubled := audit.Check(operations, audit.NewState(), stateWithValue(till, acknowledged+unknown+1))
		require.Equal(rt, 1, doubled.DoubledWrites)
	})
}

func TestHistoryOrdersOperationsByStart(t *testing.T) {
	h := audit.NewHistory()
	require.Less(t, h.Now(), audit.Moment(time.Minute))
	h.Add(operationAt(2, audit.Read, order, 1), operationAt(1, audit.Insert, order, 1))
	operations := h.Operations()
	require.Equal(t, audit.Insert, operations[0].Kind)
	require.Equal(t, 10*time.Nanosecond, operations[1].Invoked.Sub(operations[0].Invoked))
}

func TestSQLStateReturnsOutcomeOfEachCode(t *testing.T) {
	for _, code := range []audit.SQLState{"57P03", "53300", "53400", "28000", "3D000", "08P01"} {
		require.Equal(t, audit.NotRun, code.Outcome(), code)
	}
	for _, code := range []audit.SQLState{"08007", "08006", "57P01", "57014"} {
		require.Equal(t, audit.Unknown, code.Outcome(), code)
	}
	for _, code := range []audit.SQLState{"23505", "25006", "40001", "42601"} {
		require.Equal(t, audit.Failed, code.Outcome(), code)
	}
}

// A transaction with an unknown outcome writes a version and increments a counter. If the final state holds the version,
// it must hold the increment too, and the other way round.
func TestCheckReportsPartlyAppliedTransactions(t *testing.T) {
	transaction := func() []audit.Operation {
		write, add := withOutcome(operationAt(1, audit.Write, order, 2), audit.Unknown), withOutcome(operationAt(1, audit.Increment, till, 1), audit.Unknown)
		write.Transaction, add.Transaction = 9, 9
		return []audit.Operation{write, add}
	}
	for name, c := range map[string]struct {
		version, count audit.Value
		lost, doubled  int
	}{
		"whole":          {version: 2, count: 1},
		"absent":         {version: 1, count: 0},
		"only version":   {version: 2, count: 0, lost: 1},
		"only increment": {version: 1, count: 1, doubled: 1},
	} {
		t.Run(name, func(t *testing.T) {
			final := audit.NewState()
			final.AddRow(order, c.version)
			final.AddRow(till, c.count)
			result := audit.Check(transaction(), audit.NewState(), final)
			require.Equal(t, c.lost, result.LostWrites)
			require.Equal(t, c.doubled, result.DoubledWrites)
		})
	}
}
