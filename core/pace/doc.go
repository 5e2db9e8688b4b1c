// Package pace learns how fast engines are from the time that prompts take and from the pauses between events of streams.
//
// Engines of one service differ in speed, and an engine may turn slow without failing. Package curve learns the times of the
// usual engine, to which the factors for prompts refer. The entries on the operations platform use it for placing and admission.
package pace
