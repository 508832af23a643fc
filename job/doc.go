// Package job implements the state machine of jobs. A job consists of steps of
// tasks, which run in order, as single tasks or as gangs, once or on a schedule. The
// package uses no clock, network or store: callers apply events to a [Progress] and
// read from it which tasks may start.
package job
