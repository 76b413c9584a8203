package cache

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/tracetest"
)

const (
	traceHost    = "h"
	traceService = "o"
	// traceObjectBytes is the size of each object's body.
	traceObjectBytes = 100
)

// cacheMachine is a node that caches objects, as traces are played against it.
// Times of a trace are in milliseconds.
type cacheMachine struct {
	objects *Store
	purges  *PurgeLog
	queue   *FetchQueue
	// fetches holds the fetches that were requested, by target.
	fetches map[string]*Fetch
}

func (m *cacheMachine) play(step []string) error {
	now, arguments := parseMilliseconds(step[0]), step[2:]
	switch step[1] {
	case "init":
		m.init(arguments)
	case "request":
		m.request(now, arguments)
	case "start":
		return m.start(now, arguments)
	case "response":
		m.response(arguments)
	case "not-modified":
		m.notModified(arguments)
	case "received":
		m.received(now, arguments)
	case "purge":
		m.purge(arguments)
	case "lookup":
		return m.lookup(now, arguments)
	case "queued":
		if n := m.queue.Queued(traceService); n != int(parseNumber(arguments[0])) {
			return fmt.Errorf("%d fetches are queued", n)
		}
	default:
		return fmt.Errorf("unknown step %s", step[1])
	}
	return nil
}

// init SEQ: a node without objects starts after a purge.
func (m *cacheMachine) init(arguments []string) {
	m.objects = NewStore(100_000)
	m.purges = NewPurgeLog(parseNumber(arguments[0]))
	m.queue = NewFetchQueue()
	m.fetches = map[string]*Fetch{}
}

// request TARGET START_WITHIN WAIT: a client requests an object.
func (m *cacheMachine) request(now time.Duration, arguments []string) {
	target, startWithin, wait := arguments[0], parseMilliseconds(arguments[1]), parseMilliseconds(arguments[2])
	m.fetches[target] = m.queue.Enqueue(Source{Host: traceHost, Target: target, Service: traceService}, 1, now, now+wait, startWithin)
}

// start TARGET [if ETAG] | none: the next fetch starts, if ETAG is held as a
// conditional one.
func (m *cacheMachine) start(now time.Duration, want []string) error {
	got := "none"
	if fetch := m.queue.Next(traceService, m.purges.Seq, now); fetch != nil {
		got = fetch.Target
		if held, _ := m.objects.Peek(fetch.Key()); held != nil {
			got += " if " + held.ETag
		}
	}
	if got != strings.Join(want, " ") {
		return fmt.Errorf("next is %s", got)
	}
	return nil
}

// response TARGET ETAG TAG...: a fetch brings an object.
func (m *cacheMachine) response(arguments []string) {
	fetch := m.fetches[arguments[0]]
	object := newTraceObject(arguments[0], arguments[1], arguments[2:])
	object.FetchedAt, object.KnownPurge = fetch.StartedAt, fetch.KnownPurge
	m.finish(fetch, object)
}

// not-modified TARGET: a fetch revalidates the object held.
func (m *cacheMachine) notModified(arguments []string) {
	fetch := m.fetches[arguments[0]]
	held, _ := m.objects.Peek(fetch.Key())
	m.finish(fetch, held.Revalidated(fetch.StartedAt, fetch.KnownPurge))
}

func (m *cacheMachine) finish(fetch *Fetch, object *Object) {
	if m.purges.Invalidates(object) {
		m.queue.Requeue(fetch)
		return
	}
	m.objects.Put(object)
	fetch.Object = object
	m.queue.Finish(fetch, http.StatusOK, "")
}

// received TARGET ETAG AGE KNOWN_PURGE TAG...: another node sends an object.
func (m *cacheMachine) received(now time.Duration, arguments []string) {
	object := newTraceObject(arguments[0], arguments[1], arguments[4:])
	object.FetchedAt = now - parseMilliseconds(arguments[2])
	object.KnownPurge = parseNumber(arguments[3])
	m.objects.Put(object)
}

// purge SEQ COMPACTED [/PATH | TAG]...: the newest purges, of which the last is SEQ.
func (m *cacheMachine) purge(arguments []string) {
	seq, names := parseNumber(arguments[0]), arguments[2:]
	var purges []Purge
	for i, name := range names {
		purge := Purge{Seq: seq - int64(len(names)-1-i)}
		if strings.HasPrefix(name, "/") {
			purge.Host, purge.Path = strings.ToUpper(traceHost), name
		} else {
			purge.Tag = name
		}
		purges = append(purges, purge)
	}
	m.purges.Apply(seq, parseNumber(arguments[1]), purges)
}

// lookup TARGET LIFETIME ETAG|none: a client is served an object or none.
func (m *cacheMachine) lookup(now time.Duration, arguments []string) error {
	got, lifetime := "none", parseMilliseconds(arguments[1])
	object := m.objects.Get(Key(traceHost, arguments[0]))
	if object.IsFresh(lifetime, now) && !m.purges.Invalidates(object) {
		got = object.ETag
	}
	if got != arguments[2] {
		return fmt.Errorf("it serves %s", got)
	}
	return nil
}

func newTraceObject(target, etag string, tags []string) *Object {
	return &Object{
		Host: traceHost, Target: target, Service: traceService, ETag: etag,
		Tags: SplitTags(strings.Join(tags, " ")), Body: make([]byte, traceObjectBytes),
	}
}

func parseNumber(s string) int64 {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic("not a number: " + s)
	}
	return int64(n)
}

func parseMilliseconds(s string) time.Duration {
	return time.Duration(parseNumber(s)) * time.Millisecond
}

func TestTraces(t *testing.T) {
	tracetest.Play(t, 7, func() func([]string) error { return (&cacheMachine{}).play })
}
