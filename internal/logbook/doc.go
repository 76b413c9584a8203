// Package logbook writes numbered events, one line each, to standard error
// and holds their catalogue (docs/events.md is printed from it by
// `refuge events --markdown`). In the field's terms: structured logging.
package logbook
