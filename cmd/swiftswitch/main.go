// Command swiftswitch runs a node of swiftswitch and helps to operate it.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"swiftswitch/internal/node"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/transport"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitUsage  = 1
	exitBad    = 2
	exitRemote = 4
)

type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }

func main() {
	root := &cobra.Command{
		Use: "swiftswitch", Short: "A search front over sharded indexes",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCmd(), checkCmd(), configCmd(), purgeCmd(), rolloutCmd(), statusCmd(), eventsCmd())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "swiftswitch:", err)
		if e, ok := err.(exit); ok {
			os.Exit(e.code)
		}
		fmt.Fprintln(os.Stderr, "see 'swiftswitch help'")
		os.Exit(exitUsage)
	}
}

func runCmd() *cobra.Command {
	opt := host.DefaultOptions()
	var settings, dir, profile string
	var debug bool
	c := &cobra.Command{
		Use: "run", Short: "Run a node until SIGTERM", Args: cobra.MaximumNArgs(1),
		Long: "Run a node as its settings file says. The argument names the role. hut and trail follow from the settings: a node with a\ndisk keeps state, one that serves front takes clients. larder makes a node with a disk keep\ncopies of objects instead of state.\nSIGHUP reads the settings again; SIGTERM leaves in order within GraceS.",
		RunE: func(_ *cobra.Command, a []string) error {
			if len(a) > 0 {
				if !slices.Contains(host.Roles, a[0]) {
					return exit{exitUsage, fmt.Errorf("there is no role %q; roles: %s", a[0], strings.Join(host.Roles, ", "))}
				}
				opt.Role = a[0]
			}
			events.SetDebug(debug)
			if err := opt.Check(); err != nil {
				return exit{exitUsage, err}
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return exit{exitUsage, err}
				}
				if err := pprof.StartCPUProfile(f); err != nil {
					return exit{exitUsage, err}
				}
				defer pprof.StopCPUProfile()
			}
			if code := node.Run(settings, dir, opt); code != 0 {
				os.Exit(code)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&settings, "settings", config.SettingsPath(), "settings file (YAML)")
	f.StringVar(&dir, "data", "", "data directory in place of the settings' DataDirectory")
	f.StringVar(&profile, "cpu-profile", "", "write a processor profile to this file at the end")
	f.BoolVar(&debug, "debug", false, "log events of level debug too")
	f.Float64Var(&opt.FrontCacheRatio, "shelf", opt.FrontCacheRatio, "part of MemoryMb that a front's own copies may take")
	f.Float64Var(&opt.CacheNodeRatio, "larder-shelf", opt.CacheNodeRatio, "part of MemoryMb that a larder's copies may take")
	f.IntVar(&opt.MaxSlotHolders, "slots", opt.MaxSlotHolders, "R: searchers that hold a slot of one shard at most")
	f.Float64Var(&opt.LayoutSwitchWait, "switch-wait", opt.LayoutSwitchWait, "part of ConfigEffectMs for which an old cut may serve on")
	f.Float64Var(&opt.SlotLeaseHeartbeats, "lease-beats", opt.SlotLeaseHeartbeats, "a slot's lease, in heartbeats")
	f.Float64Var(&opt.HedgeAfter, "hedge-at", opt.HedgeAfter, "part of the target after which a straggler gets company")
	f.Float64Var(&opt.PartialAnswerAfter, "soft", opt.PartialAnswerAfter, "part of the target after which a partial answer is weighed")
	f.Float64Var(&opt.LateAnswerValue, "late-worth", opt.LateAnswerValue, "what a late answer is taken to be worth beside one in time")
	f.Float64Var(&opt.RetryBudgetUse, "budget-keep", opt.RetryBudgetUse, "part of the retry budget that is used at most")
	f.Float64Var(&opt.RemoteZonePenalty, "far-penalty", opt.RemoteZonePenalty, "part of the target by which a searcher in another zone must be faster")
	f.Float64Var(&opt.OverloadFactor, "crowd", opt.OverloadFactor, "how many times its slots a searcher may have to do before requests of the highest priority are refused")
	f.BoolVar(&opt.Relay, "saddle", opt.Relay, "gather shards without a searcher in this zone by way of a front in another")
	r, ch := &opt.Rollout, &opt.Rollout.Chart
	f.Float64Var(&r.CanaryRatio, "rollout-canary", r.CanaryRatio, "part of ExposureShare that goes to a new version at first")
	f.Float64Var(&r.TrialShare, "rollout-trial", r.TrialShare, "share of the requests that goes to a new version in its trial under load")
	f.Float64Var(&r.TrialAfter, "rollout-trial-at", r.TrialAfter, "part of an order's term after which the trial may begin")
	f.Float64Var(&r.MaxExposureUse, "rollout-keep", r.MaxExposureUse, "part of the exposure that canary and trial may use up")
	f.Float64Var(&r.MaxLatencyRatio, "rollout-slower", r.MaxLatencyRatio, "times the old version's latency that a new one may take")
	f.Float64Var(&r.MaxExtraFailures, "rollout-worse", r.MaxExtraFailures, "share of failures that a new version may have more than the old one")
	f.IntVar(&r.SubgroupSize, "chart-subgroup", r.SubgroupSize, "tries of a new version that are averaged at least")
	f.BoolVar(&r.ChartFailures, "chart-failures", r.ChartFailures, "chart failures and timeouts of new versions")
	f.BoolVar(&r.ChartLatency, "chart-latency", r.ChartLatency, "chart the latency of new versions")
	f.Float64Var(&ch.ReferenceValue, "chart-k", ch.ReferenceValue, "reference value of the charts, in standard errors")
	f.Float64Var(&ch.InitialLimit, "chart-start", ch.InitialLimit, "limit of the charts for a run of no subgroups")
	f.Float64Var(&ch.LimitRise, "chart-rise", ch.LimitRise, "what the limit rises by for each subgroup of a run, up to --chart-knot")
	f.IntVar(&ch.KneeRunLength, "chart-knot", ch.KneeRunLength, "run length up to which the limit rises")
	f.Float64Var(&ch.LimitFall, "chart-fall", ch.LimitFall, "slope of the limit beyond --chart-knot")
	f.BoolVar(&ch.HeadStart, "chart-head-start", ch.HeadStart, "begin the sums at half of --chart-start")
	f.Float64Var(&ch.ShewhartLimit, "chart-shewhart", ch.ShewhartLimit, "also signal at one subgroup so many standard errors out (0: off)")
	f.BoolVar(&opt.ShareUnreachable, "hearsay", opt.ShareUnreachable, "tell other fronts, by way of huts, which searchers do not answer")
	return c
}

func checkCmd() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Check a settings file or a configuration"}
	c.AddCommand(
		&cobra.Command{Use: "settings [FILE]", Short: "Check a settings file", Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, a []string) error {
			path := config.SettingsPath()
			if len(a) > 0 {
				path = a[0]
			}
			s, err := config.LoadSettings(path)
			if err != nil {
				return exit{exitBad, err}
			}
			fmt.Printf("settings of %s are good\n", s.NodeName)
			return nil
		}},
		&cobra.Command{Use: "configuration FILE", Short: "Check a configuration ('-' reads standard input)", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
			raw, err := readFile(a[0])
			if err != nil {
				return exit{exitBad, err}
			}
			conf, err := config.ParseConfiguration(raw)
			if err != nil {
				return exit{exitBad, err}
			}
			fmt.Printf("configuration %d is good: %d routes, %d services\n", conf.Version, len(conf.Routes), len(conf.Services))
			return nil
		}},
	)
	return c
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// maxResponseBytes is the size of the largest response that the commands read.
const maxResponseBytes = 64 << 20

