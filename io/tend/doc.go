// Package tend is the agent beside a model engine on the operations platform: it alone gives the
// engine orders, by the plan that the leading entry keeps in the store and tells it of.
package tend
