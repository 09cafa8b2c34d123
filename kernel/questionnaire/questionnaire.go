// Package questionnaire reads the answers that a team gives about its
// pipelines and generates the configuration from them. The answers are INI:
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

// Defaults of answers that may be left out.
const (
	defaultHorizon     = 10 * time.Minute
	defaultSkew        = 2 * time.Second
	defaultConcurrency = 8
	defaultMaxTokens   = 64
)

// Generate makes the first revision of a configuration from the text of the
// answers. It returns every mistake, each with its section and key.
func Generate(text []byte) (*configuration.Document, []string, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, text)
	if err != nil {
		return nil, nil, errors.Annotate(err, "answers are not valid INI")
	}
	r := &reader{document: &configuration.Document{Revision: 1}, stages: map[string]*section{}}
	r.read(file)
	if len(r.mistakes) == 0 {
		r.mistakes = r.document.Validate()
	}
	return r.document, r.mistakes, nil
}

type reader struct {
	document *configuration.Document
	mistakes []string
	// stages holds the stage sections until their pipeline is read.
	stages map[string]*section
}

func (r *reader) read(file *ini.File) {
	sections := r.sections(file)
	for _, s := range sections {
		if s.kind == "stage" && len(s.names) == 2 {
			r.stages[s.names[0]+" "+s.names[1]] = s
		}
	}
	for _, s := range sections {
		r.readSection(s)
	}
	for _, name := range value.SortedKeys(r.stages) {
		r.mistakef("[stage %s]: no pipeline lists this stage", name)
	}
}

func (r *reader) sections(file *ini.File) []*section {
	var list []*section
	seen := value.NewSet[string]()
	for _, raw := range file.Sections() {
		if raw.Name() == ini.DefaultSection {
			for _, key := range raw.Keys() {
				r.mistakef("key %q stands before the first section", key.Name())
			}
			continue
		}
		if seen.Has(raw.Name()) {
			r.mistakef("[%s]: the section stands twice", raw.Name())
		}
		seen.Add(raw.Name())
		words := strings.Fields(raw.Name())
		if len(words) == 0 {
			r.mistakef("[%s]: a section has no name", raw.Name())
			continue
		}
		list = append(list, &section{reader: r, raw: raw, kind: words[0], names: words[1:], used: value.NewSet[string]()})
	}
	return list
}

func (r *reader) readSection(s *section) {
	wanted := map[string]int{"deployment": 0, "service": 1, "workspace": 1, "pipeline": 1, "stage": 2}
	count, known := wanted[s.kind]
	if !known {
		r.mistakef("[%s]: unknown section; sections are deployment, service, workspace, pipeline and stage", s.raw.Name())
		return
	}
	if len(s.names) != count {
		r.mistakef("[%s]: the section's name needs %d words after %q", s.raw.Name(), count, s.kind)
		return
	}
	switch s.kind {
	case "deployment":
		r.readDeployment(s)
	case "service":
		r.readService(s)
	case "workspace":
		r.readWorkspace(s)
	case "pipeline":
		r.readPipeline(s)
	case "stage":
		return
	}
	s.rejectUnknown()
}

func (r *reader) mistakef(format string, args ...any) {
	r.mistakes = append(r.mistakes, fmt.Sprintf(format, args...))
}

func (r *reader) readDeployment(s *section) {
	d := r.document
	d.Deployment = s.text("name", "")
	instances := s.number("instancesPerDataCentre", 1)
	counts := s.list("instances", nil)
	for i, name := range s.list("dataCentres", nil) {
		count := instances
		if i < len(counts) {
			count = s.parseNumber("instances", counts[i])
		}
		dc := configuration.DataCentre{Name: ident.DataCentre(name)}
		for j := range count {
			dc.Seats = append(dc.Seats, ident.Instance(fmt.Sprintf("%s-%d", name, j+1)))
		}
		d.DataCentres = append(d.DataCentres, dc)
	}
	d.ResendHorizonMillis = configuration.Millis(s.duration("resendHorizon", defaultHorizon) / time.Millisecond)
	d.ClockSkewMillis = configuration.Millis(s.duration("clockSkew", defaultSkew) / time.Millisecond)
	d.CrossDataCentreDelayMillis = float64(s.duration("crossDataCentreDelay", 0)) / float64(time.Millisecond)
}

func (r *reader) readService(s *section) {
	kind := s.text("kind", "")
	if stage.Lookup(kind) == nil {
		r.mistakef("[%s] kind: %q is not one of %s", s.raw.Name(), kind, strings.Join(stage.Names(), ", "))
	}
	r.document.Services = append(r.document.Services, configuration.Service{
		Name:           ident.Service(s.names[0]),
		Kind:           kind,
		Workers:        s.number("workers", 1),
		Concurrency:    s.number("concurrency", defaultConcurrency),
		DuplicateCheck: configuration.DuplicateCheck(s.text("duplicateCheck", string(configuration.NoDuplicateCheck))),
		ChecksFencing:  s.flag("checksFencing", false),
		Model:          s.text("model", "-"),
	})
}

func (r *reader) readWorkspace(s *section) {
	r.document.Workspaces = append(r.document.Workspaces, configuration.Workspace{
		Name:          ident.Workspace(s.names[0]),
		KeyDigest:     s.text("keyDigest", ""),
		Share:         s.number("share", 1),
		RatePerSecond: float64(s.number("ratePerSecond", 0)),
	})
}

func (r *reader) readPipeline(s *section) {
	p := configuration.Pipeline{
		Name:           ident.Pipeline(s.names[0]),
		DeadlineMillis: configuration.Millis(s.duration("deadline", 0) / time.Millisecond),
		LateAnswer:     configuration.LateAnswerPolicy(s.text("lateAnswer", string(configuration.DeliverLate))),
		SharesAnswer:   s.flag("sameAnswer", false),
	}
	for _, name := range s.list("stages", nil) {
		key := s.names[0] + " " + name
		sub := r.stages[key]
		if sub == nil {
			r.mistakef("[%s] stages: write a section [stage %s]", s.raw.Name(), key)
			continue
		}
		delete(r.stages, key)
		p.Stages = append(p.Stages, r.readStage(sub))
	}
	r.document.Pipelines = append(r.document.Pipelines, p)
}

func (r *reader) readStage(s *section) configuration.Stage {
	st := configuration.Stage{
		Name:           ident.Stage(s.names[1]),
		Service:        ident.Service(s.text("service", "")),
		Idempotent:     s.flag("idempotent", true),
		ExpectedMillis: configuration.Millis(s.duration("expected", 0) / time.Millisecond),
		MaxTokens:      s.number("maxTokens", defaultMaxTokens),
	}
	s.rejectUnknown()
	return st
}
