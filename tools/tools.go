// Package tools pins the programs that the checks use; see the tool lines of
// its go.mod.
package tools
