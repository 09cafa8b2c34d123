package command

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update makes the test write the expected outputs. Review the difference before
// committing it.
var update = flag.Bool("update", false, "write the expected outputs of the cases")

// TestCases runs the command of each folder under cases. The file cmd holds the
// arguments, one a line, and expout the expected output and exit code.
func TestCases(t *testing.T) {
	here, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Dir(filepath.Dir(here))
	folders, err := filepath.Glob("cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no folders match cases/*: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(folder, "cmd"))
			if err != nil {
				t.Fatal(err)
			}
			scratch := t.TempDir()
			args := strings.Split(strings.TrimSpace(strings.ReplaceAll(string(text), "SCRATCH", scratch)), "\n")
			var out bytes.Buffer
			code := runCommand(args, &out, &out)
			replacer := strings.NewReplacer(scratch, "SCRATCH", root, "ROOT")
			got := replacer.Replace(out.String()) + fmt.Sprintf("exit %d\n", code)
			compareFile(t, filepath.Join(folder, "expout"), got)
		})
	}
}

// compareFile fails the test unless got is the content of the file. With -update
// it writes got to the file first.
func compareFile(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
