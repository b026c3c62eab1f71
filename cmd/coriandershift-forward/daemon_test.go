package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestAChangedSettingsFileIsNoticed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.hujson")
	write := func(text string, at time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Unix(1_800_000_000, 0)
	missing := stateOf(path)
	write("{}", start)
	first := stateOf(path)
	if first == missing {
		t.Error("a file that appears is not noticed")
	}
	if stateOf(path) != first {
		t.Error("a file that stays as it is seems to change")
	}
	write("{ }", start)
	if stateOf(path) == first {
		t.Error("another length is not noticed")
	}
	write("[]", start.Add(time.Second))
	if stateOf(path) == first {
		t.Error("another time is not noticed")
	}
}
