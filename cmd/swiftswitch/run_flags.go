package main

import (
	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
	"swiftswitch/internal/rollout"

	"github.com/spf13/pflag"
)

// Each function adds the flags of one concern. The aliases are the names of
// earlier versions, which deploy files and scripts may still hold.

func (r *runCommand) addProcessFlags(flags *pflag.FlagSet) {
	flags.StringVar(&r.settingsPath, "settings", config.SettingsPath(), "settings file (YAML)")
	flags.StringVar(&r.dataDirectory, "data", "", "data directory in place of the settings' DataDirectory")
	flags.StringVar(&r.cpuProfile, "cpu-profile", "", "write a processor profile to this file at the end")
	flags.IntVar(&r.options.MetricsPort, "metrics-port", r.options.MetricsPort, "port at which the node tells its metrics, under /metrics (0: none)")
	flags.BoolVar(&r.debug, "debug", false, "log events of level debug too")
}

func addCacheFlags(flags *pflag.FlagSet, o *host.Options) {
	flags.Float64Var(&o.FrontCacheRatio, "front-cache-ratio", o.FrontCacheRatio, "part of MemoryMb that a front's own cache may take")
	flags.Float64Var(&o.CacheNodeRatio, "cache-node-ratio", o.CacheNodeRatio, "part of MemoryMb that the cache of a cache node may take")

	addDeprecated(flags, "shelf", "front-cache-ratio")
	addDeprecated(flags, "larder-shelf", "cache-node-ratio")
}

func addShardFlags(flags *pflag.FlagSet, o *host.Options) {
	flags.IntVar(&o.MaxSlotHolders, "max-slot-holders", o.MaxSlotHolders, "R: endpoints that hold a slot of one shard at most")
	flags.Float64Var(&o.LayoutSwitchWait, "layout-switch-wait", o.LayoutSwitchWait, "part of ConfigEffectMs for which an old shard layout may serve on")
	flags.Float64Var(&o.SlotLeaseHeartbeats, "slot-lease-heartbeats", o.SlotLeaseHeartbeats, "duration of a slot's lease, in heartbeat intervals")

	addDeprecated(flags, "slots", "max-slot-holders")
	addDeprecated(flags, "switch-wait", "layout-switch-wait")
	addDeprecated(flags, "lease-beats", "slot-lease-heartbeats")
}

func addRequestFlags(flags *pflag.FlagSet, o *host.Options) {
	flags.Float64Var(&o.RetryBudgetUse, "retry-budget-use", o.RetryBudgetUse, "part of the retry budget that is used at most")
	flags.BoolVar(&o.ShareUnreachable, "share-unreachable", o.ShareUnreachable, "tell other fronts, through the control nodes, which endpoints do not answer")

	addDeprecated(flags, "budget-keep", "retry-budget-use")
	addDeprecated(flags, "hearsay", "share-unreachable")
	for _, name := range []string{"hedge-after", "hedge-at"} {
		addWithdrawn(flags, name, "a hedged request is sent at the 95th percentile of the latency")
	}
	for _, name := range []string{"partial-answer-after", "soft", "late-answer-value", "late-worth"} {
		addWithdrawn(flags, name, "a partial answer is given once the missing shards are silent")
	}
	for _, name := range []string{"overload-factor", "crowd"} {
		addWithdrawn(flags, name, "requests are rejected by the wait that is expected")
	}
}

func addZoneFlags(flags *pflag.FlagSet, o *host.Options) {
	flags.Float64Var(&o.RemoteZonePenalty, "remote-zone-penalty", o.RemoteZonePenalty, "how many times its service's median latency an endpoint of another region must be faster to be preferred")
	flags.BoolVar(&o.Relay, "relay", o.Relay, "gather shards without an endpoint in this zone through a front of another")

	addDeprecated(flags, "far-penalty", "remote-zone-penalty")
	addDeprecated(flags, "saddle", "relay")
}

func addRolloutFlags(flags *pflag.FlagSet, o *rollout.Options) {
	flags.Float64Var(&o.CanaryRatio, "rollout-canary-ratio", o.CanaryRatio, "part of ExposureShare that goes to a new version at first")
	flags.Float64Var(&o.TrialShare, "rollout-trial-share", o.TrialShare, "share of the requests that goes to a new version in its trial under load")
	flags.Float64Var(&o.TrialAfter, "rollout-trial-after", o.TrialAfter, "part of a rollout's duration after which the trial may begin")
	flags.Float64Var(&o.MaxExposureUse, "rollout-max-exposure-use", o.MaxExposureUse, "part of the exposure that canary and trial may use up")
	flags.Float64Var(&o.MaxLatencyRatio, "rollout-max-latency-ratio", o.MaxLatencyRatio, "how many times the old version's latency a new one may take")
	flags.Float64Var(&o.MaxExtraFailures, "rollout-max-extra-failures", o.MaxExtraFailures, "share of failures that a new version may have more than the old one")

	addDeprecated(flags, "rollout-canary", "rollout-canary-ratio")
	addDeprecated(flags, "rollout-trial", "rollout-trial-share")
	addDeprecated(flags, "rollout-trial-at", "rollout-trial-after")
	addDeprecated(flags, "rollout-keep", "rollout-max-exposure-use")
	addDeprecated(flags, "rollout-slower", "rollout-max-latency-ratio")
	addDeprecated(flags, "rollout-worse", "rollout-max-extra-failures")
}

func addChartFlags(flags *pflag.FlagSet, o *rollout.Options) {
	flags.IntVar(&o.SubgroupSize, "chart-subgroup-size", o.SubgroupSize, "attempts at a new version that are averaged at least")
	flags.BoolVar(&o.ChartFailures, "chart-failures", o.ChartFailures, "chart failures and time-outs of new versions")
	flags.BoolVar(&o.ChartLatency, "chart-latency", o.ChartLatency, "chart the latency of new versions")

	chart := &o.Chart
	flags.Float64Var(&chart.ReferenceValue, "chart-reference-value", chart.ReferenceValue, "reference value k of the CUSUM charts, in standard errors")
	flags.Float64Var(&chart.InitialLimit, "chart-initial-limit", chart.InitialLimit, "limit of the charts for a run of no subgroups, in standard errors")
	flags.Float64Var(&chart.LimitRise, "chart-limit-rise", chart.LimitRise, "what the limit rises by for each subgroup of a run, up to --chart-knee-run-length")
	flags.IntVar(&chart.KneeRunLength, "chart-knee-run-length", chart.KneeRunLength, "run length, in subgroups, up to which the limit rises")
	flags.Float64Var(&chart.LimitFall, "chart-limit-fall", chart.LimitFall, "slope of the limit beyond --chart-knee-run-length")
	flags.BoolVar(&chart.HeadStart, "chart-head-start", chart.HeadStart, "begin the sums at half of --chart-initial-limit")
	flags.Float64Var(&chart.ShewhartLimit, "chart-shewhart-limit", chart.ShewhartLimit, "also signal at one subgroup so many standard errors out (0: off)")

	addDeprecated(flags, "chart-subgroup", "chart-subgroup-size")
	addDeprecated(flags, "chart-k", "chart-reference-value")
	addDeprecated(flags, "chart-start", "chart-initial-limit")
	addDeprecated(flags, "chart-rise", "chart-limit-rise")
	addDeprecated(flags, "chart-knot", "chart-knee-run-length")
	addDeprecated(flags, "chart-fall", "chart-limit-fall")
	addDeprecated(flags, "chart-shewhart", "chart-shewhart-limit")
}
