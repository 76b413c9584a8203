// Package lodge puts a node together: the controllers that own its tables,
// the calls between nodes, and the life of the process from start to drain.
// In the field's terms: the node's composition root and control loops.
package lodge
