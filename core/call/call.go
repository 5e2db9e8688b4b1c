package call

import "time"

// Call is what a caller's request says of itself besides its method, path and body.
type Call struct {
	ID     string        // Names this attempt of the caller; empty if the caller gave none.
	Left   time.Duration // How long the caller waits from now on; 0 if it did not say.
	Model  string        // Empty for plain services.
	Prompt int           // Prompt tokens, shared parts included.
	Output int           // Most output tokens.
	Parts  []Part        // Parts of the prompt in order; the last one is the request's own.
	Last   string        // Id of the last stream event that the caller has; empty for none.
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Shared returns the parts of the prompt that other requests may share.
func (c *Call) Shared() []Part {
	if len(c.Parts) < 2 {
		return nil
	}
	return c.Parts[:len(c.Parts)-1]
}
