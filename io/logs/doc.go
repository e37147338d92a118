// Package logs writes log lines without ever making the writer of a line wait.
package logs
