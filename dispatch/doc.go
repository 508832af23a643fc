// Package dispatch decides which waiting tasks start on which workers now. It
// reads no clock and does no input or output.
//
// It is designed for periods of several seconds in which demand exceeds the
// capacity of the workers, with a mix of short urgent jobs, wide batch steps and
// gangs that start many large tasks at once. Steps are ordered by the value they
// still yield for each core second. A gang that does not fit now reserves the
// workers on which it will fit soonest, and shorter tasks fill the gaps until its
// start.
package dispatch
