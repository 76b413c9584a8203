package codec

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const (
	// testRoutes is how many routes the configuration of the tests has.
	testRoutes   = 1400
	maxTextBytes = 1 << 20
)

// randomRoute makes one route of a configuration.
func randomRoute(r *rand.Rand) string {
	return fmt.Sprintf(`{"Name":"r-%x","HostName":"h%x.example","PathPrefix":"/p%x/","RouteKind":"safe","TimeoutMs":%d,"Service":"s%x"}`, r.Uint64(), r.Uint32(), r.Uint32(), r.IntN(9999), r.Uint32())
}

// testTexts makes a large configuration, and the next one, in which one route
// changed and one was added.
func testTexts() (base, text string) {
	r := rand.New(rand.NewPCG(1, 2))
	routes := make([]string, testRoutes)
	for i := range routes {
		routes[i] = randomRoute(r)
	}
	body := func(version int) string {
		return fmt.Sprintf(`{"Version":%d,"Routes":[%s]}`, version, strings.Join(routes, ","))
	}
	base = body(1)
	routes[testRoutes/2] = randomRoute(r)
	routes = append(routes, randomRoute(r))
	return base, body(2)
}

func TestDeltaIsSmallAndExact(t *testing.T) {
	base, text := testTexts()
	compressed, err := CompressDelta(base, text)
	if err != nil || len(compressed) > 900 {
		t.Fatalf("%d bytes of %d: %v", len(compressed), len(text), err)
	}
	if got, err := DecompressDelta(base, compressed, maxTextBytes); err != nil || got != text {
		t.Fatalf("another text came back: %v", err)
	}
}

func TestDeltaOnAnotherBaseIsAnError(t *testing.T) {
	base, text := testTexts()
	compressed, err := CompressDelta(base, text)
	if err != nil {
		t.Fatal(err)
	}
	for name, other := range map[string]string{
		"no base":          "",
		"the text":         text,
		"a changed base":   strings.ReplaceAll(base, "safe", "sage"),
		"an unlike base":   "x",
		"a truncated base": base[:len(base)/2],
	} {
		if _, err := DecompressDelta(other, compressed, maxTextBytes); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestDecompressDeltaIsBounded(t *testing.T) {
	base, text := testTexts()
	compressed, err := CompressDelta(base, text)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecompressDelta(base, compressed, 10<<10); err == nil {
		t.Error("a text above the bound was returned")
	}
}

func TestDeltaWithoutBase(t *testing.T) {
	_, large := testTexts()
	for _, text := range []string{"", "x", large} {
		compressed, err := CompressDelta("", text)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecompressDelta("", compressed, maxTextBytes); err != nil || got != text {
			t.Errorf("a text of %d bytes came back as one of %d: %v", len(text), len(got), err)
		}
	}
}
