// Package version holds the version of all programs.
package version

// Number is the version, by semantic versioning.
const Number = "0.1.0"
