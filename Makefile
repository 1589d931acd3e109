CONFIG ?= $(NODE_CONFIG)

.PHONY: build test race lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	@unformatted=$$(gofmt -l cmd internal policy); test -z "$$unformatted" || { echo "gofmt wants changes in: $$unformatted"; exit 1; }
	go vet ./...

run: build
	exec bin/fawnglade serve --config "$(CONFIG)"
