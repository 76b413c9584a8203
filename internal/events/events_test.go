package events

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// constants returns the events that event.go declares, by name.
func constants(t *testing.T) map[string]Event {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]Event{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		number, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found[spec.Names[0].Name] = Event(number)
		return false
	})
	return found
}

var (
	wordStart    = regexp.MustCompile(`([a-z])([A-Z])`)
	acronymEnd   = regexp.MustCompile(`([A-Z])([A-Z][a-z])`)
	eventNameFmt = "$1-$2"
)

// eventName is the catalogue's name of a constant: CUSUMAlarm is cusum-alarm.
func eventName(constant string) string {
	constant = acronymEnd.ReplaceAllString(constant, eventNameFmt)
	return strings.ToLower(wordStart.ReplaceAllString(constant, eventNameFmt))
}

// Every event has one entry, named after its constant, with a known level and
// a sentence.
func TestCatalogueIsComplete(t *testing.T) {
	declared := constants(t)
	if len(declared) != len(Catalogue) || len(entries) != len(Catalogue) {
		t.Errorf("%d constants, %d entries, %d of different numbers", len(declared), len(Catalogue), len(entries))
	}
	for constant, event := range declared {
		if got, want := entries[event].Name, eventName(constant); got != want {
			t.Errorf("%v %s is catalogued as %q, want %q", event, constant, got, want)
		}
	}
	for i, entry := range Catalogue {
		if i > 0 && entry.Event <= Catalogue[i-1].Event {
			t.Errorf("%v is out of order", entry.Event)
		}
		switch entry.Level {
		case LevelDebug, LevelInfo, LevelWarn, LevelError:
		default:
			t.Errorf("%v has level %q", entry.Event, entry.Level)
		}
		if strings.Count(entry.Description, ".") != 1 || !strings.HasSuffix(entry.Description, ".") {
			t.Errorf("%v is not described in one sentence: %s", entry.Event, entry.Description)
		}
	}
}

// The page for operators is what the catalogue prints.
func TestDocsAreUpToDate(t *testing.T) {
	want, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	if err := WriteMarkdown(&printed, Catalogue); err != nil {
		t.Fatal(err)
	}
	if printed.String() != string(want) {
		t.Error("docs/events.md is stale: run `swiftswitch events --markdown >docs/events.md`")
	}
}

func TestLogLine(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event Event
		pairs []any
		want  string
	}{
		{"no pairs", Stopped, nil, "E1006 info stopped"},
		{"values", LeaseEnded, []any{"epoch", 7, "known", int64(8), "holder", "a1"}, "E4002 info lease-ended epoch=7 known=8 holder=a1"},
		{"quoted", ConfigRejected, []any{"status", 409, "why", `not the "newest"`}, `E3008 info config-rejected status=409 why="not the \"newest\""`},
		{"empty value", TableSyncFailed, []any{"voter", ""}, `E4009 info table-sync-failed voter=""`},
		{"newline", DiskDegraded, []any{"err", errors.New("a\nb")}, `E3009 warn disk-degraded err="a\nb"`},
		{"duration", DiskDegraded, []any{"waited", 1500 * time.Millisecond}, "E3009 warn disk-degraded waited=1.5s"},
		{"key without value", Draining, []any{"grace"}, "E1005 info draining"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			l := &logger{start: time.Now(), out: &out}
			l.log(tc.event, tc.pairs...)
			stamp, rest, _ := strings.Cut(out.String(), " ")
			if !regexp.MustCompile(`^t=\d+\.\d{3}$`).MatchString(stamp) {
				t.Errorf("time %q", stamp)
			}
			if rest != tc.want+"\n" {
				t.Errorf("%q, want %q", rest, tc.want)
			}
		})
	}
}

func TestDebugEventsAreOffAtFirst(t *testing.T) {
	var out bytes.Buffer
	l := &logger{start: time.Now(), out: &out}
	l.log(RequestRejected, "err", "too long")
	if out.Len() > 0 {
		t.Errorf("written without debug: %q", out.String())
	}
	l.debug = true
	l.log(RequestRejected, "err", "long")
	if !strings.HasSuffix(out.String(), "E6005 debug request-rejected err=long\n") {
		t.Errorf("with debug: %q", out.String())
	}
}
