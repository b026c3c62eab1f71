package main

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/standin/store"
)

const readTimeout = 5 * time.Second

var storeArgs struct {
	Listen string `arg:"--listen,required" help:"IP address and TCP port"`
}

var storeCommand = clitab.Command{
	Name: "store",
	Help: "stand in for the platform's key-value store",
	Args: &storeArgs,
	Run: func() error {
		return serveHTTP(storeArgs.Listen, store.New().Handler())
	},
}

func serveHTTP(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readTimeout}
	return errors.Wrapf(server.ListenAndServe(), "listen on %s", address)
}
