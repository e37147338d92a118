package check

import (
	"os"
	"strings"
)

// tail returns the last lines of the file, or the text of the error that reading it returned.
func tail(path string, count int) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// head returns the first lines of a text.
func head(text string, count int) string {
	lines := strings.SplitN(text, "\n", count+1)
	return strings.Join(lines[:min(count, len(lines))], "\n")
}
