package health

// Call is an allowed call. The first of Success, Failure, Trip and Cancel settles it and ends the probe that it may be; further
// ones do nothing. An owner that defers Cancel therefore settles it on every exit, panics included.
type Call struct {
	breaker *Breaker
	settled bool // guarded by the breaker's lock
}

// Success closes the breaker.
func (c *Call) Success() {
	c.settle(func(b *Breaker) { b.failures, b.probe, b.openTime = 0, nil, minOpenTime })
}

// Failure counts a failed call.
func (c *Call) Failure() {
	c.settle((*Breaker).fail)
}

// Trip opens the breaker.
func (c *Call) Trip() {
	c.settle((*Breaker).trip)
}

// Cancel ends a call that was abandoned without a result.
func (c *Call) Cancel() {
	c.settle(func(*Breaker) {})
}

// settle applies the result of the call unless it has been settled.
func (c *Call) settle(apply func(b *Breaker)) {
	b := c.breaker
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	apply(b)
	if b.probe == c {
		b.probe = nil
	}
}
