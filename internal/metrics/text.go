package metrics

import (
	"bytes"

	"github.com/prometheus/common/expfmt"
)

// ContentType is that of Text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Text returns all metrics of a registry in the text format.
func Text(registry *Registry) ([]byte, error) {
	families, err := registry.Gather()
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, err
		}
	}
	return text.Bytes(), nil
}
