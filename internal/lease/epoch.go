package lease

// epochsPerVoterSet is how many epochs one set of voters can grant. The slot
// that decided the set is the upper part of an epoch, so all epochs of a later
// set are higher, also where the voters that knew the earlier ones are gone.
const epochsPerVoterSet = 1 << 24

// firstEpoch is the lowest epoch of the set of voters that a slot decided.
func firstEpoch(votersSlot int64) int64 { return votersSlot*epochsPerVoterSet + 1 }

// votersSlotOf is the slot that decided the voters that can grant an epoch.
func votersSlotOf(epoch int64) int64 { return epoch / epochsPerVoterSet }
