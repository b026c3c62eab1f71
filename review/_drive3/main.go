// Command _drive3 plays the cases of the third review that are scripts. It is run in the
// root of the repository as
//
//	drive3 CASE RECORD
//
// starts the programs of the deploy file with stand-ins of store, servers, clients and
// routers on loopback addresses, and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// play plays a case and reports how often the rule was broken.
type play func(log *record, trouble bool) (broken int, err error)

var plays = map[string]play{"apart": playApart, "cut": playCut, "moved": playMoved, "cold": playCold, "drill": playDrill}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive3 CASE RECORD")
		os.Exit(2)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := plays[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken > 0:
		log.printf("RULE BROKEN %d times", broken)
		fmt.Println("rule broken", broken, "times")
		os.Exit(1)
	}
	log.printf("rule held")
	fmt.Println("rule held")
}