// callNode sends one of the operator's calls; only 200 is a success.
func callNode(node, method, path string, hd map[string]string, body []byte, within time.Duration) (transport.Response, error) {
	rep, err := transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: 1, IdleTimeout: within, TCPUserTimeout: within, MaxBodyBytes: maxResponseBytes,
	}).Do(node, method, path, hd, body, within)
	if err != nil {
		return rep, exit{exitRemote, fmt.Errorf("%s can't be reached: %w; try another node", node, err)}
	}
	if rep.Status != 200 {
		return rep, exit{exitRemote, fmt.Errorf("%s answered %d: %s", node, rep.Status, rep.Body)}
	}
	return rep, nil
}

func configCmd() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Read or change the configuration"}
	var node string
	var base int64
	var within time.Duration
	c.PersistentFlags().StringVar(&node, "node", "", "address of any node (host:port of control or of the port between nodes)")
	c.PersistentFlags().DurationVar(&within, "within", 10*time.Second, "how long to wait")
	_ = c.MarkPersistentFlagRequired("node")
	call := func(method string, hd map[string]string, body []byte) (transport.Response, error) {
		return callNode(node, method, "/-/configuration", hd, body, within)
	}
	c.AddCommand(&cobra.Command{Use: "get", Short: "Print the newest configuration", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		rep, err := call("GET", nil, nil)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(rep.Body)
		return err
	}})
	change := func(use, short, method string, check func([]byte) error) {
		x := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
			raw, err := readFile(a[0])
			if err != nil {
				return exit{exitBad, err}
			}
			if err := check(raw); err != nil {
				return exit{exitBad, fmt.Errorf("%s: %w", a[0], err)}
			}
			if _, err := call(method, map[string]string{"If-Match": strconv.FormatInt(base, 10)}, raw); err != nil {
				return err
			}
			fmt.Println("acknowledged")
			return nil
		}}
		x.Flags().Int64Var(&base, "if-match", 0, "the version that this one builds on (0: the first)")
		c.AddCommand(x)
	}
	change("put FILE", "Put a whole configuration in force", "PUT", func(raw []byte) error {
		_, err := config.ParseConfiguration(raw)
		return err
	})
	change("patch FILE", "Change named items of the configuration", "PATCH", func(raw []byte) error {
		_, err := config.ParsePatch(raw)
		return err
	})
	return c
}

