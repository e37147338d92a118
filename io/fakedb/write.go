package fakedb

import (
	"strconv"

	"turmericpulley/io/fakedb/syntax"
)

// readOnly reports whether the open transaction may only read.
func (s *session) readOnly() bool {
	switch s.tx.access {
	case syntax.ReadOnly:
		return true
	case syntax.ReadWrite:
		return false
	default:
		return s.settings.get(readOnlySetting) == "on"
	}
}

// prepareWrite locks a row for writing. It returns an error when the transaction may only read, or when the member is not the
// primary, before or after the wait for the lock. Rows of temporary tables are not checked or locked.
func (s *session) prepareWrite(command, table, key string) error {
	if _, ok := s.temporary[table]; ok {
		return nil
	}
	if s.m.role != Primary || s.readOnly() {
		return errReadOnly(command)
	}
	if err := s.lockRow(rowKey{table, key}); err != nil {
		return err
	}
	if s.m.role != Primary {
		return errReadOnly(command)
	}
	return nil
}

// releaseUnwritten releases the lock of a row that does not exist. It keeps the lock when the transaction itself has deleted the
// row.
func (s *session) releaseUnwritten(table, key string) {
	lockKey := rowKey{table, key}
	if _, written := s.tx.writes[lockKey]; !written {
		s.m.unlockRow(s.tx, lockKey)
	}
}

func (s *session) insert(st syntax.Insert, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	value, err := args.text(st.Value)
	if err != nil {
		return nil, err
	}
	if err = s.prepareWrite("INSERT", st.Table, key); err != nil {
		return nil, err
	}
	if _, exists := s.readRow(st.Table, key); exists && !st.Upsert {
		return nil, fail(stateUniqueViolation,
			`duplicate key value violates unique constraint "`+st.Table+`_pkey"`)
	}
	s.writeRow(change{Table: st.Table, Key: key, Value: value})
	return oneRowAffected("INSERT 0 ", st.Returning, key, value), nil
}

func (s *session) update(st syntax.Update, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	operand, err := args.text(st.Value)
	if err != nil {
		return nil, err
	}
	if err = s.prepareWrite("UPDATE", st.Table, key); err != nil {
		return nil, err
	}
	current, exists := s.readRow(st.Table, key)
	if !exists {
		s.releaseUnwritten(st.Table, key)
		return noRowsAffected("UPDATE ", st.Returning), nil
	}
	value := operand
	if st.Add {
		if value, err = addIntegers(current, operand); err != nil {
			return nil, err
		}
	}
	s.writeRow(change{Table: st.Table, Key: key, Value: value})
	return oneRowAffected("UPDATE ", st.Returning, key, value), nil
}

func (s *session) remove(st syntax.Delete, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	if err = s.prepareWrite("DELETE", st.Table, key); err != nil {
		return nil, err
	}
	value, exists := s.readRow(st.Table, key)
	if !exists {
		s.releaseUnwritten(st.Table, key)
		return noRowsAffected("DELETE ", st.Returning), nil
	}
	s.writeRow(change{Table: st.Table, Key: key, Deleted: true})
	return oneRowAffected("DELETE ", st.Returning, key, value), nil
}

// oneRowAffected returns the result of a statement that wrote one row.
func oneRowAffected(tag string, returning []string, key, value string) *result {
	r := &result{tag: tag + "1", columns: namedColumns(returning)}
	if r.columns != nil {
		r.rows = []row{projectRow(returning, key, value)}
	}
	return r
}

// noRowsAffected returns the result of a statement whose row does not exist.
func noRowsAffected(tag string, returning []string) *result {
	return &result{tag: tag + "0", columns: namedColumns(returning)}
}

func addIntegers(a, b string) (string, error) {
	x, err := parseInteger(a)
	if err != nil {
		return "", err
	}
	y, err := parseInteger(b)
	if err != nil {
		return "", err
	}
	return strconv.FormatInt(x+y, 10), nil
}
