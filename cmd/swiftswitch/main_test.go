package main

import (
	"errors"
	"strings"
	"testing"
)

// Nonsense on the command line is a usage error that names the option.
func TestNonsenseOptions(t *testing.T) {
	for _, args := range [][]string{
		{"--slots", "0"}, {"--slots", "-3"}, {"--switch-wait", "0.9"}, {"--soft", "0"}, {"--soft", "1.5"},
		{"--late-worth", "-1"}, {"--budget-keep", "1.2"}, {"--budget-keep", "NaN"}, {"--hedge-at", "-0.5"}, {"--shelf", "2"}, {"cabin"},
		{"--chart-k", "-1"}, {"--chart-start", "NaN"}, {"--chart-subgroup", "0"}, {"--rollout-canary", "0"}, {"--rollout-keep", "1"},
		{"--rollout-slower", "0.5"}, {"--chart-latency=false", "--chart-failures=false"},
	} {
		c := runCmd()
		c.SilenceErrors, c.SilenceUsage = true, true
		c.SetArgs(args)
		var e exit
		if err := c.Execute(); !errors.As(err, &e) || e.code != exitUsage || !strings.Contains(err.Error(), strings.TrimSuffix(strings.TrimPrefix(args[0], "--"), "=false")) {
			t.Errorf("%v: %v", args, err)
		}
	}
}
