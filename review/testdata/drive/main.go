// Command drive plays the scripted cases of the review: it starts the project's programs as
// processes, with stand-ins of the platform, of targets and of clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(trouble bool) int{
	"young": youngTarget,
	"split": splitView,
	"copy":  lateCopy,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: drive CASE RECORD")
		os.Exit(couldNot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	record.file = file
	code := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	note("exit %d", code)
	file.Close()
	os.Exit(code)
}
