package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"turmericpulley/io/logs"
)

// logLine is a line of an instance's log; details holds the fields that have no column of their own.
type logLine struct {
	timestamp, instance, message string
	account                      string
	details                      []string
}

// Fields of log lines that are not part of the details.
const (
	timestampField = "@timestamp"
	messageField   = "@message"
	levelField     = "@level"
	instanceField  = "instance"
	requestField   = "request"
	accountField   = "account"
)

// detailSeparator stands between the details of a line.
const detailSeparator = ", "

// explainLogs prints the lines of saved logs that belong to a request, in the order of their timestamps.
func explainLogs(out, errOut io.Writer, request string, paths []string) int {
	var lines, reasons []logLine
	for _, path := range paths {
		found, others, err := readLogLines(path, request)
		if err != nil {
			return reportError(errOut, err)
		}
		lines, reasons = append(lines, found...), append(reasons, others...)
	}
	if len(lines) == 0 {
		_, _ = fmt.Fprintf(errOut, "no line of these logs belongs to request %s\n", printable(request))
		return exitFailed
	}
	lines = append(lines, relevantReasons(lines, reasons)...)
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, []string{l.timestamp, l.instance, l.message, strings.Join(l.details, detailSeparator)})
	}
	printTable(out, rows)
	return exitOK
}

// readLogLines returns the lines of a file that belong to the request, and those that may explain a refusal of it. In each line it ignores
// the text before the JSON; lines without JSON are skipped.
func readLogLines(path, request string) (lines, reasons []logLine, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }()
	logged := logs.Text(request)
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadString('\n')
		_, text, found := strings.Cut(line, "{")
		fields := map[string]any{}
		if found && json.Unmarshal([]byte("{"+text), &fields) == nil {
			switch {
			case fields[requestField] == logged:
				lines = append(lines, newLogLine(fields))
			case fields[messageField] == logs.OverLimit, fields[messageField] == logs.ProofOfAge:
				reasons = append(reasons, newLogLine(fields))
			}
		}
		if errors.Is(err, io.EOF) {
			return lines, reasons, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
}

// relevantReasons returns, for each account of the lines, the last report before a line that it was over its limit, and for each instance of
// the lines the last report before a line about the age of its configuration.
func relevantReasons(lines, reasons []logLine) []logLine {
	newest := map[string]logLine{}
	for _, l := range lines {
		for _, r := range reasons {
			key := r.message + detailSeparator + r.account
			switch {
			case r.timestamp > l.timestamp, r.account != "" && r.account != l.account, r.account == "" && r.instance != l.instance:
				continue
			case r.account == "":
				key += detailSeparator + r.instance
			}
			if r.timestamp >= newest[key].timestamp {
				newest[key] = r
			}
		}
	}
	return slices.Collect(maps.Values(newest))
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{
		timestamp: printable(fmt.Sprint(fields[timestampField])),
		instance:  printable(fmt.Sprint(fields[instanceField])),
		message:   printable(fmt.Sprint(fields[messageField])),
	}
	l.account, _ = fields[accountField].(string)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch name {
		case timestampField, instanceField, messageField, requestField, levelField:
		default:
			l.details = append(l.details, printable(name)+" "+printable(fmt.Sprint(fields[name])))
		}
	}
	return l
}

// printable returns a text that others may have chosen as it is, or quoted if it could be taken for more than one detail or line, or could
// control the terminal.
func printable(text string) string {
	if strings.Contains(text, detailSeparator) || strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
