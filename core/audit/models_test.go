package audit_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/audit"
)

func served(o audit.Operation, server audit.Server) audit.Operation {
	o.Server = server
	return o
}

func TestRegisterModel(t *testing.T) {
	write := at(1, audit.Write, order, 2)
	stale := at(2, audit.Read, order, 1)
	cases := map[string]struct {
		operations []audit.Operation
		legal      bool
	}{
		"own read of the write":             {[]audit.Operation{write, at(2, audit.Read, order, 2)}, true},
		"primary read misses the write":     {[]audit.Operation{write, by(stale, floor)}, false},
		"replica read of another session":   {[]audit.Operation{write, served(by(stale, floor), audit.Replica)}, true},
		"replica read of the only writer":   {[]audit.Operation{write, served(stale, audit.Replica)}, false},
		"unknown write seen, then not seen": {[]audit.Operation{with(write, audit.Unknown), at(2, audit.Read, order, 2), at(3, audit.Read, order, 1)}, false},
		"unknown write seen late":           {[]audit.Operation{with(write, audit.Unknown), stale, at(3, audit.Read, order, 2)}, true},
		"refused write seen":                {[]audit.Operation{with(write, audit.NotRun), at(2, audit.Read, order, 2)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.legal, audit.Linearizable(c.operations, valued(order, 1)))
		})
	}
}

// A sequential history is linearizable, and changing what one read returned is found.
func TestRegisterMutations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes := rapid.SliceOfN(rapid.Bool(), 2, 20).Draw(rt, "writes")
		var operations []audit.Operation
		var reads []int
		version := audit.Value(1)
		for i, isWrite := range writes {
			if isWrite {
				version++
				operations = append(operations, at(i, audit.Write, order, version))
				continue
			}
			reads = append(reads, i)
			operations = append(operations, at(i, audit.Read, order, version))
		}
		require.True(rt, audit.Linearizable(operations, valued(order, 1)))
		if len(reads) == 0 {
			return
		}
		operations[rapid.SampledFrom(reads).Draw(rt, "changed")].Value--
		require.False(rt, audit.Linearizable(operations, valued(order, 1)))
	})
}

func TestAtMostOnceModel(t *testing.T) {
	cases := map[string]struct {
		answers []audit.Answer
		legal   bool
	}{
		"repeat gets the first answer":      {[]audit.Answer{audit.Ran{Value: 7}, audit.Ran{Value: 7}, audit.Counted{Effects: 1}}, true},
		"repeat gets another answer":        {[]audit.Answer{audit.Ran{Value: 7}, audit.Ran{Value: 8}}, false},
		"two effects":                       {[]audit.Answer{audit.Ran{Value: 7}, audit.Counted{Effects: 2}}, false},
		"acknowledged without an effect":    {[]audit.Answer{audit.Ran{Value: 7}, audit.Counted{Effects: 0}}, false},
		"recorded before anything ran":      {[]audit.Answer{audit.Refused{}, audit.Recorded{}}, false},
		"refused, then counted":             {[]audit.Answer{audit.Refused{}, audit.Counted{Effects: 1}}, false},
		"lost, then recorded":               {[]audit.Answer{audit.Lost{}, audit.Recorded{}, audit.Counted{Effects: 1}}, true},
		"lost and never ran":                {[]audit.Answer{audit.Lost{}, audit.Counted{Effects: 0}}, true},
		"lost, then its effect disappeared": {[]audit.Answer{audit.Lost{}, audit.Counted{Effects: 1}, audit.Counted{Effects: 0}}, false},
		"lost, then the first answer":       {[]audit.Answer{audit.Lost{}, audit.Ran{Value: 7}, audit.Counted{Effects: 1}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			attempts := make([]audit.Attempt, 0, len(c.answers))
			for i, answer := range c.answers {
				attempts = append(attempts, audit.Attempt{
					RequestKey: "refund-1", Answer: answer,
					Invoked: audit.Moment(10 * i), Returned: audit.Moment(10*i + 5),
				})
			}
			require.Equal(t, c.legal, audit.AtMostOnce(attempts))
		})
	}
}
