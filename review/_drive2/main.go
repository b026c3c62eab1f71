// Command drive2 plays the cases of the second review that are scripts: it starts the
// system's processes on loopback addresses, with small stand-ins of clients, targets and
// routers and the project's stand-in of the store, and judges what clients and targets see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*fleet, bool) (int, error){
	"storm":  storm,
	"stray":  stray,
	"late":   late,
	"roll":   rollStorm,
	"oneway": oneWay,
	"skip":   skip,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play := cases[*name]
	file, err := os.Create(*path)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "usage: drive2 -case NAME -record FILE [-trouble=false]", err)
		return failed
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	binary, err := filepath.Abs("target/coriandershift-forward")
	if err != nil {
		return failed
	}
	f, err := newFleet(r, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()

	done := make(chan int, 1)
	go func() {
		code, err := play(f, *trouble)
		if err != nil {
			r.log("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			code = failed
		}
		done <- code
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-done:
		return code
	case <-stopped:
		return failed
	}
}

// verdict writes the result and returns the exit code.
func (f *fleet) verdict(isBroken bool, format string, values ...any) int {
	text := fmt.Sprintf(format, values...)
	word, code := "HELD", held
	if isBroken {
		word, code = "BROKEN", broken
	}
	f.record.log("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	return code
}
