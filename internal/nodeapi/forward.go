package nodeapi

// Headers of an operator's call that one node forwards to another.
const (
	// HeaderForwardedBy names the node that forwarded the call. Such a call is
	// not forwarded again.
	HeaderForwardedBy = "Swiftswitch-Passed-On"
	// HeaderTimeLeft tells how many milliseconds the caller still waits.
	HeaderTimeLeft = "Swiftswitch-Patience-Milliseconds"
)
