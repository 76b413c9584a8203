// Package signpost reads and checks what a process is told: its settings
// file (YAML) and the operator's configuration (JSON). Both are protobuf
// messages read through protojson. In the field's terms: configuration
// parsing and validation.
package config

//go:generate protoc --go_out=. --go_opt=paths=source_relative signpost.proto
