// Package configtest makes configurations in which every field is set, whichever
// fields there are, and all variants of one that differ in a single field. Tests
// use it to see that a field which is added later is carried everywhere.
package configtest
