package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/link"
)

// printLinkTable prints a table of the links, with a row for each direction, and one of
// the datagrams that were dropped and decided on.
func printLinkTable(out io.Writer, links []vmLink) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := []string{"VM", "LINK", "USE", "QUEUE", "FULL"}
	for _, k := range link.Kinds {
		header = append(header, strings.ToUpper(k.String())+" KB/S")
	}
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, l := range links {
		switch {
		case l.Error != "":
			fmt.Fprintf(w, "%s\tno answer\n", l.Address)
		case l.Rate == 0:
			fmt.Fprintf(w, "%s\trate not known\n", l.Address)
		}
		for _, d := range link.Directions {
			if direction, found := l.Directions[d.String()]; found {
				fmt.Fprintln(w, strings.Join(linkRow(l.Address, d.String(), direction), "\t"))
			}
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}

	fmt.Fprintln(out)
	fmt.Fprintln(w, "VM\tDATAGRAMS\tREASON\tTOTAL\tNEW")
	for _, l := range links {
		printCounts(w, l.Address, "dropped", l.Dropped)
		printCounts(w, l.Address, "decided", l.Decided)
	}
	return w.Flush()
}

func linkRow(address, direction string, d linkDirection) []string {
	full := "no"
	if d.Full {
		full = "yes"
	}
	queue := time.Duration(d.QueueSeconds * float64(time.Second)).Round(time.Millisecond)
	row := []string{address, direction, fmt.Sprintf("%.0f%%", 100*d.Use), queue.String(), full}
	for _, k := range link.Kinds {
		row = append(row, fmt.Sprintf("%.1f", d.BytesPerSecond[k.String()]/1000))
	}
	return row
}

func printCounts(w io.Writer, address, what string, counts map[string]count) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", address, what, reason, counts[reason].Total, counts[reason].New)
	}
}
