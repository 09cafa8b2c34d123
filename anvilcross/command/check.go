package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// check validates a file of answers or a configuration.
type check struct {
	File string `arg:"" help:"Answers (.ini) or a configuration (.json)." type:"existingfile"`
}

// Help is shown by anvilcross check --help.
func (check) Help() string {
	return "Example: anvilcross check deployments/pelletier/answers.ini"
}

// Run checks the file by its extension: a configuration or answers.
func (c *check) Run(out io.Writer) error {
	var err error
	if strings.HasSuffix(c.File, ".json") {
		_, err = readDocument(c.File)
	} else {
		_, err = readAnswers(c.File)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: no problems\n", c.File)
	return errors.Trace(err)
}
