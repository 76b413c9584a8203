package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// namespace begins the name of every metric.
const namespace = "swiftswitch"

// Registry holds the metrics of one node.
type Registry = prometheus.Registry

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return prometheus.NewRegistry() }

// NewCounter registers a counter. A nil registry makes one that is not shown.
func NewCounter(registry *Registry, name, help string) prometheus.Counter {
	return promauto.With(registerer(registry)).NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Counters are the counters of one metric, by the index of their label's value.
type Counters []prometheus.Counter

// NewCounters registers a metric with one label and returns one counter for
// each of the label's values. A nil registry makes counters that are not shown.
func NewCounters(registry *Registry, name, help, label string, values []string) Counters {
	vector := promauto.With(registerer(registry)).NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
	counters := make(Counters, len(values))
	for i, value := range values {
		counters[i] = vector.WithLabelValues(value)
	}
	return counters
}

// Labels are the two labels of a Table, and their values.
type Labels struct {
	Row, Column             string
	RowValues, ColumnValues []string
}

// Table holds the counters of one metric with two labels, by the indexes of the
// labels' values.
type Table []Counters

// NewTable registers a metric with two labels and returns a counter for each
// pair of values. A nil registry makes counters that are not shown.
func NewTable(registry *Registry, name, help string, labels Labels) Table {
	vector := promauto.With(registerer(registry)).NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{labels.Row, labels.Column})
	table := make(Table, len(labels.RowValues))
	for i, row := range labels.RowValues {
		for _, column := range labels.ColumnValues {
			table[i] = append(table[i], vector.WithLabelValues(row, column))
		}
	}
	return table
}

// registerer avoids an interface that holds a nil pointer.
func registerer(registry *Registry) prometheus.Registerer {
	if registry == nil {
		return nil
	}
	return registry
}
