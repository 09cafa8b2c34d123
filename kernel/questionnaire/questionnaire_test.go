package questionnaire

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const good = `
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

func generateMistakes(text string) []string {
	_, mistakes, err := Generate([]byte(text))
	So(err, ShouldBeNil)
	return mistakes
}

func TestGenerate(t *testing.T) {
	Convey("Complete answers make a valid document", t, func() {
		d, mistakes, err := Generate([]byte(good))
		So(err, ShouldBeNil)
		So(mistakes, ShouldBeEmpty)
		So(d.Seats(), ShouldHaveLength, 3)
		So(d.Pipelines[0].Idempotent(), ShouldBeFalse)
		So(d.Revision, ShouldEqual, 1)
	})
	Convey("Both users' answers are good", t, func() {
		for _, user := range []string{"wroclaw", "pelletier"} {
			text, err := os.ReadFile("../../deployments/" + user + "/answers.ini")
			So(err, ShouldBeNil)
			So(generateMistakes(string(text)), ShouldBeEmpty)
		}
	})
	Convey("A misspelt key is a mistake and not a silent default", t, func() {
		mistakes := generateMistakes(good + "idempotnet = no\n")
		So(mistakes, ShouldHaveLength, 1)
		So(mistakes[0], ShouldContainSubstring, "[stage order book] idempotnet: unknown key")
	})
	Convey("All mistakes are reported at once", t, func() {
		mistakes := generateMistakes("[deployment]\nname = x\n[service a]\nkind = boat\nworkers = -1\n[pipeline p]\ndeadline = soon\nstages = s\n")
		So(len(mistakes), ShouldBeGreaterThanOrEqualTo, 4)
	})
}
