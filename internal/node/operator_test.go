package node

import (
	"testing"

	"swiftswitch/internal/nodeapi"
)

func TestRejectMethod(t *testing.T) {
	one := nodeapi.PathRollouts + "/service"
	for _, c := range []struct {
		path    string
		allowed []string
	}{
		{nodeapi.PathConfiguration, []string{"GET", "PUT", "PATCH"}},
		{nodeapi.PathPurge, []string{"POST"}},
		{nodeapi.PathRollouts, []string{"GET", "POST"}},
		{one, []string{"GET"}},
	} {
		if !isOperatorPath(c.path) {
			t.Errorf("%s is no operator's path", c.path)
		}
		allowed := map[string]bool{}
		for _, method := range c.allowed {
			allowed[method] = true
		}
		for _, method := range []string{"GET", "PUT", "PATCH", "POST", "DELETE"} {
			if reason := rejectMethod(c.path, method); (reason == "") != allowed[method] {
				t.Errorf("%s %s: %q", method, c.path, reason)
			}
		}
	}
	for _, path := range []string{"/", nodeapi.PathStatus, nodeapi.PathRollouts + "x", nodeapi.PathConfiguration + "/"} {
		if isOperatorPath(path) {
			t.Errorf("%s is an operator's path", path)
		}
	}
}
