//go:build review

package main

// cases has the cases by their names.
var cases = map[string]func(){}
