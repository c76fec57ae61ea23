// Package glade holds the value types and interfaces of indigoglade.
//
// Decision logic (routing, admission, retries, placement, moves, contract
// adoption) lives in the packages below this one as plain types that take the
// time and an event and return values. They do no I/O; the programs do it for
// them. Every service outside the process is reached through an interface of
// this package, and each of these interfaces has an in-memory implementation
// for tests.
package glade
