// Package envint reads the seeds and lengths of long tests from the environment.
package envint

import (
	"os"
	"strconv"
	"testing"
)

// Get returns the number in a variable, or usual if it is not set.
func Get(t testing.TB, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}
