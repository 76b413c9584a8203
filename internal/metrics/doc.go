// Package metrics holds a node's counters and gauges, and writes them in the
// text format of Prometheus.
//
// Counters are made once, with all values of their labels, so that counting is
// one atomic addition and takes no lock. Gauges are read from the node's status
// when the metrics are asked for. No label holds the name of a client, a tenant
// or a key: the number of time series does not depend on the configuration.
package metrics
