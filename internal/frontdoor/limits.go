package frontdoor

// Limits are the resources that this gateway may use. The number of connections and the memory for the data on them
// follow from them.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; may be a fraction
	MemoryMB int64   `json:"memory_mb"` // units of 1 MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Clients and backends may each use 5/12 of the file descriptors, and clients another 1/16 while most of their
// connections have requests. The remaining 5/48 are for the listener, discovery and files.

// The runtime's soft limit is three quarters of the memory. The last quarter is for garbage that the collector is late to
// free, and for what it doesn't know: the program itself and the C library.
//
// Half of the memory is for clients: their connections, and the data that an account limits. The rest of the soft limit
// is for the gateway's state and lists, and for garbage.
//
// Clients' connections may use at most 7/8 of the clients' memory. If there is too little for as many connections as the
// file descriptors allow, there are fewer.

// connectionMemory is the memory for one connection of a client, in bytes: its buffers and stacks in the HTTP server, a
// request without a long head, an attempt with its connection to a backend, and small buffers for the two bodies. What is
// longer is reserved in the account.
const connectionMemory = 36 << 10

// GoMemory returns the soft limit on the memory of the Go runtime, in bytes.
func (l Limits) GoMemory() int64 { return l.MemoryMB << 20 / 4 * 3 }

// clientMemory returns the memory for the connections of clients and the data on them, in bytes.
func (l Limits) clientMemory() int64 { return l.MemoryMB << 20 / 2 }

// dataMemory returns the limit of the account for the data of requests and responses, in bytes.
func (l Limits) dataMemory() int64 {
	return l.clientMemory() - int64(l.maxOpenClientConns())*connectionMemory
}

// maxClientConns returns how many connections of clients are kept, and how many of their requests may be in progress.
// Concurrent requests need at most a third of the file descriptors; the rest of the 5/12 is for the idle connections of
// clients that send requests only occasionally.
func (l Limits) maxClientConns() int {
	const keptShare = (5.0 / 12) / (5.0/12 + 1.0/16) // of all open connections
	return max(1, min(l.Sockets*5/12, int(float64(l.affordableClientConns())*keptShare)))
}

// maxLongRequests returns how many requests may be in progress when one with a body that is not small begins, itself
// included: seven eighths of all, so that clients with long requests leave some to those with small ones. That is still
// more than a third of the file descriptors.
func (l Limits) maxLongRequests() int { return max(1, l.maxClientConns()*7/8) }

// maxOpenClientConns returns how many connections of clients may be open, including those on which requests are only
// rejected.
func (l Limits) maxOpenClientConns() int {
	return max(1, min(l.Sockets*5/12+l.Sockets/16, l.affordableClientConns()))
}

// affordableClientConns returns how many connections of clients there is memory for.
func (l Limits) affordableClientConns() int {
	return int(l.clientMemory() / 8 * 7 / connectionMemory)
}

// maxBackendConns returns how many connections to backends may be open, including idle ones and those being
// established.
func (l Limits) maxBackendConns() int { return max(1, l.Sockets*5/12) }
