package fakedb

import (
	"strconv"

	"turmericpulley/io/fakedb/syntax"
)

// maxSeries bounds the rows of generate_series.
const maxSeries = 10_000_000

// expectArguments checks how many arguments a call has.
func expectArguments(st syntax.Call, least, most int) error {
	if n := len(st.Arguments); n < least || n > most {
		return fail(stateUndefinedFunction,
			"function "+st.Name+" does not take "+strconv.Itoa(n)+" arguments; give it those it takes")
	}
	return nil
}

// call runs a function that needs a slot; the caller holds the member's lock.
func (s *session) call(st syntax.Call, args arguments) (*result, error) {
	switch st.Name {
	case "generate_series":
		return s.series(st, args)
	case "pg_sleep":
		return rowsResult(s.shape(st), []row{{textDatum("")}}), nil
	case "pg_advisory_lock":
		number, err := soleInteger(st, args)
		if err != nil {
			return nil, err
		}
		return rowsResult(s.shape(st), []row{{textDatum("")}}), s.lockAdvisory(number)
	case "pg_advisory_unlock":
		number, err := soleInteger(st, args)
		if err != nil {
			return nil, err
		}
		return rowsResult(s.shape(st), []row{{boolDatum(s.unlockAdvisory(number))}}), nil
	default:
		return nil, fail(stateUndefinedFunction, "function "+st.Name+" does not exist")
	}
}

func (s *session) series(st syntax.Call, args arguments) (*result, error) {
	if err := expectArguments(st, 2, 2); err != nil {
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
		return nil, fail(stateInvalidParameter, "the series is too long; ask for fewer numbers")
	}
	var rows []row
	for n := first; n <= last; n++ {
		rows = append(rows, row{numberDatum(n)})
	}
	return rowsResult(s.shape(st), rows), nil
}

func soleInteger(st syntax.Call, args arguments) (int64, error) {
	if err := expectArguments(st, 1, 1); err != nil {
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
