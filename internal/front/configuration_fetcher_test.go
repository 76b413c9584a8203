package front

import (
	"errors"
	"testing"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"
)

// A configuration is taken whole, or as a delta to the very one that is held.
func TestDecodeConfiguration(t *testing.T) {
	whole := codec.Gzip([]byte(`{"Version":7,"Services":[{"Name":"a"}]}`))
	delta := codec.Gzip([]byte(`{"Version":8,"Services":[{"Name":"b"}]}`))
	held := &fetchedConfiguration{configuration: &config.Configuration{Version: 7, Services: []*config.Service{{Name: "a"}}}}
	for name, c := range map[string]struct {
		newest   *fetchedConfiguration
		response nodeapi.VersionResponse
		packed   []byte
		services int
		err      error
	}{
		"whole":                  {response: nodeapi.VersionResponse{Version: 7}, packed: whole, services: 1},
		"delta":                  {newest: held, response: nodeapi.VersionResponse{Version: 8, BaseVersion: 7}, packed: delta, services: 2},
		"delta without a base":   {response: nodeapi.VersionResponse{Version: 8, BaseVersion: 7}, packed: delta, err: errUnknownBase},
		"delta to another base":  {newest: held, response: nodeapi.VersionResponse{Version: 8, BaseVersion: 6}, packed: delta, err: errUnknownBase},
		"another than announced": {response: nodeapi.VersionResponse{Version: 9}, packed: whole, err: errVersionMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			f := &configurationFetcher{host: newTestHost(t, 0), newest: c.newest}
			got, err := f.decode(&c.response, c.packed)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && (got.configuration.Version != c.response.Version || len(got.configuration.Services) != c.services) {
				t.Errorf("version %d with %d services", got.configuration.Version, len(got.configuration.Services))
			}
		})
	}
	if len(held.configuration.Services) != 1 {
		t.Error("a delta changed the configuration held")
	}
	f := &configurationFetcher{host: newTestHost(t, 0)}
	if _, err := f.decode(&nodeapi.VersionResponse{Version: 7}, []byte("not packed")); err == nil {
		t.Error("garbage was accepted")
	}
}
