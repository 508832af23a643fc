// Package dispatch decides which waiting tasks start on which workers now. It
// reads no clock and does no input or output.
//
// The load it answers: more work than workers for seconds on end, a mix of
// short urgent jobs, wide batch steps and gangs that need many large tasks at
// once. Steps go by the worth still to be had for a second of a core; gangs
// that do not fit reserve the workers on which they fit first, and shorter
// tasks fill the gaps until then.
package dispatch
