// Package meter measures the requests of an instance with OpenTelemetry and publishes them for Prometheus.
package meter
