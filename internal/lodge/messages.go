package lodge

import (
	"swiftswitch/internal/cairn"
	"swiftswitch/internal/hutbook"
	"swiftswitch/internal/saddle"
	"swiftswitch/internal/waymark"
)

// Paths of the calls between nodes.
const (
	pathCairn   = "/rope/cairn"
	pathLearn   = "/rope/learn"
	pathState   = "/rope/state"
	pathBeat    = "/rope/beat"
	pathTable   = "/rope/table"
	pathJoin    = "/rope/join"
	pathWatch   = "/rope/watch"
	pathShuffle = "/rope/shuffle"
	pathPeek    = "/rope/peek"
	pathSaddle  = "/rope/saddle"
	pathStatus  = "/rope/status"
	pathConfig  = "/-/configuration"
)

// learnAsk tells that a slot is decided: by a ballot whose value the
// receiver may have accepted itself, or with the state whole.
type learnAsk struct {
	Slot   int64
	Ballot cairn.Ballot
	State  *cairn.State `json:",omitempty"`
}

type learnSay struct {
	Slot int64
}

// peekSay is what a read of the newest version asks voters for.
type peekSay struct {
	ID   string
	Slot int64
	// Begun: something was accepted for the open slot.
	Begun bool
}

// stateSay is the decided state, with how long ago it was decided.
type stateSay struct {
	State cairn.State
	AgeMs int64
}

type beat struct {
	ID      string
	IP      string
	Slot    int64
	Epoch   int64
	Holder  string
	Stamp   hutbook.Stamp
	Leaving bool `json:",omitempty"`
}

type joinAsk struct {
	ID string
	IP string
}

type joinSay struct {
	Votes bool
	Slot  int64
}

type watchAsk struct {
	Name  string
	IP    string
	Slot  int64
	Stamp hutbook.Stamp
	// Zone and Ready: other fronts may ask this one to gather for them.
	Zone  string `json:",omitempty"`
	Ready bool   `json:",omitempty"`
	// Out is how many listed searchers have fallen silent for this front.
	Out int `json:",omitempty"`
	// HoldMs is how long the front lets the hut hold the call.
	HoldMs int64
	// Brief: the table itself is not wanted, only word of it.
	Brief bool `json:",omitempty"`
}

type watchSay struct {
	Zone   string
	Slot   int64
	Stamp  hutbook.Stamp
	Table  *hutbook.Table `json:",omitempty"`
	Fronts int
	Huts   []string
	// Roster lists the fronts that are ready; brief answers lack it.
	Roster []saddle.Front `json:",omitempty"`
}

type shuffle struct {
	Nodes []waymark.Node
}

// instancePage is a page of the platform's list.
type instancePage struct {
	Instances []struct {
		InstanceID      string `json:"InstanceId"`
		Service         string
		Address         string
		Zone            string
		Version         string
		Slots           int
		State           string
		ColdRemainingMs float64
	}
	NextPageToken *string
}
