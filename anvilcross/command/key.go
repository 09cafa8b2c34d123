package command

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
)

// key prints the digest of a workspace key.
type key struct {
	Key string `arg:"" help:"The key that callers will send."`
}

// Help is shown by anvilcross key --help.
func (key) Help() string { return "Example: anvilcross key \"$(openssl rand -hex 20)\"" }

// Run prints the digest.
func (k *key) Run(out io.Writer) error {
	_, err := fmt.Fprintln(out, configuration.KeyDigest(k.Key))
	return errors.Trace(err)
}
