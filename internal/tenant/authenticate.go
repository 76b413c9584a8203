package tenant

import "crypto/sha256"

// Credential is the key that a request presents. The zero value presents none.
type Credential struct {
	// Key is the value of the last header line with a key.
	Key string
	// Lines counts such lines.
	Lines int
}

// Verdict says what came of a request's credential.
type Verdict int

const (
	// Accepted: the key is a tenant's.
	Accepted Verdict = iota
	// Missing: no key is presented, or an empty one.
	Missing
	// Ambiguous: more than one key is presented.
	Ambiguous
	// Unknown: the key is no tenant's.
	Unknown
	// NotNeeded: the route is public, or the configuration has no tenants.
	NotNeeded
	// Unconfirmed: the key can't be checked, since the tenants may have changed
	// without this node knowing.
	Unconfirmed
)

// VerdictNames name the verdicts in metrics.
var VerdictNames = []string{
	Accepted:    "accepted",
	Missing:     "missing",
	Ambiguous:   "ambiguous",
	Unknown:     "unknown",
	NotNeeded:   "not_needed",
	Unconfirmed: "unconfirmed",
}

// Authenticate returns the tenant whose key a request presents. Keys are
// compared as a whole, byte by byte; nothing is guessed. The tenant is nil
// unless the verdict is Accepted.
func (d *Directory) Authenticate(credential Credential) (*Tenant, Verdict) {
	switch {
	case credential.Lines > 1:
		return nil, Ambiguous
	case credential.Key == "":
		return nil, Missing
	}
	key := digest(sha256.Sum256([]byte(credential.Key)))
	if owners := d.owners[key.shard()][key]; len(owners) == 1 {
		return owners[0], Accepted
	}
	return nil, Unknown
}
