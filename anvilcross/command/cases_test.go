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

// update writes the expected outputs anew; read the difference before
// committing it.
var update = flag.Bool("update", false, "write the expected outputs of the cases")

// TestCases runs each folder under cases: the file cmd holds the arguments,
// a word a line, and expout what the command prints and its exit code.
func TestCases(t *testing.T) {
	here, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Dir(filepath.Dir(here))
	folders, err := filepath.Glob("cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(folder, "cmd"))
			if err != nil {
				t.Fatal(err)
			}
			scratch := t.TempDir()
			words := strings.Split(strings.TrimSpace(strings.ReplaceAll(string(text), "SCRATCH", scratch)), "\n")
			var out bytes.Buffer
			code := run(words, &out, &out)
			replacer := strings.NewReplacer(scratch, "SCRATCH", root, "ROOT")
			got := replacer.Replace(out.String()) + fmt.Sprintf("exit %d\n", code)
			expect(t, filepath.Join(folder, "expout"), got)
		})
	}
}

func expect(t *testing.T, path, got string) {
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
