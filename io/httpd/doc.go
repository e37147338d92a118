// Package httpd serves operators over HTTP: metrics, health checks, state, traces and the status of contracts.
package httpd
