package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/protocol/lang"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
)

var runArgs struct {
	connectionOptions
	changeOptions
	JSON   bool     `arg:"--json" help:"print query results as JSON"`
	Script []string `arg:"positional,required" help:"statements, separated by semicolons"`
}

var runCommand = clitab.Command{
	Name: "run",
	Help: "run a query, or commands that take effect together",
	Args: &runArgs,
	Run:  runScript,
}

func runScript() error {
	script, err := lang.Parse(strings.Join(runArgs.Script, " "))
	if err != nil {
		return errors.WithMessage(clitab.ErrUsage, err.Error())
	}
	if script.Query != "" {
		return runQuery(script.Query)
	}
	return runArgs.change(runArgs.changeOptions, script.Operations)
}

func runQuery(query string) error {
	client, err := runArgs.client()
	if err != nil {
		return err
	}
	ctx, cancel := runArgs.context()
	defer cancel()

	switch query {
	case "members", "lag":
		return showMembers(ctx, client, query == "lag")
	}

	cfg, err := client.Config(ctx, runArgs.Balancer)
	if err != nil {
		return err
	}
	switch query {
	case "services":
		return show(cfg.Services, "NAME\tTENANT\tNUMBER\tADDRESSES\tSLOTS\tCOLD\tCONNECTIONS\tQUEUE", serviceRow)
	case "domains":
		return show(cfg.Domains, "NAME\tNUMBER\tREGION\tOUT", domainRow)
	case "drained":
		return show(cfg.DrainedUpstreams, "UPSTREAM", func(name string) string { return name })
	}
	return show([]uint64{cfg.Revision}, "REVISION", func(r uint64) string { return fmt.Sprint(r) })
}

func showMembers(ctx context.Context, client *admin.Client, onlyLagging bool) error {
	members, err := client.Members(ctx, runArgs.Balancer)
	if err != nil {
		return err
	}

	if onlyLagging {
		cfg, err := client.Config(ctx, runArgs.Balancer)
		if err != nil {
			return err
		}
		members = lagging(members, cfg.Revision)
	}
	return show(members, "NAME\tROLE\tDOMAIN\tSERVICE\tADDRESS\tSTATE\tWEIGHT\tREVISION", memberRow)
}

// show prints rows as aligned text or as JSON.
func show[T any](rows []T, header string, row func(T) string) error {
	if runArgs.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(rows), "print")
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, r := range rows {
		fmt.Fprintln(w, row(r))
	}
	return errors.Wrap(w.Flush(), "print")
}

func serviceRow(s config.Service) string {
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d", s.Name, s.Tenant, s.Number, strings.Join(s.Addresses, ","),
		s.Limits.Slots, s.Limits.ColdSlots, s.Limits.Connections, s.Limits.Queue)
}

func domainRow(d config.Domain) string {
	return fmt.Sprintf("%s\t%d\t%s\t%t", d.Name, d.Number, d.Region, d.Out)
}

func memberRow(m admin.MemberStatus) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d",
		m.Name, m.Role, m.Domain, m.Service, m.Address, m.State, m.Weight, m.Revision)
}
