GO ?= go
PACKAGES = ./...
RACE_PACKAGES = $(shell $(GO) list ./internal/... | grep -E "/(connector|storer|holder|router|executor|syncer|faker)$$")

.PHONY: build test race lint format generate try bounds

build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# Runs all tests once, without cached results.
test:
	$(GO) test -count=1 $(PACKAGES)

race:
	$(GO) test -count=1 -race $(RACE_PACKAGES)

lint:
	@test -z "$$($(GO) tool gofumpt -l cmd internal)" || { $(GO) tool gofumpt -l cmd internal; echo "run 'make format'"; exit 1; }
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

format:
	$(GO) tool gofumpt -w cmd internal

generate:
	mkdir -p bin
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=daisylane internal/wirepb/wire.proto

# Starts a complete fleet with stand-ins on loopback, serves requests, and stops it.
try: build
	./scripts/try.sh
