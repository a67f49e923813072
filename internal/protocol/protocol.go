// Package protocol names the protocols that servers speak and calls come in. The decision module knows them as bits
// only.
package protocol

import (
	"fmt"

	"ternbeam/choice"
)

// The protocols, one bit each.
const (
	HTTP choice.Protocols = 1 << iota
	ThriftBinary
	ThriftCompact
)

// names are those of the list of servers. One that says only thrift takes frames of either encoding.
var names = map[string]choice.Protocols{"": HTTP, "http": HTTP, "thrift": ThriftBinary | ThriftCompact,
	"thrift-binary": ThriftBinary, "thrift-compact": ThriftCompact}

// Parse returns what a server speaks by its entry in the list; without a word it is HTTP/1.1.
func Parse(name string) (choice.Protocols, error) {
	speaks, ok := names[name]
	if !ok {
		return 0, fmt.Errorf("unknown protocol %q", name)
	}
	return speaks, nil
}
