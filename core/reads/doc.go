// Package reads tracks the log position that each session has seen, so that its reads never go back.
package reads
