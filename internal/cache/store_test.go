package cache

import (
	"fmt"
	"testing"
)

// A store keeps to its size and evicts the objects of the least use per byte.
func TestStoreEviction(t *testing.T) {
	const maxBytes = 300_000
	store := NewStore(maxBytes)
	put := func(target string, size int) {
		store.Put(&Object{Host: "h", Target: target, Body: make([]byte, size)})
	}
	holds := func(target string) bool {
		object, _ := store.Peek(Key("h", target))
		return object != nil
	}
	put("/small", 2_000)
	put("/used", 60_000)
	put("/large", 60_000)
	for i := 0; i < 5; i++ {
		store.Get(Key("h", "/used"))
	}
	for i := 0; i < 9; i++ {
		put(fmt.Sprint("/more", i), 30_000)
	}
	if store.Used() > maxBytes {
		t.Fatalf("%d bytes are used", store.Used())
	}
	for target, want := range map[string]bool{"/small": true, "/used": true, "/large": false} {
		if holds(target) != want {
			t.Errorf("%s: held %v, want %v", target, !want, want)
		}
	}
	put("/huge", 190_000)
	if holds("/huge") {
		t.Fatal("one object took most of the store")
	}
	store.Remove(Key("h", "/used"))
	store.Remove(Key("h", "/used"))
	if holds("/used") || store.Used() < 0 || store.Len() != len(store.byRank) {
		t.Fatal("a removed object is still there")
	}
}
