// Package quota divides the quotas of tenants among the fronts of a cluster. A
// quota is a token bucket: a request takes a token, RequestsPerS tokens a second
// come in, and a bounded number of them may be saved up.
//
// One node, the holder of a fenced lease, keeps a [Ledger] of all unspent tokens,
// wherever they are. Fronts keep a small stock of them ([Shares]), report what
// is left of it, and are granted more. Tokens that lie in stock at a front are part
// of the bucket: while they are not spent, as many fewer come in. So the tokens
// that can be spent within any time are those that the bucket holds at its start
// and those that come in meanwhile, whichever fronts spend them.
//
// A front that is cut off from the holder spends its stock and then has none. The
// stock of a front that was not heard for longer than its validity is void on both sides.
//
// The types are pure state machines: their caller passes the time in, a reading of
// its own monotonic clock, and makes one call at a time.
package quota
