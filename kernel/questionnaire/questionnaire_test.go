package questionnaire

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// validAnswers ends in a stage section, to which tests append keys.
const validAnswers = `
[deployment]
name = small
dataCentres = a, b, c

[service orders]
kind = service

[workspace shop]
keyDigest = 0123456789012345678901234567890123456789012345678901234567890123
ratePerSecond = 10

[pipeline order]
deadline = 2s
stages = book

[stage order book]
service = orders
idempotent = no
expected = 20ms
`

func generateProblems(text string) []string {
	_, problems, err := Generate([]byte(text))
	So(err, ShouldBeNil)
	return problems
}

func TestGenerate(t *testing.T) {
	Convey("Complete answers make a valid document", t, func() {
		d, problems, err := Generate([]byte(validAnswers))
		So(err, ShouldBeNil)
		So(problems, ShouldBeEmpty)
		So(d.Seats(), ShouldHaveLength, 3)
		So(d.Pipelines[0].Idempotent(), ShouldBeFalse)
		So(d.Revision, ShouldEqual, 1)
	})
	Convey("The answers of both deployments are valid", t, func() {
		for _, deployment := range []string{"wroclaw", "pelletier"} {
			text, err := os.ReadFile("../../deployments/" + deployment + "/answers.ini")
			So(err, ShouldBeNil)
			So(generateProblems(string(text)), ShouldBeEmpty)
		}
	})
	Convey("A misspelt key is reported instead of silently giving a default", t, func() {
		problems := generateProblems(validAnswers + "idempotnet = no\n")
		So(problems, ShouldHaveLength, 1)
		So(problems[0], ShouldContainSubstring, "[stage order book] idempotnet: unknown key")
	})
	Convey("All problems are reported at once", t, func() {
		problems := generateProblems("[deployment]\nname = x\n[service a]\nkind = boat\nworkers = -1\n[pipeline p]\ndeadline = soon\nstages = s\n")
		So(len(problems), ShouldBeGreaterThanOrEqualTo, 4)
	})
}
