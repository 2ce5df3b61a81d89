# Targets: build, test, demo, lint, generate.

GO ?= go
TOOLS := $(CURDIR)/bin/tools
LINTER := $(TOOLS)/golangci-lint
LINTER_VERSION := v2.15.0

.PHONY: build test unit lint demo fault-run fault-run-short generate

build:
	$(GO) build -o bin/ ./cmd/...

# test is what README and CI call: formatter, vet, linter, tests, smoke run, and a
# short fault run that judges only what holds at any speed of the machine.
test: lint unit demo fault-run-short

unit:
	./scripts/unit.sh

lint: $(LINTER)
	./scripts/format-check.sh
	$(GO) vet ./...
	$(LINTER) run --allow-parallel-runners ./...

$(LINTER):
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

demo: build
	./scripts/demo.sh
	./scripts/demo-routes.sh

# fault-run judges real processes under faults; SEED sets the order of the faults.
SEED ?= 1
fault-run: build
	./scripts/fault-run.sh full $(SEED)

fault-run-short: build
	./scripts/fault-run.sh short $(SEED)

# generate needs protoc 3.21 or later, protoc-gen-go, protoc-gen-twirp and wire; the output is committed.
generate:
	$(GO) generate ./...
