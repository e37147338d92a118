package fakepl

import (
	"bufio"
	"bytes"
	"strings"
)

// messageEnd ends each message. A CR or LF elsewhere belongs to a field.
const messageEnd = "\r\n"

// readMessage reads the next message and returns it without its end.
func readMessage(reader *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		message = append(message, part...)
		if whole, ended := bytes.CutSuffix(message, []byte(messageEnd)); ended {
			return string(whole), nil
		}
	}
}

// formatMessage returns the message of the fields with its end.
func formatMessage(fields ...string) string { return strings.Join(fields, " ") + messageEnd }
