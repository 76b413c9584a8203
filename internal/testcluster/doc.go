// Package testcluster runs whole clusters on loopback for tests: nodes of this
// process, fake endpoints and a fake of the platform's discovery list. Only
// tests import it.
//
// Nodes are known by numbers: 1 to 9 are control nodes, 11 to 20 are fronts, of
// which number 12 is in zone z2 and the others in z1, and 21 and above are
// cache nodes. Node n has the address IP(n). Every cluster has a subnet of its
// own, in 127.0.0.0/8.
package testcluster
