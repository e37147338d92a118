package logs

import (
	"strconv"
	"unicode/utf8"
)

// maxTextBytes is how much of a text of others a line contains.
const maxTextBytes = 512

// Text returns an id, name or message that was chosen by others as it is to be logged: unchanged, or quoted when it is too long or no
// UTF-8.
func Text(text string) string {
	if len(text) <= maxTextBytes {
		if utf8.ValidString(text) {
			return text
		}
		return strconv.Quote(text)
	}
	return strconv.Quote(text[:maxTextBytes]) + "... (" + strconv.Itoa(len(text)) + " bytes)"
}
