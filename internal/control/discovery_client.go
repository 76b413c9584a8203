package control

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/transport"
)

const (
	// discoveryPath is the path of the platform's discovery API.
	discoveryPath = "/instances"
	// maxDiscoveryPages bounds one reading of the instances, so that a page
	// token that never ends does not hold the poller.
	maxDiscoveryPages = 1000
	// discoveryTimeoutRatio, of DrainMs, bounds the reading of one page.
	discoveryTimeoutRatio = 0.25
	// instanceReady is the state of an instance that takes new requests.
	instanceReady = "ready"
)

var errTooManyDiscoveryPages = errors.New("the list has no end")

// DiscoveryPage is one page of the platform's discovery API.
type DiscoveryPage struct {
	Instances []DiscoveryInstance `json:"Instances"`
	// NextPageToken asks for the next page; it is nil or empty on the last one.
	NextPageToken *string `json:"NextPageToken"`
}

// DiscoveryInstance is an instance of a service as the platform lists it.
type DiscoveryInstance struct {
	InstanceID string `json:"InstanceId"`
	Service    string `json:"Service"`
	Address    string `json:"Address"`
	Zone       string `json:"Zone"`
	Version    string `json:"Version"`
	// Slots is how many requests the instance handles at once.
	Slots int    `json:"Slots"`
	State string `json:"State"`
	// ColdRemainingMs is for how long the instance still warms up, in milliseconds.
	ColdRemainingMs float64 `json:"ColdRemainingMs"`
}

func (i DiscoveryInstance) endpoint() endpoints.Endpoint {
	return endpoints.Endpoint{
		ID:        i.InstanceID,
		Service:   i.Service,
		Addr:      i.Address,
		Zone:      i.Zone,
		Version:   i.Version,
		Slots:     i.Slots,
		Draining:  i.State != instanceReady,
		WarmingUp: i.ColdRemainingMs > 0,
	}
}

// discoveryClient reads the platform's discovery API.
type discoveryClient struct {
	settings func() *config.Settings
	client   *transport.Client
}

// fetchInstances reads all pages. An instance that is listed twice, because the
// list changed between two pages, is taken as it was listed first.
func (c discoveryClient) fetchInstances() ([]endpoints.Endpoint, error) {
	var list []endpoints.Endpoint
	token := ""
	seen := map[string]bool{}
	for range maxDiscoveryPages {
		page, err := c.fetchPage(token)
		if err != nil {
			return nil, err
		}
		for _, instance := range page.Instances {
			if instance.InstanceID == "" || seen[instance.InstanceID] {
				continue
			}
			seen[instance.InstanceID] = true
			list = append(list, instance.endpoint())
		}
		if page.NextPageToken == nil || *page.NextPageToken == "" {
			return list, nil
		}
		token = *page.NextPageToken
	}
	return nil, errTooManyDiscoveryPages
}

// fetchPage reads the page with this token; an empty token stands for the first.
func (c discoveryClient) fetchPage(token string) (page DiscoveryPage, err error) {
	path := discoveryPath
	if token != "" {
		path += "?PageToken=" + url.QueryEscape(token)
	}
	settings := c.settings()
	timeout := config.Milliseconds(settings.Bounds.DrainMs, discoveryTimeoutRatio)
	response, err := c.client.Do(settings.CloudApi.Address, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return page, err
	}
	if err := response.Err(); err != nil {
		return page, err
	}
	err = json.Unmarshal(response.Body, &page)
	return page, err
}
