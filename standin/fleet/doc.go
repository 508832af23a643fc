// Package fleet is a small stand-in for the users' workers and the runners on
// them. A worker starts every task that it is given, even if the task exceeds its
// capacity, and injects faults on request.
//
// The body of a request sets how long the task runs and how large its answer is,
// see [Work]. The answer is a function of the request's key and body, see
// [Answer], so that tests can detect a wrong or partial answer.
package fleet
