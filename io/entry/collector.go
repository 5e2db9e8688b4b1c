package entry

import "sync/atomic"

const (
	// maxBufferedBytes is the maximum size in bytes of an answer that is not streamed.
	maxBufferedBytes = 8 << 20
	// maxCollectedBytes limits the bytes of all answers that are being collected, so that upstreams that send without end don't use
	// up the memory. Answers of up to freeBytes are collected beyond it, as nearly all are.
	maxCollectedBytes = 64 << 20
	freeBytes         = 64 << 10
)

// collectedBytes are the bytes of all answers that are being collected.
var collectedBytes atomic.Int64

// collector collects an answer in memory.
type collector struct {
	body []byte
}

// add appends bytes to the answer; its error is a *tooLargeError.
func (c *collector) add(p []byte) error {
	size := len(c.body) + len(p)
	if size > maxBufferedBytes || (size > freeBytes && collectedBytes.Load()+int64(len(p)) > maxCollectedBytes) {
		return &tooLargeError{}
	}
	collectedBytes.Add(int64(len(p)))
	c.body = append(c.body, p...)
	return nil
}

// drop releases the memory of the answer.
func (c *collector) drop() {
	collectedBytes.Add(-int64(len(c.body)))
	c.body = nil
}
