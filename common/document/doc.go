// Package document decodes one YAML file strictly into typed structs.
//
// Every fault is an [Error] that names the file, the line and the key, with a
// hint where one can be given. Unknown keys, duplicate keys, aliases and
// values of the wrong kind are faults; nothing is guessed.
package document
