package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
)

// configurationTimeoutRatio is the part of ConfigEffectMs that one fetch may take.
const configurationTimeoutRatio = 0.3

var (
	errUnknownBase     = errors.New("delta to a configuration that is not held")
	errVersionMismatch = errors.New("configuration of another version than announced")
)

// configurationFetcher fetches the configuration that a control node announced,
// as a delta to the one held where the control node can make it. Several
// watchers may call fetch at once; one of them fetches.
type configurationFetcher struct {
	host     *host.Host
	loop     *commandloop.Loop
	progress *progressTracker
	layouts  *layoutController
	// busy guards the rest of fetch.
	busy atomic.Bool
	// newest is the newest configuration fetched, the base of the next delta;
	// nil before the first.
	newest *fetchedConfiguration
}

// fetchedConfiguration is a configuration, and what it asks for that this program
// does not do.
type fetchedConfiguration struct {
	configuration *config.Configuration
	unsupported   []string
}

// fetch brings the newest configuration from a control node and hands it to the
// layout controller. It returns at once if a fetch is under way.
func (f *configurationFetcher) fetch(ip string) {
	if !f.busy.CompareAndSwap(false, true) {
		return
	}
	defer f.busy.Store(false)
	start := time.Now()
	request := nodeapi.VersionRequest{}
	if f.newest != nil {
		request.Version = f.newest.configuration.Version
	}
	timeout := config.Milliseconds(f.host.Settings().Bounds.ConfigEffectMs, configurationTimeoutRatio)
	reply, err := f.host.Client.Do(f.host.Settings().InternalAddress(ip), http.MethodPost, nodeapi.PathVersion, nil, codec.MustEncode("version request", request), timeout)
	if err != nil || reply.Status != http.StatusOK {
		return
	}
	var response nodeapi.VersionResponse
	if json.Unmarshal([]byte(reply.Header(nodeapi.HeaderVersion)), &response) != nil || response.Version <= f.progress.load().version {
		return
	}
	fetched, err := f.decode(&response, reply.Body)
	if errors.Is(err, errUnknownBase) {
		return
	}
	if err != nil {
		events.Log(events.MessageRejected, "from", ip, "version", response.Version, "err", err)
		return
	}
	f.newest = fetched
	f.loop.Call(func() { f.layouts.setConfiguration(response, fetched, time.Since(start)) })
}

// decode reads a configuration, and applies it to the one held if it is a
// delta. Large ones take a while, so this does not run on the loop.
func (f *configurationFetcher) decode(response *nodeapi.VersionResponse, packed []byte) (*fetchedConfiguration, error) {
	raw, err := codec.Gunzip(packed, f.host.MaxMessageBytes())
	if err != nil {
		return nil, err
	}
	configuration, err := config.DecodeConfiguration(raw)
	if err != nil {
		return nil, err
	}
	fetched := &fetchedConfiguration{configuration, config.Unsupported(raw)}
	if response.BaseVersion > 0 {
		if f.newest == nil || f.newest.configuration.Version != response.BaseVersion {
			return nil, errUnknownBase
		}
		items := config.ItemChanges{Lists: response.Lists, Removed: response.Removed}
		if items.Lists == nil {
			items.Lists = config.ListsOfEarlierVersions
		}
		fetched.configuration = f.newest.configuration.ApplyDelta(configuration, items)
		fetched.unsupported = config.UnsupportedAfterDelta(f.newest.unsupported, fetched.unsupported, items)
	}
	if fetched.configuration.Version != response.Version {
		return nil, fmt.Errorf("%w: %d", errVersionMismatch, fetched.configuration.Version)
	}
	return fetched, nil
}
