package node

import (
	"testing"

	"swiftswitch/internal/config"
)

func TestIdleFrontSettings(t *testing.T) {
	like := &config.Settings{
		NodeName:        "front",
		IpAddress:       "127.0.1.254",
		Zone:            "z1",
		Region:          "r1",
		Zones:           map[string]string{"z1": "r1", "z2": "r2"},
		ListenAddresses: &config.ListenAddresses{FrontAddress: "127.0.1.254:80", ReadinessAddress: "127.0.1.254:81"},
	}
	got, err := idleFrontSettings(like, 3, "z2")
	if err != nil {
		t.Fatal(err)
	}
	// The address is counted up over the end of the last byte.
	if got.NodeName != "front-3" || got.IpAddress != "127.0.2.1" || got.Zone != "z2" || got.Region != "r2" {
		t.Errorf("%v", got)
	}
	if got.ListenAddresses.FrontAddress != "127.0.2.1:80" || got.ListenAddresses.ReadinessAddress != "127.0.2.1:81" {
		t.Errorf("%v", got.ListenAddresses)
	}
	if like.IpAddress != "127.0.1.254" || like.ListenAddresses.FrontAddress != "127.0.1.254:80" {
		t.Errorf("the settings given were changed: %v", like)
	}
	for _, invalid := range []*config.Settings{
		{IpAddress: "::1", ListenAddresses: like.ListenAddresses},
		{IpAddress: "127.0.0.1", ListenAddresses: &config.ListenAddresses{FrontAddress: "no port", ReadinessAddress: "127.0.0.1:81"}},
	} {
		if _, err := idleFrontSettings(invalid, 0, "z1"); err == nil {
			t.Errorf("no error for %v", invalid)
		}
	}
}
