// Package oper implements the program's commands, one per file.
package oper
