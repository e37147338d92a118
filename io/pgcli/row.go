package pgcli

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Row maps the column names of a result row to their values.
type Row map[string]string

// Uint returns a column as an unsigned number.
func (r Row) Uint(column string) (uint64, error) {
	value, err := strconv.ParseUint(r[column], 10, 64)
	return value, errors.Wrapf(err, "parsing column %s of a query's result", column)
}

// QueryRow runs a simple query within the timeout and returns the first row of its result, or nil when it has no rows.
func (c *Conn) QueryRow(sql string, timeout time.Duration) (Row, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := c.Send(AppendGuard(EncodeQuery(nil, sql))); err != nil {
		return nil, err
	}
	row, err := c.readRow()
	if err != nil {
		return nil, err
	}
	return row, c.SetDeadline(time.Time{})
}

func (c *Conn) readRow() (Row, error) {
	var names []string
	var row Row
	var queryError error
	for {
		m, err := c.Read()
		if err != nil {
			return nil, err
		}
		switch m.Type {
		case 'T':
			var description pgproto3.RowDescription
			if err := description.Decode(m.Body()); err != nil {
				return nil, errors.Wrap(err, "decoding a row description")
			}
			names = columnNames(description)
		case TypeDataRow:
			if row == nil {
				if row, err = decodeRow(names, m.Body()); err != nil {
					return nil, err
				}
			}
		case TypeErrorResponse:
			queryError = ParseError(m.Body())
		case TypeReadyForQuery:
			status, err := m.status()
			if err == nil {
				err = c.ReadGuard(status)
			}
			if err != nil {
				return nil, err
			}
			return row, queryError
		}
	}
}

func columnNames(d pgproto3.RowDescription) []string {
	names := make([]string, 0, len(d.Fields))
	for _, f := range d.Fields {
		names = append(names, string(f.Name))
	}
	return names
}

func decodeRow(names []string, body []byte) (Row, error) {
	var data pgproto3.DataRow
	if err := data.Decode(body); err != nil {
		return nil, errors.Wrap(err, "decoding a row")
	}
	if len(data.Values) != len(names) {
		return nil, errors.Errorf("row of a query's result has %d columns and %d values", len(names), len(data.Values))
	}
	row := make(Row, len(names))
	for i, name := range names {
		row[name] = string(data.Values[i])
	}
	return row, nil
}

// EncodeQuery appends an encoded simple query to the buffer and returns the result.
func EncodeQuery(buffer []byte, sql string) []byte {
	buffer = append(buffer, typeQuery)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(messageLengthBytes+len(sql)+1))
	buffer = append(buffer, sql...)
	return append(buffer, 0)
}
