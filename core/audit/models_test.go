package audit_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/audit"
)

func withRole(o audit.Operation, role audit.MemberRole) audit.Operation {
	o.ServedBy = role
	return o
}

func TestLinearizableAcceptsOnlyPossibleReads(t *testing.T) {
	write := operationAt(1, audit.Write, order, 2)
	stale := operationAt(2, audit.Read, order, 1)
	cases := map[string]struct {
		operations []audit.Operation
		legal      bool
	}{
		"own read of the write":             {[]audit.Operation{write, operationAt(2, audit.Read, order, 2)}, true},
		"primary read misses the write":     {[]audit.Operation{write, withSession(stale, secondSession)}, false},
		"replica read of another session":   {[]audit.Operation{write, withRole(withSession(stale, secondSession), audit.Replica)}, true},
		"replica read of the only writer":   {[]audit.Operation{write, withRole(stale, audit.Replica)}, false},
		"unknown write seen, then not seen": {[]audit.Operation{withOutcome(write, audit.Unknown), operationAt(2, audit.Read, order, 2), operationAt(3, audit.Read, order, 1)}, false},
		"unknown write seen late":           {[]audit.Operation{withOutcome(write, audit.Unknown), stale, operationAt(3, audit.Read, order, 2)}, true},
		"refused write seen":                {[]audit.Operation{withOutcome(write, audit.NotRun), operationAt(2, audit.Read, order, 2)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.legal, audit.Linearizable(c.operations, stateWithValue(order, 1)))
		})
	}
}

// A sequential history is linearizable. It is no longer linearizable after the value of one read is changed.
func TestLinearizableRejectsOneChangedRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes := rapid.SliceOfN(rapid.Bool(), 2, 20).Draw(rt, "writes")
		var operations []audit.Operation
		var reads []int
		version := audit.Value(1)
		for i, isWrite := range writes {
			if isWrite {
				version++
				operations = append(operations, operationAt(i, audit.Write, order, version))
				continue
			}
			reads = append(reads, i)
			operations = append(operations, operationAt(i, audit.Read, order, version))
		}
		require.True(rt, audit.Linearizable(operations, stateWithValue(order, 1)))
		if len(reads) == 0 {
			return
		}
		operations[rapid.SampledFrom(reads).Draw(rt, "changed")].Value--
		require.False(rt, audit.Linearizable(operations, stateWithValue(order, 1)))
	})
}

func TestAtMostOnceAcceptsOnlyPossibleResponses(t *testing.T) {
	cases := map[string]struct {
		responses []audit.Response
		legal     bool
	}{
		"retry gets the first response":            {[]audit.Response{audit.Executed{Value: 7}, audit.Executed{Value: 7}, audit.EffectCount{Effects: 1}}, true},
		"retry gets another response":              {[]audit.Response{audit.Executed{Value: 7}, audit.Executed{Value: 8}}, false},
		"two effects":                              {[]audit.Response{audit.Executed{Value: 7}, audit.EffectCount{Effects: 2}}, false},
		"acknowledged without an effect":           {[]audit.Response{audit.Executed{Value: 7}, audit.EffectCount{Effects: 0}}, false},
		"already executed before any run":          {[]audit.Response{audit.Refused{}, audit.AlreadyExecuted{}}, false},
		"refused, then one effect":                 {[]audit.Response{audit.Refused{}, audit.EffectCount{Effects: 1}}, false},
		"no response, then already executed":       {[]audit.Response{audit.NoResponse{}, audit.AlreadyExecuted{}, audit.EffectCount{Effects: 1}}, true},
		"no response and never ran":                {[]audit.Response{audit.NoResponse{}, audit.EffectCount{Effects: 0}}, true},
		"no response, then its effect disappeared": {[]audit.Response{audit.NoResponse{}, audit.EffectCount{Effects: 1}, audit.EffectCount{Effects: 0}}, false},
		"no response, then the first response":     {[]audit.Response{audit.NoResponse{}, audit.Executed{Value: 7}, audit.EffectCount{Effects: 1}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			attempts := make([]audit.Attempt, 0, len(c.responses))
			for i, response := range c.responses {
				attempts = append(attempts, audit.Attempt{
					RequestKey: "refund-1", Response: response,
					Invoked: audit.Moment(10 * i), Returned: audit.Moment(10*i + 5),
				})
			}
			require.Equal(t, c.legal, audit.AtMostOnce(attempts))
		})
	}
}
