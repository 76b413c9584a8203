// Package routing compiles a validated configuration into an immutable table:
// it routes a request by its host and the longest path prefix, and picks the
// service of a route that splits its traffic by weight.
package routing
