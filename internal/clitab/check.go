package clitab

import "fmt"

// Check returns the command that validates settings files with read, whose error lists
// every fault in a file. It stops at the first file that has any.
func Check(read func(path string) error) Command {
	var args struct {
		Settings []string `arg:"positional,required" help:"settings files, JSON with comments"`
	}
	return Command{
		Name: "check",
		Help: "read settings files and report every fault in them",
		Args: &args,
		Run: func() error {
			for _, path := range args.Settings {
				if err := read(path); err != nil {
					return err
				}
				fmt.Printf("%s: ok\n", path)
			}
			return nil
		},
	}
}
