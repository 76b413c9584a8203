// Package gather asks one searcher of each shard, tries again where that may
// help, and puts the parts together. A request to one service is the case of
// one leg. In the field's terms: scatter-gather with hedged requests and
// partial results.
package scatter
