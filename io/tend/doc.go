// Package tend runs the agent of a model engine on the operations platform. Only the agent sends orders to its
// engine; it follows the plan that the leader keeps in the store and announces in notices.
package tend
