package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// logLine is a line of an instance's log; details holds the fields that have no column of their own.
type logLine struct {
	timestamp, instance, message string
	details                      []string
}

// Fields of log lines that are not part of the details.
const (
	timestampField = "@timestamp"
	messageField   = "@message"
	levelField     = "@level"
	instanceField  = "instance"
	requestField   = "request"
)

// explainLogs prints the lines of saved logs that belong to a request, in the order of their timestamps.
func explainLogs(out, errOut io.Writer, request string, paths []string) int {
	var lines []logLine
	for _, path := range paths {
		found, err := readLogLines(path, request)
		if err != nil {
			return reportError(errOut, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		_, _ = fmt.Fprintf(errOut, "no line of these logs belongs to request %s\n", request)
		return exitFailed
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, []string{l.timestamp, l.instance, l.message, strings.Join(l.details, ", ")})
	}
	printTable(out, rows)
	return exitOK
}

// readLogLines returns the lines of a file that belong to the request. In each line it ignores the text before the JSON; lines
// without JSON are skipped.
func readLogLines(path, request string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		fields := map[string]any{}
		if !found || json.Unmarshal([]byte("{"+text), &fields) != nil || fields[requestField] != request {
			continue
		}
		lines = append(lines, newLogLine(fields))
	}
	return lines, scanner.Err()
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{timestamp: fmt.Sprint(fields[timestampField]), instance: fmt.Sprint(fields[instanceField]), message: fmt.Sprint(fields[messageField])}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch name {
		case timestampField, instanceField, messageField, requestField, levelField:
		default:
			l.details = append(l.details, fmt.Sprintf("%s %v", name, fields[name]))
		}
	}
	return l
}
