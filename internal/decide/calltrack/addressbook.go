package calltrack

import "slices"

// addressBook knows which listed servers have an address in common. Then the process at the address may be either's: a process that has come up at
// the address of one that has died is listed before the list takes that one out.
type addressBook struct {
	addrs   map[string][]string // of each listed server
	holders map[string][]string // ids of the servers at each address
}

func newAddressBook() addressBook {
	return addressBook{addrs: map[string][]string{}, holders: map[string][]string{}}
}

// set records the addresses of a server, none for one that is not listed any more. It returns the ids of the servers that are at an address with a
// new or former holder.
func (b *addressBook) set(id string, addrs []string) (affected []string) {
	before := b.addrs[id]
	if slices.Equal(before, addrs) {
		return nil
	}
	for _, addr := range before {
		b.holders[addr] = slices.DeleteFunc(b.holders[addr], func(o string) bool { return o == id })
		affected = append(affected, b.holders[addr]...)
		if len(b.holders[addr]) == 0 {
			delete(b.holders, addr)
		}
	}
	if len(addrs) == 0 {
		delete(b.addrs, id)
		return affected
	}
	b.addrs[id] = addrs
	for _, addr := range addrs {
		affected = append(affected, b.holders[addr]...)
		b.holders[addr] = append(b.holders[addr], id)
	}
	return affected
}

// isShared reports whether another listed server has an address of this one.
func (b *addressBook) isShared(id string) bool {
	return slices.ContainsFunc(b.addrs[id], func(addr string) bool {
		return slices.ContainsFunc(b.holders[addr], func(o string) bool { return o != id })
	})
}

// copy returns an equal addressBook.
func (b *addressBook) copy() addressBook {
	dst := newAddressBook()
	for id, addrs := range b.addrs {
		dst.set(id, addrs)
	}
	return dst
}

// allAddrs returns all addresses of a server, each once.
func (e *Entry) allAddrs() []string {
	all := []string{e.Addr}
	for _, addr := range e.Addrs {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}
