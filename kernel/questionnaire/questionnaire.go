// Package questionnaire generates a configuration from the answers that a team
// gives about its pipelines. The answers are an INI file:
//
//	[deployment]            name, dataCentres, instancesPerDataCentre, ...
//	[service NAME]          kind, workers, duplicateCheck, ...
//	[workspace NAME]        keyDigest, share, ratePerSecond
//	[pipeline NAME]         deadline, lateAnswer, stages, ...
//	[stage PIPELINE NAME]   service, idempotent, expected, maxTokens
package questionnaire

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/stage"
	"anvilcross/kernel/value"
)

// Defaults of optional keys.
const (
	defaultResendHorizon = 10 * time.Minute
	defaultClockSkew     = 2 * time.Second
	defaultConcurrency   = 8
	defaultMaxTokens     = 64
)

// Generate builds the first revision of a configuration from the text of the
// answers. It returns all problems of the answers, each with its section and
// key, or else those of the resulting document. The error is not nil only if the
// text is not INI.
func Generate(text []byte) (*configuration.Document, []string, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, text)
	if err != nil {
		return nil, nil, errors.Annotate(err, "answers are not valid INI")
	}
	g := &generator{document: &configuration.Document{Revision: 1}, unusedStages: map[string]*section{}}
	g.readFile(file)
	if len(g.problems) == 0 {
		g.problems = g.document.Validate()
	}
	return g.document, g.problems, nil
}

// generator builds a document from the sections of the answers.
type generator struct {
	document *configuration.Document
	problems []string
	// unusedStages holds the stage sections, by "PIPELINE NAME", that no pipeline
	// read so far lists.
	unusedStages map[string]*section
}

func (g *generator) readFile(file *ini.File) {
	sections := g.parseSections(file)
	for _, s := range sections {
		if s.kind == "stage" && len(s.names) == 2 {
			g.unusedStages[s.names[0]+" "+s.names[1]] = s
		}
	}
	for _, s := range sections {
		g.readSection(s)
	}
	for _, name := range value.SortedKeys(g.unusedStages) {
		g.addProblemf("[stage %s]: no pipeline lists this stage", name)
	}
}

// parseSections returns the named sections. It reports keys before the first
// section, and sections that are unnamed or listed twice.
func (g *generator) parseSections(file *ini.File) []*section {
	var list []*section
	seen := value.NewSet[string]()
	for _, raw := range file.Sections() {
		if raw.Name() == ini.DefaultSection {
			for _, key := range raw.Keys() {
				g.addProblemf("key %q is before the first section", key.Name())
			}
			continue
		}
		if seen.Has(raw.Name()) {
			g.addProblemf("[%s]: the section is listed twice", raw.Name())
		}
		seen.Add(raw.Name())
		words := strings.Fields(raw.Name())
		if len(words) == 0 {
			g.addProblemf("[%s]: the section has no name", raw.Name())
			continue
		}
		list = append(list, &section{generator: g, raw: raw, kind: words[0], names: words[1:], knownKeys: value.NewSet[string]()})
	}
	return list
}

func (g *generator) readSection(s *section) {
	nameCounts := map[string]int{"deployment": 0, "service": 1, "workspace": 1, "pipeline": 1, "stage": 2}
	count, known := nameCounts[s.kind]
	if !known {
		g.addProblemf("[%s]: unknown section; sections are deployment, service, workspace, pipeline and stage", s.raw.Name())
		return
	}
	if len(s.names) != count {
		g.addProblemf("[%s]: the section's name needs %d words after %q", s.raw.Name(), count, s.kind)
		return
	}
	switch s.kind {
	case "deployment":
		g.readDeployment(s)
	case "service":
		g.readService(s)
	case "workspace":
		g.readWorkspace(s)
	case "pipeline":
		g.readPipeline(s)
	case "stage":
		return
	}
	s.rejectUnknownKeys()
}

func (g *generator) addProblemf(format string, args ...any) {
	g.problems = append(g.problems, fmt.Sprintf(format, args...))
}

func (g *generator) readDeployment(s *section) {
	d := g.document
	d.Deployment = s.text("name", "")
	defaultCount := s.positiveInt("instancesPerDataCentre", 1)
	countTexts := s.list("instances", nil)
	for i, name := range s.list("dataCentres", nil) {
		count := defaultCount
		if i < len(countTexts) {
			count = s.parsePositiveInt("instances", countTexts[i])
		}
		dc := configuration.DataCentre{Name: ident.DataCentre(name)}
		for j := range count {
			dc.Seats = append(dc.Seats, ident.Instance(fmt.Sprintf("%s-%d", name, j+1)))
		}
		d.DataCentres = append(d.DataCentres, dc)
	}
	d.ResendHorizonMillis = configuration.Millis(s.duration("resendHorizon", defaultResendHorizon) / time.Millisecond)
	d.ClockSkewMillis = configuration.Millis(s.duration("clockSkew", defaultClockSkew) / time.Millisecond)
	d.CrossDataCentreDelayMillis = float64(s.duration("crossDataCentreDelay", 0)) / float64(time.Millisecond)
}

func (g *generator) readService(s *section) {
	kind := s.text("kind", "")
	if stage.Lookup(kind) == nil {
		g.addProblemf("[%s] kind: %q is not one of %s", s.raw.Name(), kind, strings.Join(stage.Names(), ", "))
	}
	g.document.Services = append(g.document.Services, configuration.Service{
		Name:           ident.Service(s.names[0]),
		Kind:           kind,
		Workers:        s.positiveInt("workers", 1),
		Concurrency:    s.positiveInt("concurrency", defaultConcurrency),
		DuplicateCheck: configuration.DuplicateCheck(s.text("duplicateCheck", string(configuration.NoDuplicateCheck))),
		ChecksFencing:  s.boolean("checksFencing", false),
		Model:          s.text("model", "-"),
	})
}

func (g *generator) readWorkspace(s *section) {
	g.document.Workspaces = append(g.document.Workspaces, configuration.Workspace{
		Name:          ident.Workspace(s.names[0]),
		KeyDigest:     s.text("keyDigest", ""),
		Share:         s.positiveInt("share", 1),
		RatePerSecond: float64(s.positiveInt("ratePerSecond", 0)),
	})
}

func (g *generator) readPipeline(s *section) {
	p := configuration.Pipeline{
		Name:           ident.Pipeline(s.names[0]),
		DeadlineMillis: configuration.Millis(s.duration("deadline", 0) / time.Millisecond),
		LateAnswer:     configuration.LateAnswerPolicy(s.text("lateAnswer", string(configuration.DeliverLate))),
		SharesAnswer:   s.boolean("sameAnswer", false),
	}
	for _, name := range s.list("stages", nil) {
		key := s.names[0] + " " + name
		stageSection := g.unusedStages[key]
		if stageSection == nil {
			g.addProblemf("[%s] stages: there is no section [stage %s]", s.raw.Name(), key)
			continue
		}
		delete(g.unusedStages, key)
		p.Stages = append(p.Stages, g.readStage(stageSection))
	}
	g.document.Pipelines = append(g.document.Pipelines, p)
}

func (g *generator) readStage(s *section) configuration.Stage {
	st := configuration.Stage{
		Name:           ident.Stage(s.names[1]),
		Service:        ident.Service(s.text("service", "")),
		Idempotent:     s.boolean("idempotent", true),
		ExpectedMillis: configuration.Millis(s.duration("expected", 0) / time.Millisecond),
		MaxTokens:      s.positiveInt("maxTokens", defaultMaxTokens),
	}
	s.rejectUnknownKeys()
	return st
}
