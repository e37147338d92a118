package pgsrv

import (
	"strings"

	"github.com/pkg/errors"
)

// parseOptions parses the settings in the start-up parameter options, such as "-c name=value" or "--name=value".
func parseOptions(text string) (map[string]string, error) {
	settings := make(map[string]string)
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		assignment := ""
		switch word := words[i]; {
		case word == "-c" && i+1 < len(words):
			i++
			assignment = words[i]
		case strings.HasPrefix(word, "-c"):
			assignment = strings.TrimPrefix(word, "-c")
		case strings.HasPrefix(word, "--"):
			assignment = strings.TrimPrefix(word, "--")
		}
		name, value, ok := strings.Cut(assignment, "=")
		if !ok || name == "" {
			return nil, errors.Errorf(`options %q are invalid; write "-c name=value"`, text)
		}
		settings[strings.ReplaceAll(name, "-", "_")] = value
	}
	return settings, nil
}

// splitOptions splits options at spaces; a backslash escapes the next character.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	escaped := false
	for _, r := range text {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped = true
		case r != ' ':
			word.WriteRune(r)
		case word.Len() > 0:
			words = append(words, word.String())
			word.Reset()
		}
	}
	if word.Len() > 0 {
		words = append(words, word.String())
	}
	return words
}
