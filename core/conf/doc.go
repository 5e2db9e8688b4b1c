// Package conf defines and validates the operators' configuration document.
package conf
