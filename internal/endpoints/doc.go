// Package endpoints holds the table of endpoints: the instances of all services
// as the platform's discovery API listed them. A table is a last-writer-wins
// register: its Stamp orders all tables that any node ever made, so that
// merging replicas in any order gives the same table on all nodes. Nodes send
// each other deltas between two tables rather than tables.
package endpoints
