package nodeapi

// Headers of an operator's call that one node forwards to another.
const (
	// HeaderForwardedBy names the node that forwarded the call. A call that
	// bears it is not forwarded again, so that forwarding cannot loop.
	HeaderForwardedBy = "Swiftswitch-Passed-On"
	// HeaderTimeLeft is the time for which the caller still waits, in whole
	// milliseconds as a decimal number.
	HeaderTimeLeft = "Swiftswitch-Patience-Milliseconds"
)
