package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/standin/certs"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
)

const secretMode = 0o600

var certsArgs struct {
	Dir string `arg:"--dir,required" help:"directory to write to"`
}

var certsCommand = clitab.Command{
	Name: "certs",
	Help: "make certificates and a key file for tests",
	Args: &certsArgs,
	Run:  runCerts,
}

func runCerts() error {
	if err := os.MkdirAll(certsArgs.Dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}

	authority, err := certs.New()
	if err != nil {
		return err
	}
	if err := authority.Write(filepath.Join(certsArgs.Dir, "authority.pem")); err != nil {
		return err
	}

	for file, name := range map[string]string{"peers": admin.PeerName, "public": certs.PublicName} {
		pair, err := authority.Issue(name)
		if err != nil {
			return err
		}
		if err := certs.WritePair(certsArgs.Dir, file, pair); err != nil {
			return err
		}
	}
	return writeKeys(filepath.Join(certsArgs.Dir, "keys.hujson"))
}

func writeKeys(path string) error {
	text := fmt.Sprintf("// Keys of a test deployment.\n{\"current\": 0, \"connectionIds\": {\"0\": %q}, \"cluster\": %q}\n",
		randomHex(), randomHex())
	return errors.Wrap(os.WriteFile(path, []byte(text), secretMode), "write keys")
}

func randomHex() string {
	key := make([]byte, keyset.KeyLength)
	_, _ = rand.Read(key) // never fails
	return hex.EncodeToString(key)
}
