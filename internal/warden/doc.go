// Package warden decides which node does a single duty (reading the
// platform's list): the first live one in an agreed order, under an epoch
// below which the others take nothing. It is a pure state machine. In the
// field's terms: leader election by rank with fencing epochs.
package warden
