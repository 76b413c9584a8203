package storage

import (
	"io"
	"os"
	"testing"

	"swiftswitch/internal/events"
)

func TestMain(m *testing.M) {
	events.SetOutput(io.Discard)
	os.Exit(m.Run())
}
