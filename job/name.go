package job

import (
	"strconv"
	"strings"
)

// ParseTaskName parses a name that [Job.TaskName] returned. It reports false if the
// name has another form.
func ParseTaskName(name string) (ID, Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", Task{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return "", Task{}, false
		}
		numbers[i] = n
	}
	return ID(parts[0]), Task{Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// idDigits is the number of hexadecimal digits of a job's ID.
const idDigits = 16

// ValidID reports whether id consists of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return false
		}
	}
	return true
}
