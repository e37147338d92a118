package fakedb

import "turmericpulley/io/fakedb/syntax"

// resultColumns returns the columns of a statement's result, without running it; nil for statements that return no rows.
func (s *session) resultColumns(st syntax.Statement) []column {
	switch st := st.(type) {
	case syntax.Insert:
		return namedColumns(st.Returning)
	case syntax.Update:
		return namedColumns(st.Returning)
	case syntax.Delete:
		return namedColumns(st.Returning)
	case syntax.Select:
		if st.Count {
			return []column{{"count", bigintType}}
		}
		return namedColumns(st.Columns)
	case syntax.Constant:
		return []column{{"?column?", constantType(st.Value)}}
	case syntax.Call:
		return callColumns(st.Name)
	case syntax.Activity:
		return []column{{"state", textType}}
	case syntax.Show:
		return []column{{st.Name, textType}}
	case syntax.Execute:
		if p, ok := s.prepared[st.Name]; ok {
			return s.resultColumns(p.statement)
		}
		return nil
	default:
		return nil
	}
}

func namedColumns(names []string) []column {
	if len(names) == 0 {
		return nil
	}
	columns := make([]column, len(names))
	for i, name := range names {
		columns[i] = column{name, textType}
	}
	return columns
}

func constantType(value syntax.Operand) typeID {
	if value.Kind == syntax.Number {
		return bigintType
	}
	return textType
}

// callColumns returns the columns of a function's result. Functions that are not listed here return the member's status.
func callColumns(name string) []column {
	switch name {
	case "generate_series":
		return []column{{name, bigintType}}
	case "pg_sleep", "pg_advisory_lock":
		return []column{{name, voidType}}
	case "pg_advisory_unlock", "pg_terminate_backend":
		return []column{{name, boolType}}
	case peaksCall:
		return []column{{"user", textType}, {"connections", bigintType}, {"statements", bigintType}}
	default:
		return Status{}.result().columns
	}
}
