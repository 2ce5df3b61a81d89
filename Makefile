# Main targets: build, test, demo, lint, soak, generate.

GO ?= go
TOOLS := $(CURDIR)/bin/tools
LINTER := $(TOOLS)/golangci-lint
LINTER_VERSION := v2.15.0

.PHONY: build test unit crowd lint demo fault-run fault-run-short soak soak-short soak-regressions generate

build:
	$(GO) build -o bin/ ./cmd/...

# test is the target that README and CI run: format check, vet, linter, tests, crowds, demos, a short
# fault run that checks only invariants that do not depend on the speed of the machine, and
# four short soak runs.
test: lint unit crowd demo fault-run-short soak-short

unit:
	./scripts/unit.sh

# crowd runs crowds of callers that do not behave against the node program.
crowd:
	./scripts/crowd.sh

lint: $(LINTER)
	./scripts/format-check.sh
	$(GO) vet -tags crowd ./...
	$(LINTER) run --allow-parallel-runners ./...

$(LINTER):
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

demo: build
	./scripts/demo.sh
	./scripts/demo-routes.sh

# fault-run runs real processes under injected faults and checks the invariants; SEED
# determines the order of the faults.
SEED ?= 1
fault-run: build
	./scripts/fault-run.sh full $(SEED)

fault-run-short: build
	./scripts/fault-run.sh short $(SEED)

# soak runs many processes of the real node program under random faults and checks what
# callers and servers recorded; SEED determines the faults. soak-short runs fixed seeds,
# soak-regressions the seeds that have exposed a fault.
SOAK_TIME ?= 5m
soak: build
	bin/banksail-lab soak --seed $(SEED) --for $(SOAK_TIME)

soak-short: build
	bin/banksail-lab soak --seed 2,11,12 --for 26s
	bin/banksail-lab soak --seed 1 --for 26s --faults flood_answers,late_copies,remove_route

soak-regressions: build
	bin/banksail-lab soak --regressions lab/soak/regressions.txt

# generate requires protoc 3.21 or later, protoc-gen-go, protoc-gen-twirp and wire. Its output is committed.
generate:
	$(GO) generate ./...
