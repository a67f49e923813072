// Package deploy holds the sample configurations, for the demo and for tests.
package deploy

import _ "embed"

// Thrift is the sample of a Thrift service's configuration.
//
//go:embed thrift.toml
var Thrift string

// Peers is the sample of how agents share lists.
//
//go:embed peers.toml
var Peers string

// Translate is the sample of shapes and mappings.
//
//go:embed translate.toml
var Translate string
