GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin

# The number of random schedules that each property test of the guarantees runs.
SCHEDULES ?= 20000
SEED ?= 1
# The packages whose tests verify the guarantees.
PROOFS = ./guarantees/... ./decision/...

.PHONY: build test guarantees bench demo check docs generate clean

build:
	$(GO) build -o $(BIN)/jaylink ./cmd/jaylink

test:
	JAYLINK_SCHEDULES=$(SCHEDULES) JAYLINK_SEED=$(SEED) $(GO) run ./internal/testrun -- -count=1 ./...

# Runs the tests of the guarantees; prints one line per case.
guarantees:
	JAYLINK_SCHEDULES=$(SCHEDULES) JAYLINK_SEED=$(SEED) $(GO) run ./internal/testrun -- -count=1 $(PROOFS)

# Runs the benchmarks and prints each figure with its target.
bench:
	$(GO) run ./internal/testrun -- -tags bench -p 1 -count=1 -run '^TestFigure' ./internal/bench/...

demo: build
	$(GO) run ./examples/demo -binary $(BIN)/jaylink -examples examples

check:
	@test -z "$$(gofmt -l .)" || { echo "gofmt wants:"; gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

# Regenerates the pages and sections that tests otherwise compare with the code.
docs:
	UPDATE_DOCS=1 $(GO) test ./entry ./docs

generate:
	$(GO) build -modfile=tools/go.mod -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/peerpb/peer.proto peer/peerpb/handover.proto peer/peerpb/poison.proto

clean:
	rm -rf $(BIN)
