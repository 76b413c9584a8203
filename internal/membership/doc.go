// Package bivouac decides membership among the nodes that keep state: who
// counts as silent, who may take whose place, when there are voters enough.
// It is a pure state machine. In the field's terms: failure detection and
// reconfiguration.
package membership
