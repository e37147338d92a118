package audit

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// Linearizable reports whether the history of every row is linearizable as that of a register.
//
// Rows with increments are left out; Check covers them. The check includes a read if the primary served it, or if its
// session is the row's only writer, which must see its own writes whichever member serves the read.
func Linearizable(operations []Operation, initial State) bool {
	for _, h := range splitByRow(operations) {
		model := registerModel(initial.Values[h.row])
		if !porcupine.CheckOperations(model, h.registerOperations()) {
			return false
		}
	}
	return true
}

// registerModel returns the model of a register that starts with a value.
func registerModel(start Value) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return start },
		Step: func(state, input, _ any) (bool, any) {
			o := input.(Operation)
			if o.Kind == Read {
				return o.Value == state.(Value), state
			}
			return true, o.Value
		},
	}
}

// registerOperations returns the operations of the row that are checked against the register model.
func (h rowHistory) registerOperations() []porcupine.Operation {
	if len(h.ofKind(Increment)) > 0 {
		return nil
	}
	singleWriter := h.hasSingleWriter()
	var selected []porcupine.Operation
	for _, o := range h.operations {
		if !h.isRegisterOperation(o, singleWriter) {
			continue
		}
		selected = append(selected, porcupine.Operation{
			ClientId: len(selected), Input: o, Call: int64(o.Invoked), Return: int64(latestEffect(o)),
		})
	}
	return selected
}

// isRegisterOperation reports whether the operation is checked against the register model.
func (h rowHistory) isRegisterOperation(o Operation, singleWriter bool) bool {
	if o.isWrite() {
		return o.mayHaveRun()
	}
	if o.Outcome != Acknowledged {
		return false
	}
	return o.ServedBy == Primary || singleWriter && o.Session == h.firstWriter()
}

// latestEffect returns the latest moment at which the operation may have taken effect; an unknown outcome has no bound.
func latestEffect(o Operation) Moment {
	if o.Outcome == Unknown {
		return Moment(math.MaxInt64)
	}
	return o.Returned
}
