package fakedb

import (
	"strconv"

	"turmericpulley/io/fakedb/syntax"
)

// maxSeries is the largest number of rows of generate_series.
const maxSeries = 10_000_000

// checkArgumentCount returns an error unless the call has between minimum and maximum arguments.
func checkArgumentCount(st syntax.Call, minimum, maximum int) error {
	if n := len(st.Arguments); n < minimum || n > maximum {
		return fail(stateUndefinedFunction,
			"function "+st.Name+" does not take "+strconv.Itoa(n)+" arguments; pass the number that it takes")
	}
	return nil
}

// runFunction runs a function other than the control functions; the caller holds a slot and the member's lock.
func (s *session) runFunction(st syntax.Call, args arguments) (*result, error) {
	switch st.Name {
	case "generate_series":
		return s.generateSeries(st, args)
	case "pg_sleep":
		return rowsResult(s.resultColumns(st), []row{{textDatum("")}}), nil
	case "pg_advisory_lock":
		number, err := singleInteger(st, args)
		if err != nil {
			return nil, err
		}
		return rowsResult(s.resultColumns(st), []row{{textDatum("")}}), s.lockAdvisory(number)
	case "pg_advisory_unlock":
		number, err := singleInteger(st, args)
		if err != nil {
			return nil, err
		}
		return rowsResult(s.resultColumns(st), []row{{boolDatum(s.unlockAdvisory(number))}}), nil
	default:
		return nil, fail(stateUndefinedFunction, "function "+st.Name+" does not exist")
	}
}

func (s *session) generateSeries(st syntax.Call, args arguments) (*result, error) {
	if err := checkArgumentCount(st, 2, 2); err != nil {
		return nil, err
	}
	first, err := args.integer(st.Arguments[0])
	if err != nil {
		return nil, err
	}
	last, err := args.integer(st.Arguments[1])
	if err != nil {
		return nil, err
	}
	if last-first >= maxSeries {
		return nil, fail(stateInvalidParameter, "the series is too long; request fewer numbers")
	}
	var rows []row
	for n := first; n <= last; n++ {
		rows = append(rows, row{numberDatum(n)})
	}
	return rowsResult(s.resultColumns(st), rows), nil
}

// singleInteger returns the value of the only argument of a call.
func singleInteger(st syntax.Call, args arguments) (int64, error) {
	if err := checkArgumentCount(st, 1, 1); err != nil {
		return 0, err
	}
	return args.integer(st.Arguments[0])
}

func boolDatum(value bool) datum {
	if value {
		return textDatum("t")
	}
	return textDatum("f")
}
