// Package traverse reaches searchers: it keeps their connections, chooses
// one for a try, carries the try out and learns from the answer how each is
// doing. In the field's terms: upstream connection pooling, load balancing
// and outlier detection.
package upstream
