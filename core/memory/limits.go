package memory

// The shares of the VM's memory. What they leave is for the program's pages, the stacks of the runtime, garbage that has
// not been collected yet and kernel buffers beyond those that are charged to connections.
const (
	budgetShare  = 0.45 // What connections, heads, bodies and responses may hold together.
	runtimeShare = 0.65 // The runtime's limit: the budget, the process's own state, and room for garbage.
)

// The shares of the budget that one kind may hold. Small requests always find the rest, which no other kind can take.
const (
	largeBodyShare  = 0.50
	newLargeShare   = 0.25 // Large bodies of connections that have not completed a request yet.
	headShare       = 0.40
	connectionShare = 0.35
)

const (
	// bytesPerMegabyte is the smaller reading of the setting's unit, as the platform may count in either.
	bytesPerMegabyte = 1_000_000

	// ReceiveBuffer and SendBuffer are the socket buffers of a caller's connection in bytes. The kernel takes up to twice
	// that, with its own bookkeeping. A window of 32 KiB takes a body of 4 MiB in 0.7 s at a round trip of 5 ms.
	ReceiveBuffer = 32 << 10
	SendBuffer    = 32 << 10

	// connectionCost is what an open connection holds: half of its receive buffer in the kernel, and the stack, the buffers and the
	// objects of its goroutine. Measured with 300 connections that stop within a head of 16 KB, the largest of these: 53 KB each.
	connectionCost = ReceiveBuffer/2 + 24<<10
	// requestCost is what a request in progress holds besides its head and body: the send buffer in the kernel, the
	// stacks and buffers of the exchange, and the connection to the upstream.
	requestCost = 64 << 10
	// fieldCost is what one field of a head costs: some 200 bytes in the map of the parsed head, and as much in the copy
	// that is forwarded.
	fieldCost = 400
	// headCopies is how often the bytes of a head are held: as received, parsed, and as forwarded.
	headCopies = 3
	// smallBody is the largest body in bytes that counts as small; such a body can't be refused for large ones.
	smallBody = 64 << 10
	// smallNeed is the largest need in bytes for which connections without a request in progress give way: a small body, or a
	// head of some 4 KB with 50 fields. Larger needs would close many ordinary connections.
	smallNeed = requestCost + 64<<10

	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// filesPerConnection is the number of descriptors of a caller's connection: its own and that of an upstream's.
	filesPerConnection = 2
)

// limits are the bounds of a Budget; 0 stands for none.
type limits struct {
	total       int64 // In bytes, like the next three.
	largeBodies int64
	newLarge    int64
	heads       int64
	connections int // Number of open connections.
}

// newLimits returns the limits of a VM with the given memory in megabytes and descriptors, 0 for no bound.
func newLimits(megabytes, files int64) limits {
	var l limits
	if megabytes > 0 {
		total := budgetShare * float64(megabytes*bytesPerMegabyte)
		l.total = int64(total)
		l.largeBodies = int64(largeBodyShare * total)
		l.newLarge = int64(newLargeShare * total)
		l.heads = int64(headShare * total)
		l.connections = max(1, int(connectionShare*total/connectionCost))
	}
	if files > 0 {
		byFiles := max(1, int(files-reservedFiles)/filesPerConnection)
		if l.connections == 0 || byFiles < l.connections {
			l.connections = byFiles
		}
	}
	return l
}

// RuntimeLimit returns the limit in bytes of the runtime's memory in a VM with the given memory in megabytes.
func RuntimeLimit(megabytes int64) int64 {
	return int64(runtimeShare * float64(megabytes*bytesPerMegabyte))
}

// HeadSize returns what a request with the given head holds until its response is complete, without its body.
func HeadSize(fields, bytes int) int64 {
	return requestCost + int64(fields)*fieldCost + int64(bytes)*headCopies
}
