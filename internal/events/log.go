package events

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// logger writes events to one writer.
type logger struct {
	// start is what the time of a line counts from.
	start time.Time

	// mu guards what follows and keeps lines whole.
	mu    sync.Mutex
	out   io.Writer
	debug bool
}

var standard = &logger{start: time.Now(), out: os.Stderr}

// SetDebug turns events of LevelDebug on or off; they are off at the start.
func SetDebug(on bool) {
	standard.mu.Lock()
	defer standard.mu.Unlock()
	standard.debug = on
}

// SetOutput sends the lines to w instead of standard error.
func SetOutput(w io.Writer) {
	standard.mu.Lock()
	defer standard.mu.Unlock()
	standard.out = w
}

// Log writes one line about an event, with pairs of a constant key and a
// value. Values with spaces or quotes are quoted. It is safe for concurrent
// use; what the writer fails to take is lost.
func Log(event Event, pairs ...any) { standard.log(event, pairs...) }

func (l *logger) log(event Event, pairs ...any) {
	entry := entries[event]
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.Level == LevelDebug && !l.debug {
		return
	}
	var line strings.Builder
	fmt.Fprintf(&line, "t=%.3f %v %s %s", time.Since(l.start).Seconds(), event, entry.Level, entry.Name)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%s", pairs[i], quoteIfNeeded(fmt.Sprint(pairs[i+1])))
	}
	line.WriteByte('\n')
	_, _ = io.WriteString(l.out, line.String())
}

// quoteIfNeeded keeps a value that is empty or has separators one word.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \n\t\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
