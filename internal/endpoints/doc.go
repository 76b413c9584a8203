// Package hutbook is the table of searchers: what the platform's list said,
// under a stamp by which any two copies of it merge to the same. In the
// field's terms: a service registry as mergeable (last-writer) state.
package endpoints
