package ledger

import (
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// MaxHosts is the largest number of hosts in the row of the hosts.
const MaxHosts = 256

// HostsKey returns the key of the row that lists the other hosts of the cell. It is in
// the partition of the owner's row, so that a read of the one returns the other.
func HostsKey() rowstore.Key {
	return rowstore.Key{Table: TableOwner, Partition: partitionCell, Name: hostsName}
}

// EncodeHosts encodes the peer addresses of the other hosts, the owner's preferred
// successor first.
func EncodeHosts(addrs []netip.AddrPort) ([]byte, error) {
	texts := make([]string, min(len(addrs), MaxHosts))
	for i := range texts {
		texts[i] = addrs[i].String()
	}
	return msgpack.Marshal(texts)
}

// DecodeHosts decodes the row of the hosts.
func DecodeHosts(value []byte) ([]netip.AddrPort, error) {
	const op = "decode hosts"
	var texts []string
	if err := wire.Unmarshal(value, &texts); err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	if len(texts) > MaxHosts {
		return nil, fault.New(op, KindMalformed, "%d hosts; at most %d are allowed", len(texts), MaxHosts)
	}
	addrs := make([]netip.AddrPort, len(texts))
	for i, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fault.New(op, KindMalformed, "%w", err)
		}
		addrs[i] = addr
	}
	return addrs, nil
}
