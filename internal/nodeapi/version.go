package nodeapi

// HeaderVersion bears the VersionResponse, as JSON, of an answer whose gzipped
// body is the configuration or the difference to it.
const HeaderVersion = "Swiftswitch-Version"

// VersionRequest is sent by a front or cache node to a control node that
// announced a newer configuration, on PathVersion. Version is the one that the
// sender holds, 0 if it holds none.
type VersionRequest struct {
	Version int64 `json:"Version"`
}

// VersionResponse describes the configuration in the body of an answer.
type VersionResponse struct {
	// Slot is the last decided slot of the answering node, Version the newest
	// configuration in it.
	Slot    int64 `json:"Slot"`
	Version int64 `json:"Version"`
	// AgeMs is how long ago the answering node learned of Version.
	AgeMs int64 `json:"AgeMs"`
	// BaseVersion, if above 0, is the version that the body is a difference
	// to; Removed then names the items that are gone, by list. Lists are those
	// that the body holds item by item; control nodes of earlier versions name
	// none and mean config.ListsOfEarlierVersions.
	BaseVersion int64               `json:"From,omitempty"`
	Removed     map[string][]string `json:"Gone,omitempty"`
	Lists       []string            `json:"Lists,omitempty"`
}
