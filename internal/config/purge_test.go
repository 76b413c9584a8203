package config

import "testing"

// An empty request stands for an error.
func TestParsePurgeRequest(t *testing.T) {
	for raw, want := range map[string]PurgeRequest{
		`{"HostName":"a.example","Path":"/x/1"}`: {HostName: "a.example", Path: "/x/1"},
		`{"Tag":"t1","New":1}`:                   {Tag: "t1"},
		`{}`:                                     {},
		`{"Tag":"t1","HostName":"a","Path":"/"}`: {},
		`{"HostName":"a.example"}`:               {},
		`{"HostName":"a.example","Path":"x"}`:    {},
		`{"Tag":""}`:                             {},
		`{"Tag":7}`:                              {},
		`nonsense`:                               {},
		`{"HostName":"a.example","Path":"/x/1"} {"a":1}`: {},
	} {
		t.Run(raw, func(t *testing.T) {
			got, err := ParsePurgeRequest([]byte(raw))
			if got != want || (err == nil) != (want != PurgeRequest{}) {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}
