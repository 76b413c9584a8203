package node

import "time"

// What follows opens a node's inside to the tests that run a whole cluster:
// they stand outside the package, since the cluster is made of nodes.

func (n *Node) Listen() bool                  { return n.listen() }
func (n *Node) PauseLoop()                    { n.pauseLoop() }
func (n *Node) PauseThreshold() time.Duration { return n.pauses.Threshold }
func (n *Node) SetSettingsPath(path string)   { n.settingsPath = path }
func (n *Node) SettingsPath() string          { return n.settingsPath }

var CallerTimeout = callerTimeout
