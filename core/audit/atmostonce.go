package audit

import (
	"math"

	"github.com/anishathalye/porcupine"

	"turmericpulley/core/types"
)

// AtMostOnce reports whether the responses are possible if the request of each key ran at most once and every response that
// carries its value carries the same one.
func AtMostOnce(attempts []Attempt) bool {
	groups := map[types.RequestKey][]porcupine.Operation{}
	for _, a := range attempts {
		group := groups[a.RequestKey]
		groups[a.RequestKey] = append(group, porcupine.Operation{
			ClientId: len(group), Input: a, Call: int64(a.Invoked), Return: int64(a.latestEffect()),
		})
	}
	for _, group := range groups {
		if !porcupine.CheckOperations(requestKeyModel(), group) {
			return false
		}
	}
	return true
}

// requestKeyModel returns the model of one request key.
func requestKeyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, _ any) []any {
			return input.(Attempt).step(state.(keyState))
		},
	}
	return model.ToModel()
}

// step returns the states that are possible after the attempt and its response; none if the response is not allowed.
func (a Attempt) step(s keyState) []any {
	switch response := a.Response.(type) {
	case Executed:
		return s.executedWith(response.Value)
	case NoResponse:
		return []any{s, s.executedWithoutResponse()}
	case Refused:
		return []any{s}
	case AlreadyExecuted:
		return s.unchangedIf(s.executed)
	case EffectCount:
		return s.unchangedIf(response.Effects == s.effectCount())
	default:
		return nil
	}
}

// latestEffect returns the latest moment at which the attempt may have taken effect; without a response there is no bound.
func (a Attempt) latestEffect() Moment {
	if _, missing := a.Response.(NoResponse); missing {
		return Moment(math.MaxInt64)
	}
	return a.Returned
}
