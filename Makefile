# Targets need nothing but Go, make, git and a C compiler.
PROGRAMS := anvilcrossd anvilcross anvilstandin anvilload
MODULES := kernel platform $(PROGRAMS)
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
# The lines "test NAME" of KNOWN-RED.txt name the tests that are passed over.
KNOWN_RED := $(shell sed -n 's/^test \(.*\)$$/^\1$$/p' KNOWN-RED.txt | paste -sd'|')

.PHONY: build demo test lint matrix compare slopes clean

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	scripts/demo.sh

test:
	go test -race -count=1 -timeout=60m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(PACKAGES)

lint:
	@bad=$$(gofmt -l $(MODULES)); if [ -n "$$bad" ]; then echo "not gofmt-clean:"; echo "$$bad"; exit 1; fi
	go vet $(PACKAGES)
	go run honnef.co/go/tools/cmd/staticcheck $(PACKAGES)

matrix:
	@mkdir -p run
	@go test ./kernel/matrix -count=1 -v -run 'TestMatrix$$|Mutation|Naive' -args -full >run/matrix.txt 2>&1; code=$$?; \
	grep -v '^=== ' run/matrix.txt; grep '^cells=' run/matrix.txt; exit $$code

compare: build
	@scripts/compare.sh

slopes: build
	@scripts/slopes.sh

clean:
	rm -rf bin run
