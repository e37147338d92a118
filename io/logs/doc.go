// Package logs writes log lines in the background, so that no caller waits for the output.
package logs
