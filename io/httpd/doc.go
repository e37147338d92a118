// Package httpd is the listener for operators: metrics, health, state and the progress of changes.
package httpd
