package questionnaire

import "testing"

func FuzzGenerate(f *testing.F) {
	f.Add(good)
	f.Add("[stage a b]\nservice=\n[pipeline a]\nstages=b,b\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, mistakes, err := Generate([]byte(text))
		if err == nil && len(mistakes) == 0 && len(d.Validate()) > 0 {
			t.Errorf("accepted answers make an invalid document: %v", d.Validate())
		}
	})
}
