package gate

import (
	"pimentoseam/core/setup"
)

// reload puts the settings of the file in force as far as a running process can take them over.
func (g *Gate) reload() (*setup.Change, error) {
	next, err := setup.ReadGate(g.file)
	if err != nil {
		return nil, err
	}
	change := next.Replace(g.set())
	if len(change.Applied) == 0 {
		return change, nil
	}
	g.current.Store(next)
	g.store.SetAddr(next.Store)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		b.SetLimits(next.RetryRatio, next.RetrySlack)
	}
	return change, nil
}
