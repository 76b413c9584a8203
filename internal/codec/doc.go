// Package codec encodes what is stored and sent between nodes: values as JSON,
// responses that many nodes get alike as gzip, and texts as their difference to
// an earlier one that the receiver holds.
package codec
