package tenant

import (
	"crypto/sha256"
	"hash/maphash"
	"maps"
	"slices"
	"strconv"

	"swiftswitch/internal/config"
	"swiftswitch/internal/quota"
)

const (
	// shardCount is how many parts the tables of a directory have. A version
	// that changes few tenants copies few of the parts.
	shardCount = 64
	// maxUnusedRatio bounds the indexes in use by a multiple of the tenants,
	// beside minIndexes.
	maxUnusedRatio = 4
	minIndexes     = 1024
)

// digest stands for a key.
type digest [sha256.Size]byte

// shard returns the part of the owners that a digest belongs to.
func (d *digest) shard() int { return int(d[0]) % shardCount }

// Tenant is a tenant as requests need it.
type Tenant struct {
	Name string
	// Priority is the rank under load shedding, 0 the highest. It counts in place
	// of the route's where HasPriority.
	Priority    int
	HasPriority bool
	// Quota bounds its requests on all nodes together.
	Quota quota.Limit
}

// Directory holds the tenants of one version of the configuration by their
// keys. A nil Directory is that of a configuration without tenants.
type Directory struct {
	// owners holds, by the digest of a key, the tenants that have it: one, in a
	// valid configuration.
	owners [shardCount]map[digest][]*Tenant
	// entries holds the tenants by name. Further ones of the same name have a
	// key of their own, see twinKey.
	entries [shardCount]map[string]*entry
	// indexes is above the index of every entry.
	indexes       int
	tenants, keys int
}

// entry is a tenant of the configuration and what it was compiled to. It is
// never changed, and shared by the directories of all versions that hold source.
type entry struct {
	source  *config.Tenant
	tenant  *Tenant
	digests []digest
	index   int
}

// nameSeed is that of the hash by which entries are spread over the parts.
var nameSeed = maphash.MakeSeed()

func nameShard(key string) int { return int(maphash.String(nameSeed, key) % shardCount) }

// twinKey is the key of the n-th further tenant of a name. No name holds its
// separator.
func twinKey(name string, n int) string { return name + "\x00" + strconv.Itoa(n) }

// Compile returns the directory of the tenants of a validated configuration, nil
// where there are none. previous is that of an earlier version, or nil: tenants
// that both versions share are taken over as they are.
//
// A configuration that was stored by a version with other checks may hold what
// can't be told to endpoints or is not clear. Such tenants are left out, and a
// key that two tenants have is accepted for neither.
func Compile(tenants []*config.Tenant, previous *Directory) *Directory {
	if len(tenants) == 0 {
		return nil
	}
	if previous == nil || previous.indexes > maxUnusedRatio*previous.tenants+minIndexes {
		previous = &Directory{}
	}
	b := &builder{Directory: *previous, kept: make([]bool, previous.indexes+len(tenants))}
	for _, source := range tenants {
		if config.IsTenantName(source.Name) {
			b.put(source)
		}
	}
	b.removeOthers()
	return &b.Directory
}

// entry returns the tenant under a key, nil if there is none.
func (d *Directory) entry(key string) *entry { return d.entries[nameShard(key)][key] }

// Has reports whether there is a tenant of this name.
func (d *Directory) Has(name string) bool { return d != nil && d.entry(name) != nil }

// Size returns how many tenants and keys there are.
func (d *Directory) Size() (tenants, keys int) {
	if d == nil {
		return 0, 0
	}
	return d.tenants, d.keys
}

// builder changes a copy of a directory. The parts that it changes are copied
// first, since other directories share them.
type builder struct {
	Directory
	ownersCopied, entriesCopied [shardCount]bool
	// kept says, by index, which entries the new version holds; keptCount counts them.
	kept      []bool
	keptCount int
}

// put makes the directory hold a tenant.
func (b *builder) put(source *config.Tenant) {
	key := source.Name
	e := b.entry(key)
	for n := 1; e != nil && b.kept[e.index]; n++ {
		key = twinKey(source.Name, n)
		e = b.entry(key)
	}
	if e == nil || e.source != source {
		if e != nil {
			b.remove(key, e)
		}
		e = b.add(key, source)
	}
	b.kept[e.index] = true
	b.keptCount++
}

// removeOthers removes the tenants that the new version doesn't hold.
func (b *builder) removeOthers() {
	if b.keptCount == b.tenants {
		return
	}
	for i := range b.entries {
		for key, e := range b.entries[i] {
			if !b.kept[e.index] {
				b.remove(key, e)
			}
		}
	}
}

func (b *builder) add(key string, source *config.Tenant) *entry {
	e := &entry{source: source, tenant: newTenant(source), index: b.indexes}
	b.indexes++
	b.tenants++
	b.entriesOf(key)[key] = e
	for _, apiKey := range source.ApiKeys {
		if apiKey == "" {
			continue
		}
		d := digest(sha256.Sum256([]byte(apiKey)))
		owners := b.ownersOf(&d)
		if slices.Contains(owners[d], e.tenant) {
			continue
		}
		if len(owners[d]) == 0 {
			b.keys++
		}
		// A slice that another directory shares is not appended to in place.
		owners[d] = append(slices.Clip(owners[d]), e.tenant)
		e.digests = append(e.digests, d)
	}
	return e
}

// newTenant compiles one tenant of a configuration.
func newTenant(source *config.Tenant) *Tenant {
	t := &Tenant{
		Name:  source.Name,
		Quota: quota.Limit{RequestsPerS: source.RequestsPerS, BurstSize: source.BurstSize},
	}
	if source.Priority != nil {
		t.Priority, t.HasPriority = int(*source.Priority), true
	}
	return t
}

func (b *builder) remove(key string, e *entry) {
	b.tenants--
	delete(b.entriesOf(key), key)
	for _, d := range e.digests {
		owners := b.ownersOf(&d)
		rest := slices.DeleteFunc(slices.Clone(owners[d]), func(t *Tenant) bool { return t == e.tenant })
		if len(rest) > 0 {
			owners[d] = rest
			continue
		}
		delete(owners, d)
		b.keys--
	}
}

// ownersOf returns the part of the owners that a digest belongs to, for changes.
func (b *builder) ownersOf(d *digest) map[digest][]*Tenant {
	i := d.shard()
	if !b.ownersCopied[i] {
		b.owners[i], b.ownersCopied[i] = cloneOrMake(b.owners[i]), true
	}
	return b.owners[i]
}

// entriesOf returns the part of the entries that a key belongs to, for changes.
func (b *builder) entriesOf(key string) map[string]*entry {
	i := nameShard(key)
	if !b.entriesCopied[i] {
		b.entries[i], b.entriesCopied[i] = cloneOrMake(b.entries[i]), true
	}
	return b.entries[i]
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
