package logbuf_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/coriandershift/coriandershift/internal/transport/logbuf"
)

// stuck is a writer that never returns until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	b := logbuf.New(&out)
	for _, line := range []string{"one\n", "two\n"} {
		if _, err := b.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush()
	if got := out.String(); got != "one\ntwo\n" {
		t.Errorf("got %q", got)
	}
}

func TestAStuckOutputDropsLinesAndDoesNotBlock(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	b := logbuf.New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if b.Dropped() == 0 {
		t.Error("nothing was dropped of 2 MB")
	}
	close(out.release)
}

func TestDroppedLinesAreLogged(t *testing.T) {
	var out bytes.Buffer
	b := logbuf.New(&out)
	line := []byte(strings.Repeat("x", 64<<10) + "\n")
	for range 6 {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the dropped lines are not mentioned")
	}
}
