package audit

// TransactionID identifies a transaction of a history; zero means that the operation belongs to no transaction.
type TransactionID uint64

// resolveTransactions returns the operations. It replaces the unknown outcome of a transaction if the final state proves
// whether the transaction took effect.
//
// A transaction takes effect as a whole. If the final state holds a version that only this transaction wrote, its other
// operations must have taken effect too; if it holds an earlier version, none of them may have. The check of the counters
// then reports a transaction that was applied only in part.
func resolveTransactions(operations []Operation, final State) []Operation {
	decided := map[TransactionID]Outcome{}
	for _, o := range operations {
		if o.Transaction != 0 && o.Outcome == Unknown && o.Kind == Write {
			decided[o.Transaction] = outcomeFromFinal(o, final)
		}
	}
	resolved := make([]Operation, 0, len(operations))
	for _, o := range operations {
		if outcome, found := decided[o.Transaction]; found && outcome != Unknown && o.Outcome == Unknown {
			o.Outcome = outcome
		}
		resolved = append(resolved, o)
	}
	return resolved
}

// outcomeFromFinal returns the outcome that the final version proves for an unknown write; a later version proves nothing.
func outcomeFromFinal(o Operation, final State) Outcome {
	switch last := final.Values[o.Row]; {
	case last == o.Value:
		return Acknowledged
	case last < o.Value:
		return NotRun
	default:
		return Unknown
	}
}
