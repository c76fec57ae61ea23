// Package glade holds the value types and interfaces of indigoglade.
//
// Decisions (route, admit, retry, place, move, adopt a contract) are plain
// types in the packages below this one. They take the time and an event and
// return values. Programs are thin shells around them. Everything that crosses
// a process boundary is met through an interface of this package, and each
// interface has an in-memory twin for tests.
package glade
