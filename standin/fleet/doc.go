// Package fleet is a small stand-in for the users' workers and the runners on
// them. A worker starts whatever it is given, whether it fits or not, and can
// misbehave on purpose.
//
// How long a task runs and how large its answer is are told by the request's
// body, see [Work]. The answer is a function of the request's key and body, see
// [Answer], so that a wrong or partial one can be told.
package fleet
