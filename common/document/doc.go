// Package document decodes one YAML file strictly into typed structs.
//
// Every problem is reported as an [Error] with the file, the line and the key,
// and a hint if there is one. Unknown keys, duplicate keys, aliases and values
// of the wrong kind are errors; values are never guessed.
package document
