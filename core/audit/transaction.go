package audit

// TransactionID identifies a transaction of a history; zero stands for an operation on its own.
type TransactionID uint64

// resolveTransactions returns the history with the unknown transactions decided that the final state tells about.
//
// A transaction takes effect as a whole. When a version that only it wrote is in the final state, its other operations
// must be there too; when an earlier version is, none may be. A counter then shows a transaction that was torn apart.
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

// outcomeFromFinal returns what the final version says about an unknown write; a later version says nothing.
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
