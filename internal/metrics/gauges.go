package metrics

import "github.com/prometheus/client_golang/prometheus"

// Gauge is the value of a gauge at one moment.
type Gauge struct {
	Name, Help string
	Value      float64
}

// RegisterGauges makes the registry show what read returns whenever it is asked.
// read is called by one goroutine at a time for each request.
func RegisterGauges(registry *Registry, read func() []Gauge) {
	registry.MustRegister(gaugeReader(read))
}

// gaugeReader is a collector of gauges that are read when they are asked for.
type gaugeReader func() []Gauge

// Describe describes nothing: which gauges there are depends on what the node
// serves, so the collector is an unchecked one.
func (gaugeReader) Describe(chan<- *prometheus.Desc) {}

// Collect reads the gauges.
func (read gaugeReader) Collect(out chan<- prometheus.Metric) {
	for _, gauge := range read() {
		description := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", gauge.Name), gauge.Help, nil, nil)
		out <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, gauge.Value)
	}
}
