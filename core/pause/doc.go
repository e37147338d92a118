// Package pause waits for a time that a context may cut short, and lets such times grow with failures.
package pause
