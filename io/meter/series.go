package meter

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

const (
	customerLabel = "customer"
	classLabel    = "class"
	kindLabel     = "kind"
)

// requestSeries identifies the request histogram of one customer and class.
type requestSeries struct {
	customer types.AccountID
	class    Class
}

func (s requestSeries) attributes() metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(
		attribute.String(customerLabel, string(s.customer)),
		attribute.String(classLabel, string(s.class)),
	))
}

// refusalSeries identifies the refusal counter of one customer and kind of refusal.
type refusalSeries struct {
	customer types.AccountID
	kind     fault.Kind
}

func (s refusalSeries) attributes() metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(
		attribute.String(customerLabel, string(s.customer)),
		attribute.String(kindLabel, string(s.kind)),
	))
}

// queueWaitSeries identifies the histogram of queue waits of one customer.
type queueWaitSeries struct {
	customer types.AccountID
}

func (s queueWaitSeries) attributes() metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String(customerLabel, string(s.customer))))
}
