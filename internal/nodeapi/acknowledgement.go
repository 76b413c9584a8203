package nodeapi

// ConfigurationAcknowledgement is the answer to an operator's change of the
// configuration that was decided.
type ConfigurationAcknowledgement struct {
	Version int64 `json:"Version"`
	// UnknownFields are the paths of the configuration's fields that the
	// answering node does not read: what they ask for is not done.
	UnknownFields []string `json:"UnknownFields,omitempty"`
}
