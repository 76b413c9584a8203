// Package config reads and validates the settings file of a process (YAML) and
// the operator's requests (JSON): configurations, patches to them, purges and
// rollouts. Settings and Configuration are protobuf messages that are read
// through protojson; fields that are not known are ignored.
//
// It also computes and applies the delta between two versions of a
// configuration, by which nodes bring each other up to date.
package config

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative config.proto"
