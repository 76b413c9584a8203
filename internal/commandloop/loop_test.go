package commandloop

import "testing"

func TestCommandsRunInOrder(t *testing.T) {
	l := New()
	var got []int
	for i := range 100 {
		l.Submit(func() { got = append(got, i) })
	}
	l.Call(func() {})
	for i, x := range got {
		if i != x {
			t.Fatalf("command %d ran at position %d", x, i)
		}
	}
	if len(got) != 100 {
		t.Fatalf("%d of 100 commands ran before Call returned", len(got))
	}
}

func TestCallReturnsAfterClose(t *testing.T) {
	l := New()
	l.Close()
	l.Call(func() {}) // must not block
	l.Submit(func() {})
}
