// Package job holds jobs: steps of tasks that run in order, alone or as gangs,
// once or at set times. It is a state machine without clock, network or store:
// events go in, and what may start comes out.
package job
