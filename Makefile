GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin

# The number of random schedules of each property test of the guarantees.
SCHEDULES ?= 20000
SEED ?= 1
# The packages whose tests are proofs of what must always hold.
PROOFS = ./guarantees/... ./decision/...

.PHONY: build test guarantees bench demo check docs generate clean

build:
	$(GO) build -o $(BIN)/jaylink ./cmd/jaylink

test:
	JAYLINK_SCHEDULES=$(SCHEDULES) JAYLINK_SEED=$(SEED) $(GO) run ./internal/testrun -- -count=1 ./...

# The proofs of what must always hold; prints a line a case.
guarantees:
	JAYLINK_SCHEDULES=$(SCHEDULES) JAYLINK_SEED=$(SEED) $(GO) run ./internal/testrun -- -count=1 $(PROOFS)

# The measurements, each figure beside its target.
bench:
	$(GO) run ./internal/testrun -- -tags bench -p 1 -count=1 -run '^TestFigure' ./internal/bench/...

demo: build
	$(GO) run ./examples/demo -binary $(BIN)/jaylink -examples examples

check:
	@test -z "$$(gofmt -l .)" || { echo "gofmt wants:"; gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

# Writes the pages and sections that tests otherwise compare.
docs:
	UPDATE_DOCS=1 $(GO) test ./entry ./docs

generate:
	$(GO) build -modfile=tools/go.mod -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/peerpb/peer.proto peer/peerpb/handover.proto peer/peerpb/poison.proto

clean:
	rm -rf $(BIN)
