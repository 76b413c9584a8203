package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"swiftswitch/internal/events"
)

var errNoWord = errors.New("no word of the write")

func put(t *testing.T, c *Store, name, value string) error {
	t.Helper()
	done := make(chan error, 1)
	c.Put(name, []byte(value), func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-time.After(5 * time.Second):
		return errNoWord
	}
}

// A store that can't go on answers so, comes back by itself and has forgotten nothing.
func TestBrokenStoreComesBack(t *testing.T) {
	events.SetOutput(io.Discard)
	dir := t.TempDir()
	c, err := Open(dir, time.Second, 20*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(t, c, "a", "1"); err != nil {
		t.Fatal(err)
	}
	quiet{c}.Fatalf("the disk refuses writes")
	if err := put(t, c, "b", "2"); err == nil {
		t.Fatal("a write to a broken store was called good")
	}
	for end := time.Now().Add(5 * time.Second); ; {
		if err := put(t, c, "c", "3"); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal("the store does not come back:", err)
		}
	}
	c.Close(time.Second)
	c, err = Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(time.Second)
	for name, want := range map[string]string{"a": "1", "b": "2", "c": "3", "d": ""} {
		if got, err := c.Get(name); err != nil || string(got) != want {
			t.Errorf("%s is %q, %v", name, got, err)
		}
	}
}

// A store that can't be read is set aside; the node starts as with an empty disk.
func TestDamagedStoreIsSetAside(t *testing.T) {
	events.SetOutput(io.Discard)
	dir := t.TempDir()
	c, err := Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(t, c, "a", "1"); err != nil {
		t.Fatal(err)
	}
	c.Close(time.Second)
	files, _ := filepath.Glob(filepath.Join(dir, "cellar", "MANIFEST-*"))
	if len(files) == 0 {
		t.Fatal("no file to damage")
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for i := range raw[:min(len(raw), 64)] {
			raw[i] ^= 0x5a
		}
		if err := os.WriteFile(f, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	c, err = Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(time.Second)
	if v, err := c.Get("a"); v != nil || err != nil {
		t.Fatalf("read %q, %v", v, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "cellar-unreadable")); err != nil {
		t.Fatal("the damaged store is gone")
	}
}

// A loss of power leaves unsynced writes missing or torn: what was answered as written is there.
func TestTornTail(t *testing.T) {
	events.SetOutput(io.Discard)
	for _, tail := range []string{"", "torn", string(make([]byte, 40_000))} {
		dir, after := t.TempDir(), t.TempDir()
		c, err := Open(dir, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range []string{"1", "2", "3"} {
			if err := put(t, c, "a", v); err != nil {
				t.Fatal(err)
			}
		}
		// The files as they are at this moment, with something after the end of the log.
		if err := os.CopyFS(after, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		c.Close(time.Second)
		logs, _ := filepath.Glob(filepath.Join(after, "cellar", "*.log"))
		if len(logs) == 0 {
			t.Fatal("no log")
		}
		for _, l := range logs {
			f, err := os.OpenFile(l, os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err = f.WriteString(tail); err != nil {
				t.Fatal(err)
			}
			if err = f.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if c, err = Open(after, time.Second, time.Second); err != nil {
			t.Fatal(err)
		}
		if v, err := c.Get("a"); string(v) != "3" || err != nil {
			t.Fatalf("%q is there, %v", v, err)
		}
		c.Close(time.Second)
	}
}
