GO ?= go

.PHONY: build test lint format generate run run-platform bench

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@out="$$($(GO) tool gofumpt -l .)"; if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status -formatter friendly -exclude ./cpwire/... ./...
	$(GO) vet ./...

test: lint build
	@./scripts/test.sh

format:
	$(GO) tool gofumpt -w .

generate:
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go \
		github.com/mailru/easyjson/easyjson
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=module=github.com/clementineport/clementineport \
		--connect-go_out=. --connect-go_opt=module=github.com/clementineport/clementineport,package_suffix=connect cpwire/peer.proto
	cd cptarget/cphttp && $(CURDIR)/bin/tools/easyjson -all -no_std_marshalers -output_filename wire_easyjson.go wire.go
	$(GO) tool gofumpt -w cpwire cptarget

run: build
	@./scripts/run.sh

run-platform: build
	@./scripts/run-platform.sh

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
