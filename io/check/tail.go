package check

import (
	"os"
	"strings"
)

// tail returns the last lines of a file.
func tail(path string, count int) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
