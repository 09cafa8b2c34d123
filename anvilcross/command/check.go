package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/settings"
	"anvilcross/kernel/published"
	"anvilcross/kernel/retrybudget"
	"anvilcross/platform"
)

// check validates a file of answers or a configuration.
type check struct {
	File     string `arg:"" help:"Configuration of a platform (the value of its record, .json), configuration of the product (.json) or answers (.ini)." type:"existingfile"`
	InForce  string `help:"Platform configuration in force; what the new one changes is listed." type:"existingfile"`
	Settings string `help:"Settings of an instance, for the checks against its memory, retry budget and regions." type:"existingfile"`
	Strict   bool   `help:"Exit with 1 if there are warnings."`
	Format   string `enum:"text,json" default:"text" help:"Output for a platform configuration: ${enum}."`
}

// Exit codes for a platform's configuration. They differ from those of the other subcommands:
// scripts tell warnings from errors by them.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// Help is shown by anvilcross check --help.
func (check) Help() string {
	return "A platform configuration is checked by the code with which the instances read it. Errors are what they reject; warnings are entries without effect and values that contradict each other.\n\nExit codes for a platform configuration: 0 no errors, 1 warnings with --strict, 2 errors.\n\nExamples:\n  anvilcross check deployments/pelletier/answers.ini\n  anvilcross check new.json --in-force current.json --settings settings.ini --strict"
}

// Run checks the file by its extension and its content.
func (c *check) Run(out io.Writer) error {
	if !strings.HasSuffix(c.File, ".json") {
		_, err := readAnswers(c.File)
		return c.reportNone(out, err)
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Trace(err)
	}
	if isProductDocument(text) {
		_, err = readDocument(c.File)
		return c.reportNone(out, err)
	}
	return c.checkPlatform(out, text)
}

func (c *check) reportNone(out io.Writer, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: no problems\n", c.File)
	return errors.Trace(err)
}

// isProductDocument reports whether a text is a configuration of the product and not that of a
// platform. One that is no JSON object counts as that of a platform.
func isProductDocument(text []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return false
	}
	_, hasDeployment := fields["deployment"]
	_, hasPipelines := fields["pipelines"]
	return hasDeployment || hasPipelines
}

// platformReport is the result of the check of a platform's configuration.
type platformReport struct {
	File     string              `json:"file"`
	Errors   int                 `json:"errors"`
	Warnings int                 `json:"warnings"`
	Findings []published.Finding `json:"findings"`
	// Changes is only set if the configuration in force is given and the new one is valid.
	Changes []published.Change `json:"changes,omitempty"`
}

// checkPlatform checks a platform's configuration and prints the report.
func (c *check) checkPlatform(out io.Writer, text []byte) error {
	instance, err := c.readInstance()
	if err != nil {
		return err
	}
	after, findings := platform.CheckConfiguration(text, instance)
	r := platformReport{File: c.File, Findings: slices.Concat([]published.Finding{}, findings)}
	if c.InForce != "" {
		if err := c.compare(&r, after); err != nil {
			return err
		}
	}
	for _, f := range r.Findings {
		if f.Severity == published.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	if c.Format == "json" {
		err = printJSON(out, r)
	} else {
		err = r.print(out)
	}
	if err != nil {
		return errors.Trace(err)
	}
	return r.exit(c.Strict)
}

// readInstance returns what the settings say of an instance, or nil without settings.
func (c *check) readInstance() (*published.Instance, error) {
	if c.Settings == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s, err := settings.ParseGateway(text, nil)
	if err != nil {
		return nil, &exitError{exitErrors, fmt.Sprintf("%s: %v", c.Settings, err)}
	}
	return &published.Instance{
		Retry:       retrybudget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		MemoryBytes: s.MemoryMegabytes << 20,
		Regions:     s.Regions,
	}, nil
}

// compare adds the changes against the configuration in force. The instances ignore a new one
// whose version is not higher, so that is an error.
func (c *check) compare(r *platformReport, after *published.Catalog) error {
	text, err := os.ReadFile(c.InForce)
	if err != nil {
		return errors.Trace(err)
	}
	before, findings := platform.CheckConfiguration(text, nil)
	if before == nil {
		return &exitError{exitErrors, fmt.Sprintf("%s, the configuration in force: %s", filepath.Base(c.InForce), findings[0])}
	}
	if after == nil {
		return nil
	}
	r.Changes = published.Diff(before, after)
	if len(r.Changes) > 0 && after.Version <= before.Version {
		r.Findings = append(r.Findings, published.Finding{Severity: published.Error, Place: "version", Value: fmt.Sprint(after.Version), Text: fmt.Sprintf("is not above %d, that of the configuration in force, so the instances ignore the changes", before.Version)})
	}
	return nil
}

func (r *platformReport) print(out io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(out, "change:", change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s: %d errors, %d warnings\n", r.File, r.Errors, r.Warnings)
	return err
}

// exit returns the error that carries the exit code; nil for success.
func (r *platformReport) exit(strict bool) error {
	switch {
	case r.Errors > 0:
		return &exitError{exitErrors, "the instances reject or ignore this configuration"}
	case r.Warnings > 0 && strict:
		return &exitError{exitWarnings, "there are warnings"}
	}
	return nil
}
