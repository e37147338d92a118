// Package meter records the metrics of an instance with OpenTelemetry and publishes them for Prometheus.
package meter
