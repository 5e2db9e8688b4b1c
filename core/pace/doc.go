// Package pace learns how fast engines are from the time that prompts take.
//
// Engines of one service differ in speed, deployments have other engines than the model of package place assumes, and
// an engine may turn slow without failing. The entries on the operations platform use it for placing and admission.
package pace
