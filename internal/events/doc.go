// Package events is the log of a node: numbered, catalogued events, one line
// each, to standard error.
//
// Every kind of event has a number that never changes, a name, a level and a
// sentence about what it means; docs/events.md is printed from this catalogue
// by `swiftswitch events --markdown`. What varies goes into pairs of keys and
// values, never into the text:
//
//	t=12.345 E4001 info lease-acquired epoch=7
//
// The lines are not written through log/slog: none of its handlers writes this
// form, one of our own would be longer than Log, and each event has one number,
// name and level, which a caller could then get wrong.
package events
