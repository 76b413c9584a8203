// Package depot remembers what each other node that keeps state is known to
// hold, so that whatever a missing one should have had is handed to it once
// it is back. It is a pure state machine. In the field's terms: hinted
// hand-off.
package handoff
