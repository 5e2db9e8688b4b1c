package call

import (
	"strings"
	"time"
)

// Call holds what the headers of a caller's request state about it.
type Call struct {
	ID              string        // Attempt id that the caller gave; empty if not given.
	Remaining       time.Duration // Time until the caller's deadline; 0 if not given.
	Model           string        // Empty for plain services.
	PromptTokens    int           // Includes the shared parts.
	MaxOutputTokens int           // Maximum number of output tokens.
	Parts           []Part        // Parts of the prompt in order; only this request uses the last one.
	LastEventID     string        // Last stream event that the caller received; empty for none.
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

// Prompt returns the model and the parts of the prompt as one text, empty without a prompt.
func (c *Call) Prompt() string {
	if len(c.Parts) == 0 {
		return c.Model
	}
	fields := []string{c.Model}
	for _, p := range c.Parts {
		fields = append(fields, p.ID)
	}
	return strings.Join(fields, ",")
}

// maxLoggedParts and maxLoggedID limit what PartNames returns, since callers choose both.
const (
	maxLoggedParts = 8
	maxLoggedID    = 20
)

// PartNames returns the comma-separated ids of the prompt's shared parts, shortened for logs.
func (c *Call) PartNames() string {
	var names []string
	for _, p := range c.Shared() {
		if len(names) == maxLoggedParts {
			break
		}
		names = append(names, p.ID[:min(len(p.ID), maxLoggedID)])
	}
	return strings.Join(names, ",")
}
