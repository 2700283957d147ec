.PHONY: build test race lint format generate spec slopes demo bench ci

build:
	go build -o bin/silvermount .

test:
	go test ./...

race:
	go test -race ./...

lint: bin/golangci-lint
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt ./...

# The tools are pinned here: their module graphs cannot be joined into one tools module.
LINT_VERSION := v2.15.0
# Later versions need a newer Go than go.mod names.
GOPLS_VERSION := v0.23.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_DRPC_VERSION := v1.1.0

bin/golangci-lint: Makefile
	GOBIN="$(CURDIR)/bin" go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	touch bin/golangci-lint

# Renames an identifier with all its uses: bin/gopls rename -w FILE:LINE:COLUMN NAME
bin/gopls: Makefile
	GOBIN="$(CURDIR)/bin" go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	touch bin/gopls

generate:
	GOBIN="$(CURDIR)/bin" go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN="$(CURDIR)/bin" go install storj.io/drpc/cmd/protoc-gen-go-drpc@$(PROTOC_GEN_DRPC_VERSION)
	cd internal/peer/peerpb && PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

spec:
	sh spec/check.sh

demo:
	go run . demo

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

slopes:
	go run . slopes --json docs/measurements/slopes.json

ci:
	bash .ci/run
