package clitab

import "fmt"

// Check returns the command that reads settings files and says every fault in them.
func Check(read func(path string) error) Command {
	var args struct {
		Settings []string `arg:"positional,required" help:"settings files, JSON with comments"`
	}
	return Command{
		Name: "check",
		Help: "read settings files and say every fault in them",
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
