package gate

import (
	"pimentoseam/core/setup"
)

// reload reads the settings file and applies the settings that can change in a running process.
func (g *Gate) reload() (*setup.Change, error) {
	next, err := setup.ReadGate(g.file.Path())
	if err != nil {
		return nil, err
	}
	change := next.KeepFixed(g.settings())
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