func purgeCmd() *cobra.Command {
	var node, host, path, tag string
	var within time.Duration
	c := &cobra.Command{Use: "purge", Short: "End the copies of an object, or of all objects with a tag", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		order := map[string]string{}
		for name, v := range map[string]string{"HostName": host, "Path": path, "Tag": tag} {
			if v != "" {
				order[name] = v
			}
		}
		raw, err := json.Marshal(order)
		if err != nil {
			return exit{exitBad, err}
		}
		if _, err := config.ParsePurgeRequest(raw); err != nil {
			return exit{exitBad, err}
		}
		if _, err := callNode(node, "POST", "/-/purge", nil, raw, within); err != nil {
			return err
		}
		fmt.Println("acknowledged")
		return nil
	}}
	f := c.Flags()
	f.StringVar(&node, "node", "", "address of any node (host:port of control or of the port between nodes)")
	f.StringVar(&host, "host", "", "host name of the object")
	f.StringVar(&path, "path", "", "path of the object")
	f.StringVar(&tag, "tag", "", "tag of the objects")
	f.DurationVar(&within, "within", 10*time.Second, "how long to wait")
	_ = c.MarkFlagRequired("node")
	return c
}

func rolloutCmd() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Move a service to another version of its searchers, or see how far that is"}
	var node string
	var within time.Duration
	c.PersistentFlags().StringVar(&node, "node", "", "address of any node (host:port of control or of the port between nodes)")
	c.PersistentFlags().DurationVar(&within, "within", 10*time.Second, "how long to wait")
	_ = c.MarkPersistentFlagRequired("node")
	show := func(path string) error {
		rep, err := callNode(node, "GET", path, nil, nil, within)
		if err != nil {
			return err
		}
		var out bytes.Buffer
		if err := json.Indent(&out, rep.Body, "", "  "); err != nil {
			return exit{exitRemote, err}
		}
		fmt.Println(out.String())
		return nil
	}
	var seconds float64
	start := &cobra.Command{Use: "start SERVICE VERSION", Short: "Order a rollout", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, a []string) error {
		raw, err := json.Marshal(config.RolloutRequest{Service: a[0], TargetVersion: a[1], DurationS: seconds})
		if err != nil {
			return exit{exitBad, err}
		}
		if _, err := config.ParseRolloutRequest(raw); err != nil {
			return exit{exitBad, err}
		}
		if _, err := callNode(node, "POST", "/-/rollouts", nil, raw, within); err != nil {
			return err
		}
		fmt.Println("acknowledged")
		return nil
	}}
	start.Flags().Float64Var(&seconds, "seconds", 0, "the term: by then it is completed or rolled back")
	_ = start.MarkFlagRequired("seconds")
	c.AddCommand(start,
		&cobra.Command{Use: "status SERVICE", Short: "Show a service's last rollout", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
			return show("/-/rollouts/" + a[0])
		}},
		&cobra.Command{Use: "list", Short: "Show the last rollout of each service", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return show("/-/rollouts")
		}},
	)
	return c
}

func statusCmd() *cobra.Command {
	var within time.Duration
	c := &cobra.Command{Use: "status ADDRESS", Short: "Show a node's state (address: host:port between nodes)", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
		b, err := node.FetchStatus(a[0], within)
		if err != nil {
			return exit{exitRemote, fmt.Errorf("%s can't be reached: %w", a[0], err)}
		}
		fmt.Println(string(b))
		return nil
	}}
	c.Flags().DurationVar(&within, "within", 5*time.Second, "how long to wait")
	return c
}

func eventsCmd() *cobra.Command {
	var markdown bool
	c := &cobra.Command{Use: "events [NUMBER]", Short: "Explain the numbered events of the log", Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, a []string) error {
		entries := events.Catalogue
		if len(a) > 0 {
			entries = slices.DeleteFunc(slices.Clone(entries), func(e events.Entry) bool {
				return "E"+strings.TrimPrefix(a[0], "E") != e.Event.String()
			})
			if len(entries) == 0 {
				return exit{exitUsage, fmt.Errorf("there is no event %s", a[0])}
			}
		}
		if markdown {
			return events.WriteMarkdown(os.Stdout, entries)
		}
		for _, e := range entries {
			fmt.Printf("%v %-25s %-5s %s\n", e.Event, e.Name, e.Level, e.Description)
		}
		return nil
	}}
	c.Flags().BoolVar(&markdown, "markdown", false, "print the catalogue as docs/events.md has it")
	return c
}
