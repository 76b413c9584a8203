// Package peersampling keeps a node's partial view of the other nodes, of
// bounded size, and refreshes it by shuffles with neighbors. Each entry has an
// age; a node shuffles with its oldest entry, which leaves the view unless the
// partner answers, so that nodes that are gone fall out of all views.
//
// The algorithm is Cyclon: Voulgaris, Gavidia and van Steen, "CYCLON:
// Inexpensive Membership Management for Unstructured P2P Overlays" (JNSM 2005).
// It differs in that the partner of a shuffle that succeeded returns to the
// view with age 0, and in that an entry in a full view yields to a younger one
// also where none was given away for it. The package is a pure state machine;
// the caller sends the messages.
package peersampling
