package node

import "time"

// The tests of whole clusters stand outside the package, since testcluster is
// made of nodes. What follows opens the inside of a node to them.

func (n *Node) Listen() error                 { return n.listen() }
func (n *Node) PauseLoop()                    { n.pauseLoop() }
func (n *Node) PauseThreshold() time.Duration { return n.pauses.threshold }
func (n *Node) SetSettingsPath(path string)   { n.settingsPath = path }

var CallerTimeout = callerTimeout
