// Package envint reads integer test parameters, such as seeds and durations, from
// environment variables.
package envint

import (
	"os"
	"strconv"
	"testing"
)

// Get returns the integer in an environment variable, or fallback if it is unset or
// empty. Any other value fails the test.
func Get(t testing.TB, name string, fallback int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return fallback
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}
