// Package warden decides which node does a single duty (reading the
// platform's list): the first live one in an agreed order, once a majority of
// the voters has granted it an epoch, and only as long as they renew it. It
// holds two pure state machines: Voter, which grants, and Duty, which asks. In
// the field's terms: leases granted by a majority, with fencing tokens.
package lease
