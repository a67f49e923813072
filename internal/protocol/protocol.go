// Package protocol names the protocols of calls and servers. The decision module knows them only as bits.
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

// names maps protocol names in the list of servers. A server with the name "thrift" accepts frames in both encodings.
var names = map[string]choice.Protocols{"": HTTP, "http": HTTP, "thrift": ThriftBinary | ThriftCompact,
	"thrift-binary": ThriftBinary, "thrift-compact": ThriftCompact}

// Parse returns the protocols for the name in a server's list entry. An empty name means HTTP/1.1.
func Parse(name string) (choice.Protocols, error) {
	protocols, ok := names[name]
	if !ok {
		return 0, fmt.Errorf("unknown protocol %q", name)
	}
	return protocols, nil
}
