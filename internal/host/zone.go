package host

// Distances of a zone from the node's own, nearest first.
const (
	SameZone = iota
	SameRegion
	OtherRegion
)

// Distance returns how far a zone is from this node's own. A zone that the
// settings don't list counts as one of another region.
func (h *Host) Distance(zone string) int {
	settings := h.Settings()
	if zone == settings.Zone {
		return SameZone
	}
	if region, known := settings.Zones[zone]; known && region == settings.Region {
		return SameRegion
	}
	return OtherRegion
}
