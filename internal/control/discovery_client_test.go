package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/transport"
)

// newTestDiscovery serves pages by their tokens, with the token of the next
// page, and returns a client of it. A missing page is answered with 404.
func newTestDiscovery(t *testing.T, pages map[string]string) discoveryClient {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page, ok := pages[r.URL.Query().Get("PageToken")]
		if !ok || r.URL.Path != "/instances" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(page))
	}))
	t.Cleanup(platform.Close)
	settings := &config.Settings{
		CloudApi: &config.CloudAPI{Address: platform.Listener.Addr().String()},
		Bounds:   &config.Bounds{DrainMs: 20_000},
	}
	client := transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: 1,
		IdleTimeout:    time.Second,
		TCPUserTimeout: time.Second,
		MaxBodyBytes:   1 << 20,
	})
	return discoveryClient{settings: func() *config.Settings { return settings }, client: client}
}

// All pages are read; what is listed twice counts once, as it was listed first.
func TestFetchInstances(t *testing.T) {
	client := newTestDiscovery(t, map[string]string{
		"": `{"Instances": [
			{"InstanceId": "a", "Service": "s", "Address": "127.0.0.1:1", "Zone": "z", "Version": "v", "Slots": 2, "State": "ready", "ColdRemainingMs": 0.5},
			{"InstanceId": "", "Service": "s"}
		], "NextPageToken": "second & last"}`,
		"second & last": `{"Instances": [
			{"InstanceId": "a", "Service": "other", "State": "draining"},
			{"InstanceId": "b", "Service": "s", "Address": "127.0.0.1:2", "State": "draining"}
		], "NextPageToken": ""}`,
	})
	got, err := client.fetchInstances()
	want := []endpoints.Endpoint{
		{ID: "a", Service: "s", Addr: "127.0.0.1:1", Zone: "z", Version: "v", Slots: 2, WarmingUp: true},
		{ID: "b", Service: "s", Addr: "127.0.0.1:2", Draining: true},
	}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}

// A list of which one page can't be read counts for nothing.
func TestFetchInstancesFails(t *testing.T) {
	t.Run("page missing", func(t *testing.T) {
		client := newTestDiscovery(t, map[string]string{"": `{"Instances": [{"InstanceId": "a"}], "NextPageToken": "x"}`})
		list, err := client.fetchInstances()
		if status := (*transport.StatusError)(nil); list != nil || !errors.As(err, &status) || status.Status != http.StatusNotFound {
			t.Errorf("%+v, %v", list, err)
		}
	})
	t.Run("page unreadable", func(t *testing.T) {
		client := newTestDiscovery(t, map[string]string{"": `{"Instances": [{"InstanceId": "a"}`})
		list, err := client.fetchInstances()
		if syntax := (*json.SyntaxError)(nil); list != nil || !errors.As(err, &syntax) {
			t.Errorf("%+v, %v", list, err)
		}
	})
	t.Run("no last page", func(t *testing.T) {
		client := newTestDiscovery(t, map[string]string{"": `{"NextPageToken": "x"}`, "x": `{"NextPageToken": "x"}`})
		if list, err := client.fetchInstances(); list != nil || !errors.Is(err, errTooManyDiscoveryPages) {
			t.Errorf("%+v, %v", list, err)
		}
	})
}
