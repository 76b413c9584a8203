package nodeapi

// ConfigurationAcknowledgement is the answer to an operator's change of the
// configuration that was decided.
type ConfigurationAcknowledgement struct {
	Version int64 `json:"Version"`
	// Unsupported is what the change asks for and the answering node does not do:
	// paths of fields and of values.
	Unsupported []string `json:"Unsupported,omitempty"`
}
