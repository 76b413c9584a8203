// Package logbook writes numbered events, one line each, to standard error
// and holds their catalogue (docs/events.md is printed from it by
// `swiftswitch events --markdown`). In the field's terms: structured logging.
package events
