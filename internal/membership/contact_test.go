package membership

import (
	"testing"
	"time"
)

// Guards against a state that counts as the newest by evidence that is too old,
// of too few voters, or of voters that knew of more.
func TestConfirmedAt(t *testing.T) {
	const second = time.Second
	state := stateWith(7, "a1", "b1", "c1")
	for _, c := range []struct {
		name        string
		contacts    map[string]Contact
		selfPending bool
		want        time.Duration
		ok          bool
	}{
		{"nobody was heard", nil, false, 0, false},
		{"one of the others", map[string]Contact{"b1": {4 * second, 7}}, false, 4 * second, true},
		{"the later of the others", map[string]Contact{"b1": {4 * second, 7}, "c1": {6 * second, 7}}, false, 6 * second, true},
		{"one that knew less", map[string]Contact{"b1": {4 * second, 6}}, false, 4 * second, true},
		{"one that knew more", map[string]Contact{"b1": {4 * second, 8}}, false, 0, false},
		{"of two, one that knew more", map[string]Contact{"b1": {6 * second, 8}, "c1": {4 * second, 7}}, false, 4 * second, true},
		{"a node that is no voter", map[string]Contact{"x1": {4 * second, 7}}, false, 0, false},
		{"self accepted more", map[string]Contact{"b1": {4 * second, 7}}, true, 0, false},
		{"self accepted more, both others did not", map[string]Contact{"b1": {4 * second, 7}, "c1": {6 * second, 7}}, true, 4 * second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			at, ok := ConfirmedAt(state, "a1", c.selfPending, c.contacts, 9*second)
			if at != c.want || ok != c.ok {
				t.Errorf("confirmed at %v, %v, want %v, %v", at, ok, c.want, c.ok)
			}
		})
	}
	alone := stateWith(7, "a1")
	if at, ok := ConfirmedAt(alone, "a1", false, nil, 9*second); at != 9*second || !ok {
		t.Errorf("a single voter: %v, %v", at, ok)
	}
	if at, ok := ConfirmedAt(stateWith(7), "a1", false, nil, 9*second); ok {
		t.Errorf("no voters: %v", at)
	}
}
