package audit

import (
	"math"

	"github.com/anishathalye/porcupine"

	"turmericpulley/core/types"
)

// AtMostOnce reports whether every request key ran at most once and every repeat got the first answer.
func AtMostOnce(attempts []Attempt) bool {
	groups := map[types.RequestKey][]porcupine.Operation{}
	for _, a := range attempts {
		group := groups[a.RequestKey]
		groups[a.RequestKey] = append(group, porcupine.Operation{
			ClientId: len(group), Input: a, Call: int64(a.Invoked), Return: int64(a.end()),
		})
	}
	for _, group := range groups {
		if !porcupine.CheckOperations(onceModel(), group) {
			return false
		}
	}
	return true
}

// onceModel returns the model of one request key.
func onceModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, _ any) []any {
			return input.(Attempt).step(state.(keyState))
		},
	}
	return model.ToModel()
}

// step returns the states that the attempt and its answer may leave behind; none when the answer is not allowed.
func (a Attempt) step(s keyState) []any {
	switch answer := a.Answer.(type) {
	case Ran:
		return s.run(answer.Value)
	case Lost:
		return []any{s, s.runUnseen()}
	case Refused:
		return []any{s}
	case Recorded:
		return s.when(s.ran)
	case Counted:
		return s.when(answer.Effects == s.effects())
	default:
		return nil
	}
}

// end returns when the answer's effect was certain.
func (a Attempt) end() Moment {
	if _, lost := a.Answer.(Lost); lost {
		return Moment(math.MaxInt64)
	}
	return a.Returned
}
